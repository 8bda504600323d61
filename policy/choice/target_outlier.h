/** @file
 * Which targets stand out from their peers.
 *
 * The measure of latency is the median of the service's targets, and the
 * expected share of ill ones follows what is seen of all, so that a fault
 * common to most of them (upstream, in the requests, at this host) raises the
 * measure and makes nobody a suspect for long.
 */
#ifndef POLICY_CHOICE_TARGET_OUTLIER_H
#define POLICY_CHOICE_TARGET_OUTLIER_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/choice/target_estimate.h"

/** What the service's targets show in the middle; 0 before any outcome. */
struct peer_baseline
{
  double latency_us;
  double unhealthy_share; /**< share of the time that a target is ill, as
                             learned */
};

/** The lower median of COUNT values, which are reordered; 0 when empty. */
double target_outlier_median (double *values, uint32_t count);

/** Is a target that is ill with ILL more likely so than not?  WAS gives
 * hysteresis; FASTER lowers the threshold. */
bool target_outlier_is_failing (double ill, bool was, bool faster);

/** The share of time that targets are ill, learned over seconds from SHARE,
 * the mean of what is believed of them now.
 * @param passed_us since it was learned last */
double target_outlier_learn_unhealthy_share (double ill, double share,
                                             int64_t passed_us);

/** Does the latency, without the way of DISTANCE_US there and back, stand
 * out? */
bool target_outlier_is_slow (const struct target_estimate *e,
                             const struct peer_baseline *baseline, bool was,
                             uint32_t distance_us);

/** Latency without the way to another dc and back. */
double target_outlier_own_latency_us (const struct target_estimate *e,
                                      uint32_t distance_us);

#endif
