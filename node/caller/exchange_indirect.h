/** @file
 * Attempts at targets through another host, and such attempts of other hosts
 * at this one.
 *
 * The request goes to the other host's caller address with the fields
 * `Jaystair-Relayed: 1`, `Jaystair-Service: NAME` and `Jaystair-Target: NAME`.
 * That host makes one attempt at this target and forwards its response.  Its
 * own responses have the field `Jaystair-Unreached`: with status 503 the
 * target didn't get the request, otherwise it may have run it.  Requests with
 * a key aren't sent this way.
 */
#ifndef NODE_CALLER_EXCHANGE_INDIRECT_H
#define NODE_CALLER_EXCHANGE_INDIRECT_H

#include "node/caller/exchange.h"

extern const char exchange_indirect_unreached_field[];

/** The host through which X goes to the target with INDEX, or NULL: directly.
 */
const struct bus_host_entry *exchange_indirect_choose (struct exchange *x,
                                                       uint32_t index);

/** The attempt of X has ended: learn whether its target can be reached. */
void exchange_indirect_note_end (struct exchange *x, enum attempt_end end);

/** Whether the response to X is one of the other host, not of the target.
 * @param end receives how the attempt has ended then */
bool exchange_indirect_is_unreached (const struct exchange *x,
                                     enum attempt_end *end);

/** Whether another host requests an attempt at one target. */
bool exchange_indirect_is_requested (const struct exchange *x);

/** The service that the other host has selected among those of ROUTE, or
 * NULL. */
const char *exchange_indirect_service (const struct exchange *x,
                                       const struct route *route);

/** Make the attempt that another host requests, or refuse it. */
void exchange_indirect_admit (struct exchange *x);

#endif
