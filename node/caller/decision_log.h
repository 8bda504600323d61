/** @file
 * Logs each routing decision and adds it to the decision ring.
 */
#ifndef NODE_CALLER_DECISION_LOG_H
#define NODE_CALLER_DECISION_LOG_H

#include "node/caller/exchange.h"

/** Log the policy's DECISION on X. */
void decision_log (struct exchange *x, const struct policy_decision *decision);

/** Log that X is relayed to HOST. */
void decision_log_relay (struct exchange *x, const char *host);

/** Log that X is passed on whole to HOST. */
void decision_log_forward (struct exchange *x, const char *host);

/** Log why a target's failure is forwarded to the caller of X instead of
 * another attempt.  DECISION is the policy's, which isn't to send. */
void decision_log_failure_forwarded (const struct exchange *x,
                                     const struct policy_decision *decision);

/** Count REASON, why X wasn't sent, if that is the precedence of others. */
void decision_count_precedence (const struct exchange *x,
                                enum policy_reason reason);

#endif
