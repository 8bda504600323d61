/** @file
 * Tracks the rate limits that targets set in their responses and exchanges
 * them with other hosts: BUS_LIMITS_ANNOUNCED carries local changes,
 * BUS_LIMITS_RECEIVED changes from other hosts.
 */
#ifndef NODE_CALLER_TARGET_LIMITS_H
#define NODE_CALLER_TARGET_LIMITS_H

#include "node/bus.h"
#include "node/caller/caller_context.h"

struct exchange;

/** Update the limit of X's target from the response to X's attempt, which may
 * lack the field. */
void target_limits_update_from_answer (const struct exchange *x);

/** Apply limits received from another host. */
void target_limits_receive (struct caller_context *context,
                            const struct bus_limits *received);

/** Start or stop the periodic resend for hosts that were partitioned or have
 * just started. */
void target_limits_start (struct caller_context *context);
void target_limits_stop (struct caller_context *context);

#endif
