/** @file
 * Retries that hosts of a service's set lend to hosts outside it.
 *
 * A host outside the set earns a fifth of a retry with each of its few
 * requests.  Without loans most of its requests fail with their first
 * attempt, while the hosts of the set have retries left.
 */
#ifndef NODE_CALLER_RETRY_LOANS_H
#define NODE_CALLER_RETRY_LOANS_H

#include "node/bus.h"
#include "node/caller/caller_context.h"

/** Request a retry from a host of the set if this host is outside it and has
 * none. */
void retry_loans_request (const struct caller_context *context,
                          struct caller_service *service);

/** Another host requests retries: lend it some if possible. */
void retry_loans_lend (const struct caller_context *context,
                       const struct bus_retries *requested);

/** A host of the set has lent retries to this one. */
void retry_loans_receive (const struct caller_context *context,
                          const struct bus_retries *lent);

#endif
