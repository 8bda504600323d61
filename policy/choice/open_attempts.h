/** @file
 * The attempts at one target that have no answer yet, and what their ages say.
 *
 * A target that turns ill by hanging says nothing: its attempts only stay
 * open.  Guards against more and more of them until the first one's time is
 * over; shows as several requests that end in a row at a target when it has
 * hung for seconds.  The longer an attempt is open beyond the time in which
 * answers come, the more likely the target is ill, by Bayes' rule.
 */
#ifndef POLICY_CHOICE_OPEN_ATTEMPTS_H
#define POLICY_CHOICE_OPEN_ATTEMPTS_H

#include <stdint.h>

#include "policy/choice/latency_histogram.h"

enum
{
  /** The oldest ones are kept: younger ones say less. */
  OPEN_ATTEMPTS_MAX = 8,
};

struct open_attempts
{
  int64_t started_us[OPEN_ATTEMPTS_MAX]; /**< ascending */
  uint32_t count;
};

/** What is known of the service's targets. */
struct open_attempts_context
{
  const struct latency_histogram *latencies;
  double hang_share; /**< share of failures that hang */
  double
      slowdown; /**< how much longer this target's answers take; 1 or more */
  int64_t decay_us; /**< time in which a target's state fades to 1/e */
};

/** An attempt begins. */
void open_attempts_add (struct open_attempts *open, int64_t now_us);

/** The attempt that began at about BEGUN_US has ended. */
void open_attempts_remove (struct open_attempts *open, int64_t begun_us);

/** By what factor the odds that the target is ill are greater for what is open
 * at NOW_US: 1 or more. */
double open_attempts_odds_factor (const struct open_attempts *open,
                                  const struct open_attempts_context *evidence,
                                  int64_t now_us);

#endif
