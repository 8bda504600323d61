/** @file
 * Running estimates of one target's latency and of its failing.
 *
 * Targets with gray failures fail in spells: a target is well for a while and
 * fails one request in a hundred, then it is ill for some seconds and fails
 * most.  So the failures are read as those of a Markov chain with these two
 * states: each outcome moves the probability that the target is ill by Bayes'
 * rule, and time moves it back to the share of time that targets of this
 * service are ill.  One failure is enough to doubt a target that is seldom
 * wrong, one success clears it, and a success says less with every second
 * that passes; a mean over the last outcomes can do neither.
 */
#ifndef POLICY_CHOICE_TARGET_ESTIMATE_H
#define POLICY_CHOICE_TARGET_ESTIMATE_H

#include <stdint.h>

#include "policy/service_policy.h"

enum
{
  ESTIMATE_HALF_LIFE_US = 10000000, /**< of a latency that isn't confirmed */
  /** Time in which what is known of a target's state fades to 1/e.  Spells
   * of some seconds, ill or well, fade about so. */
  ESTIMATE_STATE_DECAY_US = 6000000,
  ESTIMATE_LATENCY_EWMA_SHIFT
  = 4, /**< an outcome weighs 1/16: its tail is long */
};

/** Share of requests that fail at a target that is well, and ill. */
#define ESTIMATE_HEALTHY_FAILURE_RATE 0.01
#define ESTIMATE_UNHEALTHY_FAILURE_RATE 0.75

/** What the outcomes of one target say. */
struct target_estimate
{
  double latency_us;   /**< mean time from send to end; 0 before any sample */
  double failure_rate; /**< expected share of attempts that fail, 0 to 1 */
  double p_unhealthy;  /**< probability that it is ill now */
  int64_t updated_us;
  uint32_t latency_samples;
  uint32_t samples;
};

/** Start with nothing known at NOW_US but that targets are ill for the share
 * ILL of the time. */
void target_estimate_init (struct target_estimate *e, int64_t now_us,
                           double ill);

/** Let time pass until NOW_US: the state drifts to the share ILL, the latency
 * to PEERS_LATENCY_US (0: unknown, it stays). */
void target_estimate_advance (struct target_estimate *e, int64_t now_us,
                              double peers_latency_us, double ill);

/** Learn from one outcome at the time advanced to last. */
void target_estimate_observe (struct target_estimate *e, enum attempt_end end,
                              int64_t latency_us);

/** The share of attempts that fail at a target that is ill with ILL. */
double target_estimate_failure_rate (double ill);

/** The probability that it is ill when the odds of it are ODDS times as high
 * as E says. */
double target_estimate_p_unhealthy (const struct target_estimate *e,
                                    double odds);

/** Learn how an attempt of another host ended, whose latency says nothing
 * here. */
void target_estimate_observe_remote (struct target_estimate *e,
                                     enum attempt_end end);

#endif
