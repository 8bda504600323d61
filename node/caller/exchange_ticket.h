/** @file
 * The ticket of an unrepeatable request: claimed before the first attempt, and
 * finished with the outcome of the request.
 */
#ifndef NODE_CALLER_EXCHANGE_TICKET_H
#define NODE_CALLER_EXCHANGE_TICKET_H

#include "node/caller/exchange.h"

/** Claim the ticket of X.
 * @return true if X may run here; otherwise X was refused or relayed */
bool exchange_ticket_claim (struct exchange *x);

/** End the claim, once, with the outcome that follows from the state of X. */
void exchange_ticket_finish (struct exchange *x);

#endif
