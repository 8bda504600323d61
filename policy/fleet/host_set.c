#include "policy/fleet/host_set.h"

#include <assert.h>

#include "base/hash.h"
#include "policy/fleet/rendezvous.h"

/** Subjects that no service name hashes to by design: they keep relays and
 * neighbours independent of host sets. */
enum subject
{
  SUBJECT_RELAYS = 1,
  SUBJECT_NEIGHBOURS = 2,
};

enum
{
  NO_HOST = 0
};

void
host_set_choose (uint64_t service, const struct fleet_host *hosts,
                 size_t count, uint32_t per_dc, struct fleet_choice *choice)
{
  rendezvous_choose (service, hosts, count, per_dc, NO_HOST, choice);
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
  rendezvous_choose (SUBJECT_RELAYS, hosts, count, per_dc, NO_HOST, choice);
}

void
neighbours_choose (const struct fleet_host *self,
                   const struct fleet_host *hosts, size_t count,
                   struct fleet_choice *choice)
{
  struct fleet_choice all;
  rendezvous_choose (hash_pair (SUBJECT_NEIGHBOURS, self->key), hosts, count,
                     NEIGHBOURS_LOCAL, self->key, &all);
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
