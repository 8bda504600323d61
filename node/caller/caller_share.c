#include "node/caller/caller_share.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/xmalloc.h"
#include "policy/choice/slot_limit.h"
#include "policy/fleet/subset.h"
#include "policy/limit/limit_share.h"

enum
{
  /** Added to the equal part, in square roots of it: the number of requests
   * that a host has in flight has this standard deviation, and exceeds the
   * mean by two of them one time in forty. */
  SHARE_DEVIATIONS = 2,
};

/* Keeps the largest fleet seen.  In a network partition each host sees a
   smaller fleet and would take a larger part of the retry reserve, so that
   together the hosts would use more than all of it.  Therefore a host's part
   never grows during the lifetime of the process. */
void
caller_share_update_fleet (struct caller_service *service)
{
  struct retry_fleet *fleet = &service->retry_fleet;
  const uint32_t in_set = (uint32_t)service->host_count;
  const uint32_t all = (uint32_t)service->fleet_count;
  fleet->in_set = service->in_set || service->host_count == 0;
  if (fleet->set_hosts < in_set)
    fleet->set_hosts = in_set;
  if (fleet->hosts < all)
    fleet->hosts = all;
}

void
caller_share_update_hosts (struct caller_service *service)
{
  free (service->rendezvous_hosts);
  service->rendezvous_hosts
      = xcalloc (service->host_count + 1, sizeof *service->rendezvous_hosts);
  for (size_t i = 0; i < service->host_count; i++)
    service->rendezvous_hosts[i]
        = (struct fleet_host){ .key = hash_string (service->hosts[i].name),
                               .dc = hash_string (service->hosts[i].dc),
                               .weight = 1 };
}

/* The share of TOTAL if all hosts of the set have the same demand, with a
   margin.  Targets have few slots, so with exactly equal parts one request
   would fill a host's part of each healthy target, and the host would have to
   use unhealthy targets while healthy ones have free slots.  If several hosts
   use the same target at once, it queues or sheds some requests, which costs
   less. */
static uint32_t
equal_share (const struct caller_service *service, uint32_t total)
{
  const double hosts = service->host_count > 0 ? service->host_count : 1;
  const double part = total / hosts;
  const double share = ceil (part + SHARE_DEVIATIONS * sqrt (part));
  return (uint32_t)fmax (fmin (share, total), 1);
}

static uint32_t
share_of (const struct caller_service *service, uint64_t key, uint32_t total)
{
  return service->share.permille > 0
             ? slot_share_of (&service->share, key, total)
             : equal_share (service, total);
}

bool
caller_share_is_backup (const struct caller_service *service,
                        const struct target_spec *target)
{
  if (!service->in_set)
    return strcmp (target->dc, service->own_dc) != 0;
  const size_t owner
      = subset_owner (hash_string (target->name), hash_string (target->dc),
                      service->rendezvous_hosts, service->host_count);
  return service->rendezvous_hosts[owner].key != service->own_key;
}

static uint32_t
slots_bound (const struct target_spec *target)
{
  return target->connections > 0 && target->connections < target->slots
             ? target->connections
             : target->slots;
}

uint32_t
caller_share_slots (const struct caller_service *service, uint64_t key,
                    const struct target_spec *target)
{
  const uint32_t bound = slots_bound (target);
  if (service->in_set && service->share.permille == 0
      && !caller_share_is_backup (service, target))
    return bound;
  return share_of (service, key, bound);
}

uint32_t
caller_share_fair_slots (const struct caller_service *service,
                         const struct target_spec *target)
{
  if (service->share.permille > 0)
    return 0;
  return slot_limit_fair_share (slots_bound (target),
                                (uint32_t)service->host_count);
}

uint32_t
caller_share_rate_millis (const struct caller_service *service,
                          const struct target_spec *target,
                          const struct caller_target *state)
{
  if (state->limit.rate_millis == 0)
    return 0;
  return limit_share (state->limit.rate_millis, hash_string (target->name),
                      service->own_key, service->rendezvous_hosts,
                      service->host_count);
}
