/** @file
 * The target's end of an exchange, towards libcurl: sends the request and
 * takes in the answer, for one attempt.
 */
#ifndef NODE_CALLER_EXCHANGE_SEND_H
#define NODE_CALLER_EXCHANGE_SEND_H

#include "node/caller/exchange.h"

/** Begin an attempt at the target with NUMBER in the service's settings. */
void exchange_send (struct exchange *x, uint32_t number);

/** Pass X on to the host at ADDRESS, which issued its ticket. */
void exchange_relay (struct exchange *x, const char *host,
                     const char *address);

/** Let a call that paused go on, as far as there is something to do. */
void exchange_unpause_attempt (struct exchange *x);

#endif
