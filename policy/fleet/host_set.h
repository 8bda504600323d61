/** @file
 * Which hosts serve a service, relay settings, or watch each other.
 */
#ifndef POLICY_FLEET_HOST_SET_H
#define POLICY_FLEET_HOST_SET_H

#include "policy/fleet/fleet_host.h"

#include <stdbool.h>
#include <stddef.h>

/** How many neighbours a host watches in its own data centre: enough to check
 * indirectly.  In each other one it watches one, so that the bytes of ten
 * data centres stay bounded. */
enum neighbour_count
{
  NEIGHBOURS_IN_OWN_DC = 3,
};

/** What the hosts of a set must do together. */
struct host_set_requirement
{
  uint32_t per_dc; /**< hosts in each data centre at least, if it has them */
  uint64_t rate;   /**< requests a second in all data centres; 0: no matter */
};

/** The requests a second that targets with SLOTS slots together may get when
 * callers want their answers within GOAL_MS (0: it isn't known): what their
 * hosts must be able to carry, however much callers ask. */
uint64_t host_set_required_rate (uint64_t slots, uint32_t goal_ms);

/** RATE rounded up, so that few targets more or less leave the hosts as they
 * are. */
uint64_t host_set_round_rate (uint64_t rate);

/** The host set of the service with key SERVICE.  Each data centre takes part
 * with as many hosts as NEED says, and with more until they carry its part of
 * the rate: strong hosts first where these are enough. */
void host_set_choose (uint64_t service, const struct fleet_host *hosts,
                      size_t count, const struct host_set_requirement *need,
                      struct fleet_choice *choice);

/** Where the N-th address of an answer comes from in a set of COUNT: a
 * rotation by the caller's seed, so that answers differ by caller and the
 * first host of the set isn't everybody's first choice. */
uint32_t host_set_nth (uint32_t count, uint64_t caller_seed, uint32_t n);

/** The relays: hosts that watch the platform, PER_DC in each data centre. */
void relays_choose (const struct fleet_host *hosts, size_t count,
                    uint32_t per_dc, struct fleet_choice *choice);

/** The hosts that keep the quotas of workspaces: one in each data centre, a
 * strong one where there are any. */
void quota_coordinators_choose (const struct fleet_host *hosts, size_t count,
                                struct fleet_choice *choice);

/** How many of the relays, from the best placed on, ask the platform for the
 * newest several times a second: those of more than half of the data centres.
 * The rest hear from them sooner than from the platform, through neighbours
 * that every host has in each data centre. */
uint32_t relays_leading_count (const struct fleet_host *hosts, size_t count,
                               uint32_t per_dc);

/** The hosts that SELF (key and data centre) sends heartbeats to. */
void neighbours_choose (const struct fleet_host *self,
                        const struct fleet_host *hosts, size_t count,
                        struct fleet_choice *choice);

#endif
