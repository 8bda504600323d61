/** @file
 * What a host has, and the bounds that follow from it.
 */
#ifndef NODE_HOST_RESOURCES_H
#define NODE_HOST_RESOURCES_H

#include <stdint.h>

#include "base/options.h"
#include "policy/fleet/host_capacity.h"

/** Read the object "resources" of TOP, if it is there. */
void host_resources_read (struct options *top,
                          struct host_resources *resources);

/** How many callers may be connected at once to a host with RESOURCES;
 * UNKNOWN where these don't say.  Too few is as bad as too many: callers whose
 * connections nobody accepts wait for nothing, and requests that lie there are
 * answered after all time for them has passed. */
uint32_t
host_resources_max_connections (const struct host_resources *resources,
                                uint32_t unknown);

#endif
