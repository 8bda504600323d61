/** @file
 * The target's side of an exchange, towards libcurl: sends the request and
 * receives the response of one attempt.
 */
#ifndef NODE_CALLER_EXCHANGE_SEND_H
#define NODE_CALLER_EXCHANGE_SEND_H

#include "node/caller/exchange.h"

/** Start an attempt at target INDEX of the service's settings. */
void exchange_send (struct exchange *x, uint32_t index);

/** Relay X to the host at ADDRESS, which issued its ticket. */
void exchange_relay (struct exchange *x, const char *host,
                     const char *address);

/** Pass X on whole to HOST. */
void exchange_send_whole (struct exchange *x,
                          const struct bus_host_entry *host);

/** Unpause the call for the directions in which data or space is available. */
void exchange_unpause_attempt (struct exchange *x);

#endif
