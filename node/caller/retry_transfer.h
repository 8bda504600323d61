/** @file
 * Transfer of retries from hosts of a service's set to hosts outside it.
 *
 * A host outside the set earns a fifth of a retry with each of its few
 * requests.  Without transfers most of its requests fail with their first
 * attempt, while the hosts of the set have retries left.
 */
#ifndef NODE_CALLER_RETRY_TRANSFER_H
#define NODE_CALLER_RETRY_TRANSFER_H

#include "node/bus.h"
#include "node/caller/caller_context.h"

/** Request a retry from a host of the set if this host is outside it and has
 * none. */
void retry_transfer_request (const struct caller_context *context,
                             struct caller_service *service);

/** Another host requests retries: send it some if possible. */
void retry_transfer_send (const struct caller_context *context,
                          const struct bus_retries *requested);

/** A host of the set has sent retries to this one. */
void retry_transfer_receive (const struct caller_context *context,
                             const struct bus_retries *received);

#endif
