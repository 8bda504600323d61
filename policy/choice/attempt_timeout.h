/** @file
 * When an attempt is left for another one.
 *
 * An attempt that has no answer yet is either at a target that answers, and
 * its answer takes longer, or at one that never will.  How long answers take
 * is learned (latency_histogram.h), and so is how likely a target hangs.  From
 * both follows what a request may expect that leaves its attempt after a time
 * T for another: the answers that come before T, and else those of the attempt
 * begun then, less what is lost with the first one's work.  The T that
 * promises most is taken, or none.
 *
 * An answer within the caller's goal counts as 1, a later one as half, and
 * either a little less the longer it takes.
 */
#ifndef POLICY_CHOICE_ATTEMPT_TIMEOUT_H
#define POLICY_CHOICE_ATTEMPT_TIMEOUT_H

#include <stdint.h>

#include "policy/choice/latency_histogram.h"

/** What is known when an attempt begins. */
struct attempt_timeout_context
{
  int64_t remaining_us; /**< until the request's deadline */
  int64_t goal_us;    /**< until an answer is late; as left_us when there is no
                           goal, negative when it is late already */
  double p_hang;      /**< likelihood that its target never answers it */
  double p_next_hang; /**< the same of the target that would be asked next */
  uint32_t attempts_left; /**< after this one */
};

/** The age at which an attempt of OUTLOOK without an answer's head is left;
 * ATTEMPT_NO_TIMEOUT when it should wait for its deadline.  While nothing is
 * known of the service's answers, it is half of the time. */
int64_t attempt_timeout_us (const struct latency_histogram *times,
                            const struct attempt_timeout_context *outlook);

/** Would an attempt that begins LEFT_US before its deadline rather miss it
 * than not? */
bool
attempt_timeout_is_deadline_unlikely (const struct latency_histogram *times,
                                      int64_t left_us);

#endif
