/** @file
 * Requests that arrive while the settings of this host may be old, since the
 * process stood still or nobody informs it, wait a moment for newer ones.
 */
#ifndef NODE_CALLER_EXCHANGE_CONTACT_H
#define NODE_CALLER_EXCHANGE_CONTACT_H

#include "node/caller/exchange.h"

/** Whether X may be handled by the settings in force.  Otherwise it waits. */
bool exchange_contact_check (struct exchange *x);

/** Every change confirmed before AT_MS is in force. */
void exchange_contact_receive (struct caller_context *context, int64_t at_ms);

#endif
