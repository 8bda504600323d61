/** @file
 * When to abandon an attempt and try another target.
 *
 * An attempt without a response is either at a target that is slow to
 * respond, or at one that hangs and never will.  The distribution of response
 * times (latency_histogram.h) and the probability that a target hangs are
 * learned.  They give the expected value of a timeout T: the responses that
 * arrive before T, plus those of a second attempt started at T, minus the
 * cost of the abandoned work.  The T with the highest expected value is used,
 * or no timeout if none is better than waiting.
 *
 * A response within the caller's latency goal counts 1, a later one half, and
 * both slightly less the longer they take.
 */
#ifndef POLICY_CHOICE_ATTEMPT_TIMEOUT_H
#define POLICY_CHOICE_ATTEMPT_TIMEOUT_H

#include <stdint.h>

#include "policy/choice/latency_histogram.h"

/** Inputs known when an attempt starts. */
struct attempt_timeout_context
{
  int64_t remaining_us; /**< until the request's deadline */
  int64_t goal_us;      /**< until a response is late; same as remaining_us
                             without a goal, negative if it is late already */
  double p_hang;        /**< probability that this target never responds */
  double p_next_hang; /**< the same for the next target that would be tried */
  uint32_t remaining_attempts; /**< after this one */
};

/** The age at which an attempt that has no response headers yet is
 * abandoned, or ATTEMPT_NO_TIMEOUT to wait for the deadline.  It is half of
 * the remaining time while the service's response times are unknown. */
int64_t attempt_timeout_us (const struct latency_histogram *latencies,
                            const struct attempt_timeout_context *context);

/** Is an attempt with REMAINING_US before its deadline more likely to miss
 * it than to meet it? */
bool attempt_timeout_is_deadline_unlikely (
    const struct latency_histogram *latencies, int64_t remaining_us);

#endif
