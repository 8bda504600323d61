#include "policy/fleet/host_cleanup.h"

#include "policy/fleet/rendezvous.h"

bool
host_cleanup_is_responsible (uint64_t subject, uint64_t self,
                             const struct fleet_host *hosts,
                             const struct fleet_choice *relays)
{
  const struct fleet_host *best = NULL;
  for (uint32_t i = 0; i < relays->count; i++)
    {
      const struct fleet_host *host = &hosts[relays->hosts[i]];
      if (best == NULL || rendezvous_before (subject, host, best))
        best = host;
    }
  return best != NULL && best->key == self;
}

bool
host_cleanup_is_due (int64_t now_ms, int64_t gone_ms, uint32_t after_ms)
{
  return gone_ms != 0 && now_ms - gone_ms >= after_ms;
}

/* Guards against a cut whose smaller side still reaches the platform: it
   believes the larger side dead and would remove all its records.  Shows as
   a fleet that vanishes from the platform's list. */
bool
host_cleanup_is_majority (size_t live, size_t listed)
{
  return 2 * live > listed;
}
