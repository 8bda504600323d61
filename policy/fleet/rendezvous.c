#include "policy/fleet/rendezvous.h"

#include <assert.h>
#include <math.h>

#include "base/hash.h"

/* Maps a hash to the open interval (0, 1), because the logarithm is
   undefined at 0 and is 0 at 1. */
static double
to_unit_interval (uint64_t hash)
{
  return ((double)(hash >> 12) + 0.5) * 0x1p-52;
}

double
rendezvous_score (uint64_t subject, const struct fleet_host *host)
{
  assert (host->weight > 0);
  return (double)host->weight
         / -log (to_unit_interval (hash_pair (subject, host->key)));
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

/** Highest-scoring hosts of one data centre. */
struct dc_best
{
  uint64_t dc;
  uint32_t count;
  uint32_t hosts[FLEET_HOSTS_PER_DC_MAX];
  double scores[FLEET_HOSTS_PER_DC_MAX];
};

/** State of rendezvous_choose(). */
struct selection
{
  const struct fleet_host *hosts;
  uint32_t per_dc;
  uint32_t dc_count;
  struct dc_best dcs[FLEET_DCS_MAX];
};

static struct dc_best *
find_or_add_dc (struct selection *selection, uint64_t dc)
{
  for (uint32_t i = 0; i < selection->dc_count; i++)
    if (selection->dcs[i].dc == dc)
      return &selection->dcs[i];
  if (selection->dc_count == FLEET_DCS_MAX)
    return NULL;
  struct dc_best *best = &selection->dcs[selection->dc_count++];
  best->dc = dc;
  best->count = 0;
  return best;
}

static bool
ranks_before (const struct selection *selection, double score, uint32_t host,
              const struct dc_best *best, uint32_t rank)
{
  if (score != best->scores[rank])
    return score > best->scores[rank];
  return selection->hosts[host].key < selection->hosts[best->hosts[rank]].key;
}

static void
insert_host (struct selection *selection, struct dc_best *best, double score,
             uint32_t host)
{
  uint32_t rank = best->count;
  if (rank == selection->per_dc)
    {
      if (!ranks_before (selection, score, host, best, rank - 1))
        return;
      rank--;
    }
  else
    best->count++;
  while (rank > 0 && ranks_before (selection, score, host, best, rank - 1))
    {
      best->hosts[rank] = best->hosts[rank - 1];
      best->scores[rank] = best->scores[rank - 1];
      rank--;
    }
  best->hosts[rank] = host;
  best->scores[rank] = score;
}

/* Appends the hosts of one rank, highest score first. */
static void
append_rank (struct selection *selection, uint32_t rank,
             struct fleet_choice *choice)
{
  const uint32_t start = choice->count;
  double scores[FLEET_DCS_MAX];
  for (uint32_t i = 0; i < selection->dc_count; i++)
    {
      const struct dc_best *best = &selection->dcs[i];
      if (rank >= best->count)
        continue;
      uint32_t position = choice->count++;
      while (position > start
             && ranks_before (selection, best->scores[rank], best->hosts[rank],
                              &(struct dc_best){
                                  .hosts = { choice->hosts[position - 1] },
                                  .scores = { scores[position - 1 - start] } },
                              0))
        {
          choice->hosts[position] = choice->hosts[position - 1];
          scores[position - start] = scores[position - 1 - start];
          position--;
        }
      choice->hosts[position] = best->hosts[rank];
      scores[position - start] = best->scores[rank];
    }
}

void
rendezvous_choose (uint64_t subject, const struct fleet_host *hosts,
                   size_t count, uint32_t per_dc, uint64_t except,
                   struct fleet_choice *choice)
{
  assert (per_dc <= FLEET_HOSTS_PER_DC_MAX);
  struct selection selection = { .hosts = hosts, .per_dc = per_dc };
  choice->count = 0;
  if (per_dc == 0)
    return;
  for (size_t i = 0; i < count; i++)
    {
      if (hosts[i].key == except)
        continue;
      struct dc_best *best = find_or_add_dc (&selection, hosts[i].dc);
      if (best != NULL)
        insert_host (&selection, best, rendezvous_score (subject, &hosts[i]),
                     (uint32_t)i);
    }
  for (uint32_t rank = 0; rank < per_dc; rank++)
    append_rank (&selection, rank, choice);
}
