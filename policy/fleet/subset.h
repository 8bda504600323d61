/** @file
 * Which host of a set uses which targets.
 *
 * Where many hosts share many targets, each host meets each target seldom: it
 * can't know which slots are free or which target has begun to fail, and
 * connections are idle for so long that they are closed.  So the targets are
 * divided: each belongs to one host of the set, in its own data centre where
 * there is one, and that host uses it first.
 */
#ifndef POLICY_FLEET_SUBSET_H
#define POLICY_FLEET_SUBSET_H

#include <stddef.h>
#include <stdint.h>

#include "policy/fleet/fleet_host.h"

/** The index in HOSTS, of which there are COUNT and at least one, of the host
 * that the target with key TARGET in data centre DC belongs to.  A host that
 * comes or goes moves only the targets that it wins or held. */
size_t subset_owner (uint64_t target, uint64_t dc,
                     const struct fleet_host *hosts, size_t count);

#endif
