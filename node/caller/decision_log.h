/** @file
 * The log line and the kept row of each routing decision.
 */
#ifndef NODE_CALLER_DECISION_LOG_H
#define NODE_CALLER_DECISION_LOG_H

#include "node/caller/exchange.h"

/** The policy's DECISION on X. */
void decision_log (struct exchange *x, const struct policy_decision *decision);

/** X is passed on to HOST. */
void decision_log_relay (struct exchange *x, const char *host);

/** Logs why a target's failure is passed on to the caller of X instead of
 * another attempt: DECISION, which isn't to send. */
void decision_log_failure_forwarded (const struct exchange *x,
                                     const struct policy_decision *decision);

#endif
