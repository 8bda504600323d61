/** @file
 * The log line and the kept row of each routing decision.
 */
#ifndef NODE_CALLER_DECISION_NOTE_H
#define NODE_CALLER_DECISION_NOTE_H

#include "node/caller/exchange.h"

/** The policy's DECISION on X. */
void decision_note (struct exchange *x,
                    const struct policy_decision *decision);

/** X is passed on to HOST. */
void decision_note_relay (struct exchange *x, const char *host);

/** Logs why a target's failure is passed on to the caller of X instead of
 * another attempt: DECISION, which isn't to send. */
void decision_note_failure_passed (const struct exchange *x,
                                   const struct policy_decision *decision);

#endif
