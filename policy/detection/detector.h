/** @file
 * Decides which targets of one service to eject and which to return to
 * service: a deterministic state machine without I/O, run by the service's
 * owner.
 *
 * Inputs are reports from the hosts, health hints and probe results;
 * detection_detector_step() returns the changes to make.  The caller decides
 * what the floor allows, carries the changes out, and reports them back by
 * detection_detector_ejected() and the like.  Time is passed in as
 * microseconds that never decrease.
 *
 * Scores are Page's cumulative sums of log-likelihood ratios against the
 * baseline learned from the service itself.  A detector that was just created
 * (by a new owner) has no evidence and ejects nothing until the baseline has
 * enough.
 */
#ifndef POLICY_DETECTION_DETECTOR_H
#define POLICY_DETECTION_DETECTOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/detection/explanation.h"
#include "policy/detection/recorder.h"

/** Preferences and bounds; 0 selects the default in brackets. */
struct detection_detector_options
{
  bool prefer_faster_detection; /**< affects only the threshold */
  bool has_repeatable_routes; /**< false: probes must succeed before a trial */
  int64_t backoff_us;         /**< duration of the first ejection [10 s] */
  int64_t backoff_max_us;     /**< maximum duration [10 min] */
  int64_t backoff_decay_us;   /**< removes one flap [5 min] */
  int64_t warm_up_us;         /**< slow start after reinstatement [10 s] */
};

/** Response of a health or load endpoint.  Endpoints lag and mislead, so a
 * hint other than HEALTHY only lowers the threshold of the target a little for
 * some seconds; alone it neither ejects nor readmits. */
enum detection_hint
{
  DETECTION_HINT_HEALTHY,
  DETECTION_HINT_UNHEALTHY,
  DETECTION_HINT_OVERLOADED
};

/** A target to eject. */
struct detection_ejection
{
  uint64_t target_key;
  enum detection_reason reason;
  double score;     /**< log-likelihood ratio */
  double threshold; /**< the score reached it, or almost after a hint */
};

/** A reduced share of the traffic, for a trial or a slow start, to apply at
 * the hosts. */
struct detection_share
{
  uint64_t target_key;
  enum detection_state state; /**< ON_TRIAL or WARMING */
  uint32_t share_permille;    /**< of an even share of the traffic */
};

/** A path to avoid: only the hosts of the dc (or one host of it) observe
 * failures of the target. */
struct detection_path
{
  uint64_t target_key;
  uint64_t dc_key;
  uint64_t host_key; /**< 0: the whole dc */
};

/** The changes to make.  The arrays are owned by the detector and valid until
 * the next call of detection_detector_step(). */
struct detection_decisions
{
  bool upstream_fault; /**< most targets are unhealthy at once: eject none */
  const struct detection_ejection *eject; /**< highest score first */
  size_t eject_count;
  const uint64_t *probe; /**< ejected targets to probe now */
  size_t probe_count;
  const struct detection_share *shares; /**< of targets on trial or warming */
  size_t share_count;
  const uint64_t *reinstate; /**< targets that passed their trial */
  size_t reinstate_count;
  const struct detection_path *paths;
  size_t path_count;
};

struct detection_detector;

struct detection_detector *
detection_detector_create (const struct detection_detector_options *options);
void detection_detector_destroy (struct detection_detector *detector);

/** Replaces preferences and bounds; the learned baseline is kept. */
void detection_detector_configure (
    struct detection_detector *detector,
    const struct detection_detector_options *options);

/** Replaces the target set.  State is kept by key; new keys start in service
 * and cold. */
void detection_detector_set_targets (struct detection_detector *detector,
                                     int64_t now_us, const uint64_t *keys,
                                     size_t count);

/** Adds what the host HOST_KEY in the dc DC_KEY observed since its last
 * report.  Keys are hashes of the names, not 0.  Each report must be passed at
 * most once. */
void detection_detector_report (struct detection_detector *detector,
                                int64_t now_us, uint64_t host_key,
                                uint64_t dc_key,
                                const struct detection_report_item *items,
                                size_t count);

/** Reports a response of a health or load endpoint. */
void detection_detector_hint (struct detection_detector *detector,
                              int64_t now_us, uint64_t target_key,
                              enum detection_hint hint);

/** Reports the result of a probe of an ejected target. */
void detection_detector_probe_result (struct detection_detector *detector,
                                      int64_t now_us, uint64_t target_key,
                                      bool ok);

/** Evaluates all targets.  Call about once a second and after reports; a
 * decision is repeated until it is carried out. */
struct detection_decisions
detection_detector_step (struct detection_detector *detector, int64_t now_us);

/** Reports that the ejection of the target took effect, whether decided by
 * this detector, requested by an operator, or found in the record by a new
 * owner. */
void detection_detector_ejected (struct detection_detector *detector,
                                 int64_t now_us, uint64_t target_key);

/** Reports that the target was returned to service; it starts to warm up. */
void detection_detector_reinstated (struct detection_detector *detector,
                                    int64_t now_us, uint64_t target_key);

/** Returns the state of a target and the reasons for it.
 * @return false for an unknown target */
bool detection_detector_explain (const struct detection_detector *detector,
                                 int64_t now_us, uint64_t target_key,
                                 struct detection_explanation *explanation);

#endif
