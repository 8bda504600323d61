#include "policy/fleet/host_cleanup.h"

#include "policy/fleet/rendezvous.h"

bool
host_cleanup_is_responsible (uint64_t subject, uint64_t self,
                             const struct fleet_host *hosts,
                             const struct fleet_choice *relays)
{
  const struct fleet_host *first = NULL;
  for (uint32_t i = 0; i < relays->count; i++)
    {
      const struct fleet_host *host = &hosts[relays->hosts[i]];
      if (first == NULL || rendezvous_before (subject, host, first))
        first = host;
    }
  return first != NULL && first->key == self;
}

bool
host_cleanup_is_due (int64_t now_ms, int64_t gone_ms, uint32_t after_ms)
{
  return gone_ms != 0 && now_ms - gone_ms >= after_ms;
}

/* During a network partition the smaller side may still reach the platform.
   It considers the hosts of the larger side dead and would remove all their
   records, so that the fleet disappears from the platform's list.  Only a
   host that sees a majority live removes records. */
bool
host_cleanup_is_majority (size_t live, size_t listed)
{
  return 2 * live > listed;
}
