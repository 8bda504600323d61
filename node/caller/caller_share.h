/** @file
 * This host's share of a service's targets: which of them it uses first, and
 * how many of their slots it may use.
 */
#ifndef NODE_CALLER_CALLER_SHARE_H
#define NODE_CALLER_CALLER_SHARE_H

#include <stdbool.h>
#include <stdint.h>

#include "node/caller/caller_service.h"

/** Update the hosts among which the targets are divided from the set.  All
 * have the same weight, since callers distribute their requests evenly. */
void caller_share_update_hosts (struct caller_service *service);

/** Update the fleet by which the retry reserve is divided. */
void caller_share_update_fleet (struct caller_service *service);

/** Whether TARGET is outside this host's subset.  A host outside the set has
 * no subset; to it, the targets of other data centres are backups. */
bool caller_share_is_backup (const struct caller_service *service,
                             const struct target_spec *target);

/** This host's share of the slots of TARGET, which has KEY.  Without a granted
 * share it is all slots for targets of its subset, which the other hosts of
 * the set use only if they must.  Each request needs a connection of its own,
 * so the target's connections limit the share too. */
uint32_t caller_share_slots (const struct caller_service *service,
                             uint64_t key, const struct target_spec *target);

/** The slots to which that share is reduced while all targets are overloaded,
 * so that the shares of all hosts of the set add up to its slots, or to one
 * for each host if there are more of them; 0: it isn't reduced.  A granted
 * share needs no reduction. */
uint32_t caller_share_fair_slots (const struct caller_service *service,
                                  const struct target_spec *target);

/** This host's share of the rate limit of TARGET, in thousandths of a request
 * per second; 0 if the target has no limit or this host has no share of it. */
uint32_t caller_share_rate_millis (const struct caller_service *service,
                                   const struct target_spec *target,
                                   const struct caller_target *state);

#endif
