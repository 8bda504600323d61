#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C"
{
#include "base/hash.h"
#include "policy/fleet/subset.h"
}

namespace
{

constexpr uint64_t DCS = 5;
constexpr uint64_t PER_DC = 3;
constexpr uint64_t TARGETS = 990;

std::vector<fleet_host>
set_of_hosts ()
{
  std::vector<fleet_host> hosts;
  for (uint64_t i = 0; i < DCS * PER_DC; i++)
    hosts.push_back ({ hash_pair (1, i), i % DCS, 1 });
  return hosts;
}

uint64_t
owner (const std::vector<fleet_host> &hosts, uint64_t target)
{
  return hosts[subset_owner (hash_pair (2, target), target % DCS,
                             hosts.data (), hosts.size ())]
      .key;
}

TEST (Subset, TargetsBelongToHostsOfTheirDataCentreInLikeNumber)
{
  const auto hosts = set_of_hosts ();
  std::vector<uint64_t> held (hosts.size ());
  for (uint64_t t = 0; t < TARGETS; t++)
    {
      const size_t i = subset_owner (hash_pair (2, t), t % DCS, hosts.data (),
                                     hosts.size ());
      EXPECT_EQ (hosts[i].dc, t % DCS);
      held[i]++;
    }
  for (uint64_t count : held)
    EXPECT_NEAR ((double)count, (double)TARGETS / hosts.size (), 25);
}

/* A host of the set is killed.  If the others' targets moved as well, each
 * would begin anew with targets of which it knows nothing. */
TEST (Subset, ALostHostMovesOnlyItsOwnTargets)
{
  const auto before = set_of_hosts ();
  auto after = before;
  after.erase (after.begin () + 4);
  for (uint64_t t = 0; t < TARGETS; t++)
    {
      if (owner (before, t) == before[4].key)
        continue;
      EXPECT_EQ (owner (after, t), owner (before, t));
    }
}

TEST (Subset, WithoutAHostInItsDataCentreATargetBelongsToAnotherOne)
{
  auto hosts = set_of_hosts ();
  const auto is_lost = [] (const fleet_host &host) { return host.dc == 2; };
  hosts.erase (std::remove_if (hosts.begin (), hosts.end (), is_lost),
               hosts.end ());
  for (uint64_t t = 2; t < TARGETS; t += DCS)
    EXPECT_LT (
        subset_owner (hash_pair (2, t), t % DCS, hosts.data (), hosts.size ()),
        hosts.size ());
}

}
