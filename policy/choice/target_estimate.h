/** @file
 * Running estimates of one target's latency and health.
 *
 * Targets with gray failures fail in episodes: a target is healthy for a
 * while and fails one request in a hundred, then it is unhealthy for some
 * seconds and fails most of them.  This is modelled as a Markov chain with
 * two states.  Each outcome updates the probability that the target is
 * unhealthy by Bayes' rule, and over time it returns to the share of time
 * that targets of this service are unhealthy.  One failure is enough to doubt
 * a target that rarely fails, one success clears it, and a success means less
 * with every second that passes.  A mean over recent outcomes can do neither.
 */
#ifndef POLICY_CHOICE_TARGET_ESTIMATE_H
#define POLICY_CHOICE_TARGET_ESTIMATE_H

#include <stdint.h>

#include "policy/service_policy.h"

enum
{
  ESTIMATE_HALF_LIFE_US = 10000000, /**< of a latency without new samples */
  /** Time in which knowledge of a target's state decays to 1/e; matches
   * episodes, healthy or unhealthy, of some seconds. */
  ESTIMATE_STATE_DECAY_US = 6000000,
  ESTIMATE_LATENCY_EWMA_SHIFT = 4, /**< a sample has weight 1/16; small, since
                                      latencies have a long tail */
};

/** Share of requests that fail at a healthy and at an unhealthy target. */
#define ESTIMATE_HEALTHY_FAILURE_RATE 0.01
#define ESTIMATE_UNHEALTHY_FAILURE_RATE 0.75

/** The state of the estimates of one target. */
struct target_estimate
{
  double latency_us;   /**< mean time from send to end; 0 before any sample */
  double failure_rate; /**< expected share of attempts that fail, 0 to 1 */
  double p_unhealthy;  /**< probability that it is unhealthy now */
  int64_t updated_us;
  uint32_t latency_samples;
  uint32_t samples;
};

/** Start at NOW_US knowing only that targets are unhealthy P_UNHEALTHY of
 * the time. */
void target_estimate_init (struct target_estimate *e, int64_t now_us,
                           double p_unhealthy);

/** Advance to NOW_US: the state decays to the share P_UNHEALTHY, the
 * latency to PEERS_LATENCY_US (0: unknown, the latency stays). */
void target_estimate_advance (struct target_estimate *e, int64_t now_us,
                              double peers_latency_us, double p_unhealthy);

/** Update with an outcome at the time of the last advance. */
void target_estimate_observe (struct target_estimate *e, enum attempt_end end,
                              int64_t latency_us);

/** The share of attempts that fail at a target that is unhealthy with
 * probability P_UNHEALTHY. */
double target_estimate_failure_rate (double p_unhealthy);

/** The probability that the target is unhealthy when the odds of that are
 * multiplied by ODDS. */
double target_estimate_p_unhealthy (const struct target_estimate *e,
                                    double odds);

/** Update with the end of another host's attempt.  Its latency has
 * no meaning here. */
void target_estimate_observe_remote (struct target_estimate *e,
                                     enum attempt_end end);

#endif
