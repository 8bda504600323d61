#include "policy/fleet/rendezvous.h"

#include <assert.h>
#include <math.h>

#include "base/hash.h"

/* A hash as a number in (0, 1): never 0, whose logarithm is none, and never
   1, whose logarithm is 0. */
static double
unit (uint64_t hash)
{
  return ((double)(hash >> 12) + 0.5) * 0x1p-52;
}

double
rendezvous_score (uint64_t subject, const struct fleet_host *host)
{
  assert (host->weight > 0);
  return (double)host->weight / -log (unit (hash_pair (subject, host->key)));
}

bool
rendezvous_before (uint64_t subject, const struct fleet_host *first,
                   const struct fleet_host *second)
{
  const double a = rendezvous_score (subject, first);
  const double b = rendezvous_score (subject, second);
  if (a != b)
    return a > b;
  return first->key < second->key;
}

/** The best hosts of one data centre so far. */
struct dc_best
{
  uint64_t dc;
  uint32_t count;
  uint32_t hosts[FLEET_HOSTS_PER_DC_MAX];
  double scores[FLEET_HOSTS_PER_DC_MAX];
};

/** A choice under way. */
struct contest
{
  const struct fleet_host *hosts;
  uint32_t per_dc;
  uint32_t dc_count;
  struct dc_best dcs[FLEET_DCS_MAX];
};

static struct dc_best *
contest_dc (struct contest *contest, uint64_t dc)
{
  for (uint32_t i = 0; i < contest->dc_count; i++)
    if (contest->dcs[i].dc == dc)
      return &contest->dcs[i];
  if (contest->dc_count == FLEET_DCS_MAX)
    return NULL;
  struct dc_best *best = &contest->dcs[contest->dc_count++];
  best->dc = dc;
  best->count = 0;
  return best;
}

static bool
beats (const struct contest *contest, double score, uint32_t host,
       const struct dc_best *best, uint32_t rank)
{
  if (score != best->scores[rank])
    return score > best->scores[rank];
  return contest->hosts[host].key < contest->hosts[best->hosts[rank]].key;
}

static void
contest_enter (struct contest *contest, struct dc_best *best, double score,
               uint32_t host)
{
  uint32_t rank = best->count;
  if (rank == contest->per_dc)
    {
      if (!beats (contest, score, host, best, rank - 1))
        return;
      rank--;
    }
  else
    best->count++;
  while (rank > 0 && beats (contest, score, host, best, rank - 1))
    {
      best->hosts[rank] = best->hosts[rank - 1];
      best->scores[rank] = best->scores[rank - 1];
      rank--;
    }
  best->hosts[rank] = host;
  best->scores[rank] = score;
}

/* Add the hosts of one rank, the highest score first. */
static void
take_rank (struct contest *contest, uint32_t rank, struct fleet_choice *choice)
{
  const uint32_t start = choice->count;
  double scores[FLEET_DCS_MAX];
  for (uint32_t i = 0; i < contest->dc_count; i++)
    {
      const struct dc_best *best = &contest->dcs[i];
      if (rank >= best->count)
        continue;
      uint32_t at = choice->count++;
      while (
          at > start
          && beats (contest, best->scores[rank], best->hosts[rank],
                    &(struct dc_best){ .hosts = { choice->hosts[at - 1] },
                                       .scores = { scores[at - 1 - start] } },
                    0))
        {
          choice->hosts[at] = choice->hosts[at - 1];
          scores[at - start] = scores[at - 1 - start];
          at--;
        }
      choice->hosts[at] = best->hosts[rank];
      scores[at - start] = best->scores[rank];
    }
}

void
rendezvous_choose (uint64_t subject, const struct fleet_host *hosts,
                   size_t count, uint32_t per_dc, uint64_t except,
                   struct fleet_choice *choice)
{
  assert (per_dc <= FLEET_HOSTS_PER_DC_MAX);
  struct contest contest = { .hosts = hosts, .per_dc = per_dc };
  choice->count = 0;
  if (per_dc == 0)
    return;
  for (size_t i = 0; i < count; i++)
    {
      if (hosts[i].key == except)
        continue;
      struct dc_best *best = contest_dc (&contest, hosts[i].dc);
      if (best != NULL)
        contest_enter (&contest, best, rendezvous_score (subject, &hosts[i]),
                       (uint32_t)i);
    }
  for (uint32_t rank = 0; rank < per_dc; rank++)
    take_rank (&contest, rank, choice);
}
