/** @file
 * Which services of a configuration share callers.
 *
 * Callers ask for addresses by the host name that their requests bear, and
 * one name may lead to several services.  Services that are linked so, over
 * any number of names, form a group: one set of hosts serves all of it, so
 * that what each host of the set sees of a target is of use to the others.
 */
#ifndef NODE_REGISTRY_SERVICE_GROUPS_H
#define NODE_REGISTRY_SERVICE_GROUPS_H

#include <stddef.h>

#include "wire/fleet_config.h"

/** Write the group of each service of CONFIG, in its order, to GROUPS: the
 * index of the service of the group whose name comes first.  A group is known
 * by that name: routes come and go more often than services. */
void service_groups_find (const struct fleet_config *config, size_t *groups);

#endif
