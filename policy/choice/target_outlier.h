/** @file
 * Detection of targets that are outliers among their peers.
 *
 * Latency is compared with the median of the service's targets, and the
 * expected share of unhealthy targets is learned from all of them.  A fault
 * common to most targets (upstream, in the requests, at this host) thus
 * raises the baseline and makes no target a suspect for long.
 */
#ifndef POLICY_CHOICE_TARGET_OUTLIER_H
#define POLICY_CHOICE_TARGET_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/choice/target_estimate.h"

/** Values that are typical of the service's targets; 0 before any outcome. */
struct peer_baseline
{
  double latency_us;
  double unhealthy_share; /**< learned share of time that a target is
                               unhealthy */
};

/** The lower median of COUNT values, which are reordered; 0 when empty. */
double target_outlier_median (double *values, uint32_t count);

/** Is a target with P_UNHEALTHY more likely unhealthy than not?
 * WAS_FAILING, the previous result, provides hysteresis; FASTER lowers the
 * threshold. */
bool target_outlier_is_failing (double p_unhealthy, bool was_failing,
                                bool faster);

/** Update the share of time that targets are unhealthy, which is learned
 * over seconds, with SHARE, the mean of the current probabilities.
 * @param elapsed_us time since the last update */
double target_outlier_learn_unhealthy_share (double unhealthy_share,
                                             double share, int64_t elapsed_us);

/** Is the latency, without the round trip of twice DISTANCE_US, an outlier?
 * WAS_SLOW, the previous result, provides hysteresis. */
bool target_outlier_is_slow (const struct target_estimate *e,
                             const struct peer_baseline *baseline,
                             bool was_slow, uint32_t distance_us);

/** Latency without the round trip to another dc. */
double target_outlier_own_latency_us (const struct target_estimate *e,
                                      uint32_t distance_us);

#endif
