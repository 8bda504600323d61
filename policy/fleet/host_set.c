#include "policy/fleet/host_set.h"

#include <assert.h>

#include <stdlib.h>
#include <string.h>

#include "base/hash.h"
#include "base/xmalloc.h"
#include "policy/fleet/host_capacity.h"
#include "policy/fleet/rendezvous.h"

/** Rendezvous subjects other than services.  They keep the choice of relays,
 * neighbours and coordinators independent of host sets; no service name
 * hashes to them by design. */
enum rendezvous_subject
{
  SUBJECT_RELAYS = 1,
  SUBJECT_NEIGHBOURS = 2,
  SUBJECT_COORDINATORS = 3,
};

enum
{
  NO_HOST = 0,
  /** Requests that a constantly busy slot handles within the latency goal of
   * the callers.  The goal leaves time for a failed or slow attempt and for
   * waiting, so a normal response takes a fraction of it. */
  REQUESTS_PER_GOAL = 4,
  DEFAULT_GOAL_MS = 1000,
  MS_PER_SECOND = 1000,
  /** Significant bits of a rate: a change by less than an eighth to a
   * quarter doesn't move callers. */
  RATE_SIGNIFICANT_BITS = 3,
  /** A single high-capacity host is sufficient as a relay or coordinator. */
  SINGLE_HOST_RATE = 1,
  /** Minimum number of data centres with leading relays. */
  LEADING_DCS_MIN = 3,
};

uint64_t
host_set_required_rate (uint64_t slots, uint32_t goal_ms)
{
  const uint64_t goal_or_default_ms = goal_ms > 0 ? goal_ms : DEFAULT_GOAL_MS;
  return (slots * REQUESTS_PER_GOAL * MS_PER_SECOND + goal_or_default_ms - 1)
         / goal_or_default_ms;
}

uint64_t
host_set_round_rate (uint64_t rate)
{
  uint64_t unit = 1;
  while (rate / unit >= 1u << RATE_SIGNIFICANT_BITS)
    unit *= 2;
  return (rate + unit - 1) / unit * unit;
}

/* Chosen hosts of one data centre. */
struct dc_choice
{
  uint64_t dc;
  uint32_t hosts;
  uint64_t rate;
};

struct dc_choices
{
  struct dc_choice dcs[FLEET_DCS_MAX];
  uint32_t count;
};

static struct dc_choice *
find_or_add_dc (struct dc_choices *choices, uint64_t dc)
{
  for (uint32_t i = 0; i < choices->count; i++)
    if (choices->dcs[i].dc == dc)
      return &choices->dcs[i];
  if (choices->count == FLEET_DCS_MAX)
    return NULL;
  struct dc_choice *chosen = &choices->dcs[choices->count++];
  *chosen = (struct dc_choice){ .dc = dc };
  return chosen;
}

static uint32_t
count_dcs (const struct fleet_host *hosts, size_t count)
{
  struct dc_choices choices = { 0 };
  for (size_t i = 0; i < count; i++)
    find_or_add_dc (&choices, hosts[i].dc);
  return choices.count;
}

/* Returns the share of each data centre in RATE, rounded up. */
static uint64_t
rate_per_dc (const struct fleet_host *hosts, size_t count, uint64_t rate)
{
  const uint32_t dcs = count_dcs (hosts, count);
  return dcs == 0 ? 0 : (rate + dcs - 1) / dcs;
}

/* Reduces CHOICE to the hosts needed, highest rank first. */
static void
remove_unneeded (const struct fleet_host *hosts, uint32_t per_dc,
                 uint64_t rate, struct fleet_choice *choice)
{
  struct dc_choices choices = { 0 };
  uint32_t kept = 0;
  for (uint32_t i = 0; i < choice->count; i++)
    {
      const struct fleet_host *host = &hosts[choice->hosts[i]];
      struct dc_choice *chosen = find_or_add_dc (&choices, host->dc);
      if (chosen == NULL || (chosen->hosts >= per_dc && chosen->rate >= rate))
        continue;
      chosen->hosts++;
      /* A host of unknown capacity is assumed to be sufficient. */
      chosen->rate
          += host->weight > HOST_CAPACITY_UNKNOWN ? host->weight : rate;
      choice->hosts[kept++] = choice->hosts[i];
    }
  choice->count = kept;
}

/* Returns a copy of HOSTS in which high-capacity hosts are preferred where
   these can serve RATE. */
static struct fleet_host *
copy_with_preference (const struct fleet_host *hosts, size_t count,
                      uint64_t rate)
{
  struct fleet_host *copy = xcalloc (count + 1, sizeof *copy);
  if (count > 0)
    memcpy (copy, hosts, count * sizeof *copy);
  host_capacity_prefer_strong (copy, count, rate);
  return copy;
}

void
host_set_choose (uint64_t service, const struct fleet_host *hosts,
                 size_t count, const struct host_set_requirement *requirement,
                 struct fleet_choice *choice)
{
  const uint64_t rate = rate_per_dc (hosts, count, requirement->rate);
  const uint32_t per_dc_max
      = requirement->rate > 0 ? FLEET_HOSTS_PER_DC_MAX : requirement->per_dc;
  struct fleet_host *copy = copy_with_preference (hosts, count, rate);
  rendezvous_choose (service, copy, count, per_dc_max, NO_HOST, choice);
  free (copy);
  remove_unneeded (hosts, requirement->per_dc, rate, choice);
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
  struct fleet_host *copy
      = copy_with_preference (hosts, count, SINGLE_HOST_RATE);
  rendezvous_choose (SUBJECT_RELAYS, copy, count, per_dc, NO_HOST, choice);
  free (copy);
}

void
quota_coordinators_choose (const struct fleet_host *hosts, size_t count,
                           struct fleet_choice *choice)
{
  struct fleet_host *copy
      = copy_with_preference (hosts, count, SINGLE_HOST_RATE);
  rendezvous_choose (SUBJECT_COORDINATORS, copy, count, 1, NO_HOST, choice);
  free (copy);
}

uint32_t
relays_leading_count (const struct fleet_host *hosts, size_t count,
                      uint32_t per_dc)
{
  const uint32_t majority = count_dcs (hosts, count) / 2 + 1;
  return per_dc * (majority > LEADING_DCS_MIN ? majority : LEADING_DCS_MIN);
}

void
neighbours_choose (const struct fleet_host *self,
                   const struct fleet_host *hosts, size_t count,
                   struct fleet_choice *choice)
{
  struct fleet_choice all;
  struct fleet_host *copy = copy_with_preference (hosts, count, 0);
  rendezvous_choose (hash_pair (SUBJECT_NEIGHBOURS, self->key), copy, count,
                     NEIGHBOURS_IN_OWN_DC, self->key, &all);
  free (copy);
  uint64_t remote[FLEET_DCS_MAX];
  uint32_t remote_count = 0;
  choice->count = 0;
  for (uint32_t i = 0; i < all.count; i++)
    {
      const uint64_t dc = hosts[all.hosts[i]].dc;
      bool is_chosen = dc == self->dc;
      if (!is_chosen)
        {
          /* The choice is ordered by rank, so the first host of a data
             centre is its best. */
          is_chosen = true;
          for (uint32_t j = 0; j < remote_count; j++)
            is_chosen = is_chosen && remote[j] != dc;
          if (is_chosen)
            remote[remote_count++] = dc;
        }
      if (is_chosen)
        choice->hosts[choice->count++] = all.hosts[i];
    }
}
