/** @file
 * What happens when the timer of an exchange expires, by its state.
 */
#ifndef NODE_CALLER_EXCHANGE_TIMER_H
#define NODE_CALLER_EXCHANGE_TIMER_H

#include <ev.h>

#include "node/caller/exchange.h"

/** Callback of the timer of an exchange, which is its data. */
void exchange_timer_expired (struct ev_loop *loop, ev_timer *timer,
                             int events);

#endif
