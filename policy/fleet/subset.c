#include "policy/fleet/subset.h"

#include <assert.h>
#include <stdbool.h>

#include "policy/fleet/rendezvous.h"

static bool
is_before (uint64_t target, uint64_t dc, const struct fleet_host *first,
           const struct fleet_host *second)
{
  const bool is_first_near = first->dc == dc;
  if (is_first_near != (second->dc == dc))
    return is_first_near;
  return rendezvous_before (target, first, second);
}

size_t
subset_owner (uint64_t target, uint64_t dc, const struct fleet_host *hosts,
              size_t count)
{
  assert (count > 0);
  size_t owner = 0;
  for (size_t i = 1; i < count; i++)
    if (is_before (target, dc, &hosts[i], &hosts[owner]))
      owner = i;
  return owner;
}
