/** @file
 * Running estimates of one target's latency and failure share.
 *
 * Exponentially weighted means over outcomes, which also decay with time: a
 * target that gets no traffic drifts back to what its peers show, so that a
 * bad memory doesn't keep it out for ever.
 */
#ifndef POLICY_CHOICE_TARGET_ESTIMATE_H
#define POLICY_CHOICE_TARGET_ESTIMATE_H

#include <stdint.h>

#include "policy/service_policy.h"

enum
{
  ESTIMATE_HALF_LIFE_US = 10000000, /**< of what isn't confirmed */
  ESTIMATE_FAILURE_SHIFT = 3, /**< an outcome weighs 1/8 in the failures */
  ESTIMATE_LATENCY_SHIFT = 4, /**< and 1/16 in the latency: its tail is long */
};

/** What the outcomes of one target say. */
struct target_estimate
{
  double latency_us; /**< mean time from send to end; 0 before any sample */
  double failure;    /**< share of attempts that weren't served, 0 to 1 */
  int64_t updated_us;
  uint32_t latency_samples;
  uint32_t samples;
};

/** Start with nothing known at NOW_US. */
void target_estimate_init (struct target_estimate *e, int64_t now_us);

/** Let time pass until NOW_US: the failure share fades, the latency drifts to
 * PEERS_LATENCY_US (0: unknown, it stays). */
void target_estimate_advance (struct target_estimate *e, int64_t now_us,
                              double peers_latency_us);

/** Learn from one outcome at the time advanced to last. */
void target_estimate_observe (struct target_estimate *e, enum attempt_end end,
                              int64_t latency_us);

#endif
