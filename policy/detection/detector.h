/** @file
 * Which targets of one service to eject and which to let return: the pure
 * machine at the service's owner.
 *
 * Reports of hosts go in, with health hints and probe results;
 * detection_detector_step() says what should change.  The caller decides what
 * the floor allows, carries it out, and tells the detector by
 * detection_detector_ejected() and the like.  Time is passed in as
 * microseconds that never go back.
 *
 * Scores are Page's cumulative sums of log-likelihood ratios against the
 * service's own learned baseline.  A detector that was just created (a new
 * owner) knows nothing and ejects nothing until the baseline has enough
 * evidence.
 */
#ifndef POLICY_DETECTION_DETECTOR_H
#define POLICY_DETECTION_DETECTOR_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/detection/explanation.h"
#include "policy/detection/recorder.h"

/** Preferences and bounds; a 0 takes the default in brackets. */
struct detection_detector_options
{
  bool prefer_faster_detection; /**< sets the threshold, nothing else */
  bool has_repeatable_routes;   /**< false: return needs probes first */
  int64_t backoff_us;           /**< first ejection's length [10 s] */
  int64_t backoff_max_us;       /**< longest [10 min] */
  int64_t backoff_decay_us; /**< good time that forgives one flap [5 min] */
  int64_t warm_up_us;       /**< slow start after a return [10 s] */
};

/** What a health or load endpoint said.  Endpoints lag and mislead: a hint
 * only makes the owner look sooner, it neither ejects nor readmits. */
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
  double threshold; /**< it crossed this */
};

/** A trickle or slow start to put in force at the hosts. */
struct detection_share
{
  uint64_t target_key;
  enum detection_state state; /**< ON_TRIAL or WARMING */
  uint32_t share_permille;    /**< of an even share of the traffic */
};

/** A path to avoid: DC (or one host of it) alone sees the target fail. */
struct detection_path
{
  uint64_t target_key;
  uint64_t dc_key;
  uint64_t host_key; /**< 0: the whole dc */
};

/** What should change.  The arrays belong to the detector and hold until the
 * next call of detection_detector_step(). */
struct detection_decisions
{
  bool upstream_fault; /**< most targets look bad at once: eject none */
  const struct detection_ejection *eject; /**< worst first */
  size_t eject_count;
  const uint64_t *probe; /**< ejected targets to probe now */
  size_t probe_count;
  const struct detection_share *shares; /**< of targets on trial or warming */
  size_t share_count;
  const uint64_t *reinstate; /**< fit to return to service, fittest first */
  size_t reinstate_count;
  const struct detection_path *paths;
  size_t path_count;
};

struct detection_detector;

struct detection_detector *
detection_detector_create (const struct detection_detector_options *options);
void detection_detector_destroy (struct detection_detector *detector);

/** Replace preferences and bounds; what was learned stays. */
void detection_detector_configure (
    struct detection_detector *detector,
    const struct detection_detector_options *options);

/** Replace the target set; state follows the key, new keys start in service
 * and cold. */
void detection_detector_set_targets (struct detection_detector *detector,
                                     int64_t now_us, const uint64_t *keys,
                                     size_t count);

/** Take in what the host HOST_KEY in the dc DC_KEY saw since its last
 * report.  Keys are hashes of the names, not 0.  Reports must reach the
 * detector at most once. */
void detection_detector_report (struct detection_detector *detector,
                                int64_t now_us, uint64_t host_key,
                                uint64_t dc_key,
                                const struct detection_report_item *items,
                                size_t count);

/** A health or load endpoint spoke. */
void detection_detector_hint (struct detection_detector *detector,
                              int64_t now_us, uint64_t target_key,
                              enum detection_hint hint);

/** A probe of an ejected target ended. */
void detection_detector_probe_result (struct detection_detector *detector,
                                      int64_t now_us, uint64_t target_key,
                                      bool ok);

/** Decide.  Call every second or so and after reports; the decisions repeat
 * until they are carried out. */
struct detection_decisions
detection_detector_step (struct detection_detector *detector, int64_t now_us);

/** The ejection of the target came into force, by this detector's advice, by
 * an operator, or found in the record by a new owner. */
void detection_detector_ejected (struct detection_detector *detector,
                                 int64_t now_us, uint64_t target_key);

/** The target was put back in service; it warms up. */
void detection_detector_reinstated (struct detection_detector *detector,
                                    int64_t now_us, uint64_t target_key);

/** What is believed of a target and why.
 * @return false for an unknown target */
bool detection_detector_explain (const struct detection_detector *detector,
                                 int64_t now_us, uint64_t target_key,
                                 struct detection_explanation *explanation);

#endif
