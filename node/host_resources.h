/** @file
 * The resources of a host, and the limits derived from them.
 */
#ifndef NODE_HOST_RESOURCES_H
#define NODE_HOST_RESOURCES_H

#include <stdint.h>

#include "base/options.h"
#include "policy/fleet/host_capacity.h"

/** Read the object "resources" of TOP, if present. */
void host_resources_read (struct options *top,
                          struct host_resources *resources);

/** The maximum of concurrent caller connections for a host with RESOURCES;
 * UNKNOWN if these don't determine it.  A maximum that is too low does as much
 * harm as one that is too high: connections stay unaccepted in the listen
 * backlog while the host is idle, and their requests are served only after
 * their deadlines have passed. */
uint32_t
host_resources_max_connections (const struct host_resources *resources,
                                uint32_t unknown);

#endif
