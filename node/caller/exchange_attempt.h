/** @file
 * The attempts of an exchange: evaluates responses and decides on retries.
 */
#ifndef NODE_CALLER_EXCHANGE_ATTEMPT_H
#define NODE_CALLER_EXCHANGE_ATTEMPT_H

#include "node/caller/exchange.h"

/** The time that the target has taken so far, excluding the time spent waiting
 * for the caller. */
int64_t exchange_attempt_latency_us (const struct exchange_attempt *attempt);

/** Evaluate a response whose head was received: forward it, or retry. */
void exchange_evaluate_response (struct exchange *x);

/** Cancel the attempt in flight, if any, and report END to the policy. */
void exchange_cancel_attempt (struct exchange *x, enum attempt_end end);

/** Handle the end of the attempt's call: use the response, or retry. */
void exchange_attempt_ended (struct exchange *x, enum target_call_end end,
                             const char *message);

#endif
