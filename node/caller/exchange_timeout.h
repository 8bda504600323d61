/** @file
 * Limits the time until the response head of one attempt of a repeatable
 * request, so that enough time is left for another target if this one hangs.
 */
#ifndef NODE_CALLER_EXCHANGE_TIMEOUT_H
#define NODE_CALLER_EXCHANGE_TIMEOUT_H

#include "node/caller/exchange.h"

/** Start the timeout of an attempt that has just started. */
void exchange_timeout_start (struct exchange *x);

/** Check the timeout of the attempt in flight after the timer expired before
 * the deadline: retry at another target if this one hangs, and set the timer
 * again. */
void exchange_timeout_check (struct exchange *x);

#endif
