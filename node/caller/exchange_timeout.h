/** @file
 * The time that one attempt of a repeatable request has for its answer's
 * head, so that a target that hangs leaves some for another one.
 */
#ifndef NODE_CALLER_EXCHANGE_TIMEOUT_H
#define NODE_CALLER_EXCHANGE_TIMEOUT_H

#include "node/caller/exchange.h"

/** The attempt under way has just begun. */
void exchange_timeout_start (struct exchange *x);

/** The timer came before the deadline while an attempt is under way: go to
 * another target if this one hangs, and arm the timer again. */
void exchange_timeout_check (struct exchange *x);

#endif
