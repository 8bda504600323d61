/** @file
 * An exchange's attempts: which target, what came of it, whether to try
 * again.
 */
#ifndef NODE_CALLER_EXCHANGE_ATTEMPT_H
#define NODE_CALLER_EXCHANGE_ATTEMPT_H

#include "node/caller/exchange.h"

/** Ask the policy for a target and do as it says. */
void exchange_admit (struct exchange *x);

/** How long the target took so far, without the time for which it waited for
 * the caller. */
int64_t exchange_attempt_latency_us (const struct exchange_attempt *attempt);

/** X's next attempt as the policy is asked for it. */
struct policy_request exchange_policy_request (const struct exchange *x);

/** The head of an answer is there: use it, or try again. */
void exchange_evaluate_response (struct exchange *x);

/** Give up the attempt under way, if any; END is told to the policy. */
void exchange_cancel_attempt (struct exchange *x, enum attempt_end end);

/** The call of the attempt ended: use its answer, or try again. */
void exchange_attempt_ended (struct exchange *x, enum target_call_end end,
                             const char *message);

/** What the policy decided on X. */
void exchange_apply_decision (struct exchange *x,
                              const struct policy_decision *decision);

#endif
