/** @file
 * What one observer, a host or a dc as a whole, makes of one target.
 *
 * Kept beside the target's score over all observers, to see whether they
 * agree: a fault on the path shows at one of them only.
 */
#ifndef POLICY_DETECTION_OBSERVER_H
#define POLICY_DETECTION_OBSERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/detection/explanation.h"

/** Running totals of evidence on a target, never faded. */
struct detection_totals
{
  uint64_t requests;
  double ratios[DETECTION_TESTS]; /**< unclamped log-likelihood ratios */
};

/** The totals when a score last left 0: its run began there. */
struct detection_run
{
  uint64_t own_requests;
  uint64_t all_requests;
  double own_ratio;
  double all_ratio;
};

struct detection_observer
{
  uint64_t key;    /**< of the host, or of the dc */
  uint64_t dc_key; /**< the dc it is in; its own key for a dc */
  bool is_dc;
  bool excluded; /**< its path is at fault: judge without it */
  int64_t excluded_us;
  int64_t seen_us; /**< newest evidence */
  double scores[DETECTION_TESTS];
  struct detection_run runs[DETECTION_TESTS];
  struct detection_totals totals;
  double requests; /**< fading over half a minute, as the next two */
  double failures;
  double slow;
};

/** Evidence as the tests see it. */
struct detection_likelihood
{
  uint32_t requests;
  uint32_t failures;
  uint32_t slow;
  double ratios[DETECTION_TESTS];
};

/** Take in evidence of this observer.
 * @param all the target's totals before this evidence
 * @param most the highest score kept */
void detection_observer_add (struct detection_observer *observer,
                             int64_t now_us,
                             const struct detection_likelihood *weighed,
                             const struct detection_totals *all, double most);

/** Forget the scores. */
void detection_observer_reset (struct detection_observer *observer);

/** What all others saw since this observer's run on TEST began. */
struct detection_likelihood
detection_observer_others (const struct detection_observer *observer, int test,
                           const struct detection_totals *all);

/** The highest of the scores. */
double detection_observer_score (const struct detection_observer *observer);

#endif
