/** @file
 * The attempts at one target that have no response yet, and what their ages
 * imply about the target's health.
 *
 * A target that hangs produces no outcomes: its attempts just stay open.  If
 * only outcomes counted, more and more requests would be sent to it until the
 * first one timed out.  The symptom is that several requests in a row fail at
 * a target that has hung for seconds.  By Bayes' rule, the target is the more
 * likely unhealthy the longer an attempt stays open beyond the usual response
 * time.
 */
#ifndef POLICY_CHOICE_OPEN_ATTEMPTS_H
#define POLICY_CHOICE_OPEN_ATTEMPTS_H

#include <stdint.h>

#include "policy/choice/latency_histogram.h"
#include "policy/cost/work_distribution.h"

enum
{
  /** The oldest attempts are kept, since younger ones carry less
   * information. */
  OPEN_ATTEMPTS_MAX = 8,
};

struct open_attempts
{
  int64_t started_us[OPEN_ATTEMPTS_MAX]; /**< ascending */
  double work_us[OPEN_ATTEMPTS_MAX];     /**< expected; 0: unknown */
  uint32_t count;
};

/** What is known about the service's targets. */
struct open_attempts_context
{
  const struct latency_histogram *latencies;
  double hang_share; /**< share of failures that hang */
  double slowdown;  /**< how many times longer this target takes to respond; at
                         least 1 */
  int64_t decay_us; /**< time in which knowledge of a target's state decays
                         to 1/e */
};

/** Record the start of an attempt. */
void open_attempts_add (struct open_attempts *open, int64_t now_us);

/** Set the expected work of the attempt just added at STARTED_US.  No effect
 * if the list was full. */
void open_attempts_set_work (struct open_attempts *open, int64_t started_us,
                             double work_us);

/** Expected remaining work at NOW_US of COUNT attempts, including those not in
 * the list.  An attempt of unknown work counts as UNKNOWN_US.
 * @param slowness of the target: how many times longer work takes there */
double
open_attempts_remaining_us (const struct open_attempts *open,
                            const struct work_distribution *distribution,
                            uint32_t count, double unknown_us, double slowness,
                            int64_t now_us);

/** Remove the attempt that started at about STARTED_US. */
void open_attempts_remove (struct open_attempts *open, int64_t started_us);

/** The factor, at least 1, by which the attempts open at NOW_US raise the
 * odds that the target is unhealthy. */
double open_attempts_odds_factor (const struct open_attempts *open,
                                  const struct open_attempts_context *context,
                                  int64_t now_us);

#endif
