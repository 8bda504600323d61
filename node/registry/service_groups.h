/** @file
 * Groups the services of a configuration that share callers.
 *
 * Callers ask for addresses by the host name of their requests, and one host
 * name may route to several services.  Services linked by host names, directly
 * or through other services, form a group.  One set of hosts serves the whole
 * group, so that what each host of the set observes of a target is useful to
 * the others.
 */
#ifndef NODE_REGISTRY_SERVICE_GROUPS_H
#define NODE_REGISTRY_SERVICE_GROUPS_H

#include <stddef.h>

#include "wire/fleet_config.h"

/** Write the group of each service of CONFIG, in its order, to GROUPS: the
 * index of the service of the group whose name sorts first.  A group is
 * identified by that name because routes change more often than services. */
void service_groups_find (const struct fleet_config *config, size_t *groups);

#endif
