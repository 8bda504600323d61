/** @file
 * Divides the targets of a service among the hosts of its set.
 *
 * If many hosts share many targets, each host uses each target rarely: it
 * can't know which slots are free or which target has begun to fail, and
 * connections stay idle for so long that they are closed.  Therefore each
 * target is assigned to one host of the set, in its own data centre if there
 * is one, and that host uses it first.
 */
#ifndef POLICY_FLEET_SUBSET_H
#define POLICY_FLEET_SUBSET_H

#include <stddef.h>
#include <stdint.h>

#include "policy/fleet/fleet_host.h"

/** Return the index in HOSTS, which has COUNT hosts and at least one, of the
 * host that owns the target with key TARGET in data centre DC.  A host that
 * is added or removed moves only the targets that it gains or had. */
size_t subset_owner (uint64_t target, uint64_t dc,
                     const struct fleet_host *hosts, size_t count);

#endif
