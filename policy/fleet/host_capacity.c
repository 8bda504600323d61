#include "policy/fleet/host_capacity.h"

#include <stdbool.h>

enum
{
  /** CPU time of one request with its response: about half of the time per
   * request of `bench/path_bench` on one core, rounded up for slower cores. */
  REQUEST_CPU_US = 500,
  /** Bytes of one request on a host's link in both directions: the request,
   * its response, and both again on the side of the target, a few kilobytes
   * each. */
  REQUEST_LINK_BYTES = 10000,
  /** A host with at least half of the weight of the strongest one (1/n)
   * counts as high-capacity. */
  HIGH_CAPACITY_DIVISOR = 2,
  /** High-capacity hosts are preferred if they have a quarter (1/n) of the
   * total weight. */
  PREFERRED_SHARE_DIVISOR = 4,
  /** Factor for the weight of preferred hosts: another host is then chosen
   * before one of them less than once in a thousand times. */
  PREFERENCE_FACTOR = 1000,

  US_PER_PERCENT = 10000,
  BYTES_PER_MBIT = 125000,
};

uint32_t
host_capacity (const struct host_resources *resources)
{
  uint64_t rate = UINT32_MAX / PREFERENCE_FACTOR;
  const uint64_t by_cpu
      = (uint64_t)resources->cpu_percent * US_PER_PERCENT / REQUEST_CPU_US;
  const uint64_t by_link
      = (uint64_t)resources->link_mbps * BYTES_PER_MBIT / REQUEST_LINK_BYTES;
  if (resources->cpu_percent == 0 && resources->link_mbps == 0)
    return HOST_CAPACITY_UNKNOWN;
  if (resources->cpu_percent > 0 && by_cpu < rate)
    rate = by_cpu;
  if (resources->link_mbps > 0 && by_link < rate)
    rate = by_link;
  return rate > HOST_CAPACITY_UNKNOWN ? (uint32_t)rate
                                      : HOST_CAPACITY_UNKNOWN + 1;
}

/** Weights of the hosts in one data centre. */
struct dc_capacity
{
  uint64_t dc;
  uint32_t max;
  uint64_t total;
  uint64_t high_capacity;
};

struct capacities
{
  uint32_t count;
  struct dc_capacity dcs[FLEET_DCS_MAX];
};

static struct dc_capacity *
find_or_add_dc (struct capacities *capacities, uint64_t dc)
{
  for (uint32_t i = 0; i < capacities->count; i++)
    if (capacities->dcs[i].dc == dc)
      return &capacities->dcs[i];
  if (capacities->count == FLEET_DCS_MAX)
    return NULL;
  struct dc_capacity *capacity = &capacities->dcs[capacities->count++];
  *capacity = (struct dc_capacity){ .dc = dc };
  return capacity;
}

static bool
is_high_capacity (const struct dc_capacity *capacity,
                  const struct fleet_host *host)
{
  return host->weight >= capacity->max / HIGH_CAPACITY_DIVISOR;
}

static bool
is_sufficient (const struct dc_capacity *dc, uint64_t rate)
{
  return dc->high_capacity * PREFERRED_SHARE_DIVISOR >= dc->total
         || (rate > 0 && dc->high_capacity >= rate);
}

void
host_capacity_prefer_strong (struct fleet_host *hosts, size_t count,
                             uint64_t rate)
{
  struct capacities capacities = { 0 };
  struct dc_capacity *dc;
  for (size_t i = 0; i < count; i++)
    if ((dc = find_or_add_dc (&capacities, hosts[i].dc)) != NULL
        && hosts[i].weight > dc->max)
      dc->max = hosts[i].weight;
  for (size_t i = 0; i < count; i++)
    if ((dc = find_or_add_dc (&capacities, hosts[i].dc)) != NULL)
      {
        dc->total += hosts[i].weight;
        if (is_high_capacity (dc, &hosts[i]))
          dc->high_capacity += hosts[i].weight;
      }
  for (size_t i = 0; i < count; i++)
    if ((dc = find_or_add_dc (&capacities, hosts[i].dc)) != NULL
        && is_high_capacity (dc, &hosts[i]) && is_sufficient (dc, rate))
      hosts[i].weight *= PREFERENCE_FACTOR;
}
