/** @file
 * An exchange's attempts: which target, what came of it, whether to try
 * again.
 */
#ifndef NODE_CALLER_EXCHANGE_ATTEMPT_H
#define NODE_CALLER_EXCHANGE_ATTEMPT_H

#include "node/caller/exchange.h"

/** Ask the policy for a target and do as it says. */
void exchange_admit (struct exchange *x);

/** Pass X on to the host at ADDRESS, which issued its ticket. */
void exchange_relay (struct exchange *x, const char *host,
                     const char *address);

/** The head of an answer is there: use it, or try again. */
void exchange_judge (struct exchange *x);

/** Give up the attempt under way, if any; END is told to the policy. */
void exchange_drop_attempt (struct exchange *x, enum attempt_end end);

/** Let a call that paused go on, as far as there is something to do. */
void exchange_go_on (struct exchange *x);

/** What the policy decided on X. */
void exchange_decided (struct exchange *x,
                       const struct policy_decision *decision);

#endif
