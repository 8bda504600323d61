/** @file
 * This host's part in a service's targets: which of them it uses first, and
 * how many of their slots it may take.
 */
#ifndef NODE_CALLER_CALLER_SHARE_H
#define NODE_CALLER_CALLER_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "node/caller/caller_service.h"

/** Take note of the hosts of the set, among which the targets are divided: all
 * count alike, since callers come to all alike. */
void caller_share_update_hosts (struct caller_service *service);

/** Is TARGET outside this host's subset?  A host that callers aren't sent to
 * has none, and goes by the data centre. */
bool caller_share_is_backup (const struct caller_service *service,
                             const struct target_spec *target);

/** This host's part of the slots of TARGET, which has KEY: all of them in its
 * subset, which the others of the set use only when they must.  A request
 * takes a connection for itself, so the part of those bounds it too. */
uint32_t caller_share_slots (const struct caller_service *service,
                             uint64_t key, const struct target_spec *target);

/** This host's share of the rate limit of TARGET, in thousandths of a request
 * a second; 0 if the target has no limit or this host has no share of it. */
uint32_t caller_share_rate_millis (const struct caller_service *service,
                                   const struct target_spec *target,
                                   const struct caller_target *state);

#endif
