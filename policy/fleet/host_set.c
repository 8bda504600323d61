#include "policy/fleet/host_set.h"

#include <assert.h>

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/xmalloc.h"
#include "policy/fleet/host_capacity.h"
#include "policy/fleet/rendezvous.h"

/** Subjects that no service name hashes to by design: they keep relays and
 * neighbours independent of host sets. */
enum subject
{
  SUBJECT_RELAYS = 1,
  SUBJECT_NEIGHBOURS = 2,
  SUBJECT_COORDINATORS = 3,
};

enum
{
  NO_HOST = 0,
  /** A slot that is never free does so many requests within the time in which
   * callers want an answer: they want it when all goes well, with room for one
   * that doesn't and for waiting. */
  REQUESTS_PER_GOAL = 4,
  GOAL_UNKNOWN_MS = 1000,
  MS_PER_SECOND = 1000,
  /** Leading binary digits of the rate that count: a change below an eighth
   * to a quarter moves no callers. */
  RATE_DIGITS = 3,
  /** What one strong host can do is enough for a relay, or a keeper. */
  RELAY_RATE = 1,
  /** Data centres with leading relays, at least. */
  LEADING_DCS_LEAST = 3,
};

uint64_t
host_set_required_rate (uint64_t slots, uint32_t goal_ms)
{
  const uint64_t in_ms = goal_ms > 0 ? goal_ms : GOAL_UNKNOWN_MS;
  return (slots * REQUESTS_PER_GOAL * MS_PER_SECOND + in_ms - 1) / in_ms;
}

uint64_t
host_set_round_rate (uint64_t rate)
{
  uint64_t unit = 1;
  while (rate / unit >= 1u << RATE_DIGITS)
    unit *= 2;
  return (rate + unit - 1) / unit * unit;
}

/* What one data centre has of a choice. */
struct dc_part
{
  uint64_t dc;
  uint32_t hosts;
  uint64_t rate;
};

struct dc_parts
{
  struct dc_part dcs[FLEET_DCS_MAX];
  uint32_t count;
};

static struct dc_part *
part_of (struct dc_parts *parts, uint64_t dc)
{
  for (uint32_t i = 0; i < parts->count; i++)
    if (parts->dcs[i].dc == dc)
      return &parts->dcs[i];
  if (parts->count == FLEET_DCS_MAX)
    return NULL;
  struct dc_part *part = &parts->dcs[parts->count++];
  *part = (struct dc_part){ .dc = dc };
  return part;
}

static uint32_t
count_dcs (const struct fleet_host *hosts, size_t count)
{
  struct dc_parts parts = { 0 };
  for (size_t i = 0; i < count; i++)
    part_of (&parts, hosts[i].dc);
  return parts.count;
}

/* The part of each data centre in RATE, rounded up. */
static uint64_t
rate_per_dc (const struct fleet_host *hosts, size_t count, uint64_t rate)
{
  const uint32_t dcs = count_dcs (hosts, count);
  return dcs == 0 ? 0 : (rate + dcs - 1) / dcs;
}

/* Keep the best placed ones of CHOICE that are needed. */
static void
trim (const struct fleet_host *hosts, uint32_t per_dc, uint64_t rate,
      struct fleet_choice *choice)
{
  struct dc_parts parts = { 0 };
  uint32_t kept = 0;
  for (uint32_t i = 0; i < choice->count; i++)
    {
      const struct fleet_host *host = &hosts[choice->hosts[i]];
      struct dc_part *part = part_of (&parts, host->dc);
      if (part == NULL || (part->hosts >= per_dc && part->rate >= rate))
        continue;
      part->hosts++;
      /* One whose strength isn't known is taken as strong enough. */
      part->rate += host->weight > HOST_CAPACITY_UNKNOWN ? host->weight : rate;
      choice->hosts[kept++] = choice->hosts[i];
    }
  choice->count = kept;
}

/* HOSTS with strong ones made first choice where these carry RATE. */
static struct fleet_host *
preferred (const struct fleet_host *hosts, size_t count, uint64_t rate)
{
  struct fleet_host *copy = xcalloc (count + 1, sizeof *copy);
  if (count > 0)
    memcpy (copy, hosts, count * sizeof *copy);
  host_capacity_prefer_strong (copy, count, rate);
  return copy;
}

void
host_set_choose (uint64_t service, const struct fleet_host *hosts,
                 size_t count, const struct host_set_requirement *need,
                 struct fleet_choice *choice)
{
  const uint64_t rate = rate_per_dc (hosts, count, need->rate);
  const uint32_t most = need->rate > 0 ? FLEET_HOSTS_PER_DC_MAX : need->per_dc;
  struct fleet_host *copy = preferred (hosts, count, rate);
  rendezvous_choose (service, copy, count, most, NO_HOST, choice);
  free (copy);
  trim (hosts, need->per_dc, rate, choice);
}

uint32_t
host_set_nth (uint32_t count, uint64_t caller_seed, uint32_t n)
{
  assert (n < count);
  const uint32_t start = (uint32_t)(hash_pair (caller_seed, count) % count);
  return (start + n) % count;
}

void
relays_choose (const struct fleet_host *hosts, size_t count, uint32_t per_dc,
               struct fleet_choice *choice)
{
  struct fleet_host *copy = preferred (hosts, count, RELAY_RATE);
  rendezvous_choose (SUBJECT_RELAYS, copy, count, per_dc, NO_HOST, choice);
  free (copy);
}

void
quota_coordinators_choose (const struct fleet_host *hosts, size_t count,
                           struct fleet_choice *choice)
{
  struct fleet_host *copy = preferred (hosts, count, RELAY_RATE);
  rendezvous_choose (SUBJECT_COORDINATORS, copy, count, 1, NO_HOST, choice);
  free (copy);
}

uint32_t
relays_leading_count (const struct fleet_host *hosts, size_t count,
                      uint32_t per_dc)
{
  const uint32_t half = count_dcs (hosts, count) / 2 + 1;
  return per_dc * (half > LEADING_DCS_LEAST ? half : LEADING_DCS_LEAST);
}

void
neighbours_choose (const struct fleet_host *self,
                   const struct fleet_host *hosts, size_t count,
                   struct fleet_choice *choice)
{
  struct fleet_choice all;
  struct fleet_host *copy = preferred (hosts, count, 0);
  rendezvous_choose (hash_pair (SUBJECT_NEIGHBOURS, self->key), copy, count,
                     NEIGHBOURS_IN_OWN_DC, self->key, &all);
  free (copy);
  uint64_t remote[FLEET_DCS_MAX];
  uint32_t remote_count = 0;
  choice->count = 0;
  for (uint32_t i = 0; i < all.count; i++)
    {
      const uint64_t dc = hosts[all.hosts[i]].dc;
      bool wanted = dc == self->dc;
      if (!wanted)
        {
          /* Ranks come in order, so the first of a data centre is its best. */
          wanted = true;
          for (uint32_t j = 0; j < remote_count; j++)
            wanted = wanted && remote[j] != dc;
          if (wanted)
            remote[remote_count++] = dc;
        }
      if (wanted)
        choice->hosts[choice->count++] = all.hosts[i];
    }
}
