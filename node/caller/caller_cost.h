/** @file
 * Expected work of requests at this host: what it is learned by, from which
 * attempts, and at which services it decides.
 */
#ifndef NODE_CALLER_CALLER_COST_H
#define NODE_CALLER_CALLER_COST_H

#include <stdint.h>

#include "node/caller/exchange.h"

/** Use expected work at the services whose configured routes differ, if the
 * host's settings allow it; to be called when routes or services change. */
void caller_cost_update_services (struct caller_context *context);

/** Set KEYS of X: its class (route, method, workspace, size of the body),
 * route and service; all 0 if the service doesn't use expected work.  A body
 * of unknown size has a class of its own. */
void caller_cost_keys (const struct exchange *x,
                       uint64_t keys[POLICY_COST_KEYS]);

/** The attempt of X ended with END after LATENCY_US: learn its work, and count
 * it if the attempt was answered and its work had been estimated.  Call it
 * before caller_service_record_outcome(). */
void caller_cost_learn (struct exchange *x, enum attempt_end end,
                        int64_t latency_us);

#endif
