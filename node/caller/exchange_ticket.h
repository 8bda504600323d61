/** @file
 * The ticket of an unrepeatable request: claimed before any work is done,
 * and ended with what became of it.
 */
#ifndef NODE_CALLER_EXCHANGE_TICKET_H
#define NODE_CALLER_EXCHANGE_TICKET_H

#include "node/caller/exchange.h"

/** Claim the ticket that X brought.
 * @return true when X is to be run here; else it is answered or passed on */
bool exchange_ticket_claim (struct exchange *x);

/** End the claim, once, as the state of X says. */
void exchange_ticket_finish (struct exchange *x);

#endif
