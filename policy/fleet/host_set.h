/** @file
 * Chooses the hosts that serve a service, relay settings, coordinate quotas or
 * monitor each other.
 */
#ifndef POLICY_FLEET_HOST_SET_H
#define POLICY_FLEET_HOST_SET_H

#include "policy/fleet/fleet_host.h"

#include <stdbool.h>
#include <stddef.h>

/** Number of neighbours that a host monitors in its own data centre: enough
 * for indirect checks.  In each other data centre it monitors one, which
 * bounds the traffic with ten data centres. */
enum neighbour_count
{
  NEIGHBOURS_IN_OWN_DC = 3,
};

/** What the hosts of a set must provide together. */
struct host_set_requirement
{
  uint32_t per_dc; /**< minimum in each data centre, if it has as many */
  uint64_t rate;   /**< requests a second in all data centres; 0: any */
};

/** Return the requests a second that targets with SLOTS slots in total can
 * serve when callers expect their responses within GOAL_MS (0: not known).
 * Their hosts must be able to serve this rate, whatever the demand. */
uint64_t host_set_required_rate (uint64_t slots, uint32_t goal_ms);

/** Return RATE rounded up, so that small changes in the number of targets
 * don't change the set. */
uint64_t host_set_round_rate (uint64_t rate);

/** Choose the host set of the service with key SERVICE.  Each data centre
 * provides at least the number of hosts in REQUIREMENT, and more until they
 * can serve its share of the rate.  High-capacity hosts are preferred where
 * these suffice. */
void host_set_choose (uint64_t service, const struct fleet_host *hosts,
                      size_t count,
                      const struct host_set_requirement *requirement,
                      struct fleet_choice *choice);

/** Return the index of the N-th address of a response in a set of COUNT.
 * The order is rotated by the caller's seed, so that responses differ
 * between callers and the first host of the set isn't the first address of
 * every response. */
uint32_t host_set_nth (uint32_t count, uint64_t caller_seed, uint32_t n);

/** Choose the relays, the hosts that watch the platform, PER_DC in each data
 * centre. */
void relays_choose (const struct fleet_host *hosts, size_t count,
                    uint32_t per_dc, struct fleet_choice *choice);

/** Choose the hosts that coordinate the quotas of workspaces: one in each
 * data centre, preferably a high-capacity one. */
void quota_coordinators_choose (const struct fleet_host *hosts, size_t count,
                                struct fleet_choice *choice);

/** Return the number of relays, in order of rank, that poll the platform for
 * changes several times a second: those of more than half of the data
 * centres.  The other relays receive changes sooner from them than from the
 * platform, through the neighbours that every host has in each data centre. */
uint32_t relays_leading_count (const struct fleet_host *hosts, size_t count,
                               uint32_t per_dc);

/** Choose the hosts to which SELF (key and data centre) sends heartbeats. */
void neighbours_choose (const struct fleet_host *self,
                        const struct fleet_host *hosts, size_t count,
                        struct fleet_choice *choice);

#endif
