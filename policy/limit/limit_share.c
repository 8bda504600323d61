#include "policy/limit/limit_share.h"

#include <stdbool.h>

#include "policy/fleet/rendezvous.h"

static uint32_t
sender_rate (uint32_t limit_millis, size_t senders)
{
  const uint64_t rate = (uint64_t)limit_millis * LIMIT_USED_PERCENT
                        / (100 * (uint64_t)senders);
  return rate > 0 ? (uint32_t)rate : 1;
}

/* The position of OWN in the rendezvous order of HOSTS; COUNT if it isn't
   among them. */
static size_t
rank_of (uint64_t target, uint64_t own, const struct fleet_host *hosts,
         size_t count)
{
  const struct fleet_host *self = NULL;
  size_t rank = 0;
  for (size_t i = 0; i < count; i++)
    if (hosts[i].key == own)
      self = &hosts[i];
  for (size_t i = 0; self != NULL && i < count; i++)
    rank += (size_t)(&hosts[i] != self
                     && rendezvous_before (target, &hosts[i], self));
  return self != NULL ? rank : count;
}

uint32_t
limit_share (uint32_t limit_millis, uint64_t target, uint64_t own,
             const struct fleet_host *hosts, size_t count)
{
  if (count == 0)
    return sender_rate (limit_millis, 1);
  size_t senders = limit_millis / (2 * LIMIT_MILLIS_PER_REQUEST);
  if (senders < 1)
    senders = 1;
  if (senders > count)
    senders = count;
  return rank_of (target, own, hosts, count) < senders
             ? sender_rate (limit_millis, senders)
             : 0;
}
