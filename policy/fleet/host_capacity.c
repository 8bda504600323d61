#include "policy/fleet/host_capacity.h"

#include <stdbool.h>

enum
{
  /** Processor time of one request with its answer: about half of what
   * `bench/path_bench` measures on one core, rounded up for slower ones. */
  REQUEST_CPU_US = 500,
  /** Bytes of one request on a host's link, in and out: a request, its answer
   * and both again at the target, a few kilobytes each. */
  REQUEST_LINK_BYTES = 10000,
  /** A host of at least half of the strongest one's weight is as good. */
  STRONG_PART = 2,
  /** The strong ones are preferred if they hold a quarter of all weight. */
  SHARE_PART = 4,
  /** What preference multiplies by: a weak host is then chosen before a
   * strong one less than once in a thousand times. */
  PREFERENCE = 1000,

  US_PER_PERCENT = 10000,
  BYTES_PER_MBIT = 125000,
};

uint32_t
host_capacity (const struct host_resources *resources)
{
  uint64_t rate = UINT32_MAX / PREFERENCE;
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

/** The weights of one data centre. */
struct dc_strength
{
  uint64_t dc;
  uint32_t best;
  uint64_t total;
  uint64_t strong;
};

struct strengths
{
  uint32_t count;
  struct dc_strength dcs[FLEET_DCS_MAX];
};

static struct dc_strength *
strength_of (struct strengths *strengths, uint64_t dc)
{
  for (uint32_t i = 0; i < strengths->count; i++)
    if (strengths->dcs[i].dc == dc)
      return &strengths->dcs[i];
  if (strengths->count == FLEET_DCS_MAX)
    return NULL;
  struct dc_strength *strength = &strengths->dcs[strengths->count++];
  *strength = (struct dc_strength){ .dc = dc };
  return strength;
}

static bool
is_strong (const struct dc_strength *strength, const struct fleet_host *host)
{
  return host->weight >= strength->best / STRONG_PART;
}

static bool
is_enough (const struct dc_strength *dc, uint64_t rate)
{
  return dc->strong * SHARE_PART >= dc->total
         || (rate > 0 && dc->strong >= rate);
}

void
host_capacity_prefer_strong (struct fleet_host *hosts, size_t count,
                             uint64_t rate)
{
  struct strengths strengths = { 0 };
  struct dc_strength *dc;
  for (size_t i = 0; i < count; i++)
    if ((dc = strength_of (&strengths, hosts[i].dc)) != NULL
        && hosts[i].weight > dc->best)
      dc->best = hosts[i].weight;
  for (size_t i = 0; i < count; i++)
    if ((dc = strength_of (&strengths, hosts[i].dc)) != NULL)
      {
        dc->total += hosts[i].weight;
        if (is_strong (dc, &hosts[i]))
          dc->strong += hosts[i].weight;
      }
  for (size_t i = 0; i < count; i++)
    if ((dc = strength_of (&strengths, hosts[i].dc)) != NULL
        && is_strong (dc, &hosts[i]) && is_enough (dc, rate))
      hosts[i].weight *= PREFERENCE;
}
