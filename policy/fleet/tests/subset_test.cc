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
make_host_set ()
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

TEST (Subset, TargetsAreDividedEvenlyWithinTheirDataCentre)
{
  const auto hosts = make_host_set ();
  std::vector<uint64_t> owned (hosts.size ());
  for (uint64_t t = 0; t < TARGETS; t++)
    {
      const size_t i = subset_owner (hash_pair (2, t), t % DCS, hosts.data (),
                                     hosts.size ());
      EXPECT_EQ (hosts[i].dc, t % DCS);
      owned[i]++;
    }
  for (uint64_t count : owned)
    EXPECT_NEAR ((double)count, (double)TARGETS / hosts.size (), 25);
}

/* Guards against moving the targets of other hosts when a host of the set
   fails: each would have to learn the state of its new targets again. */
TEST (Subset, RemovedHostMovesOnlyItsOwnTargets)
{
  const auto before = make_host_set ();
  auto after = before;
  after.erase (after.begin () + 4);
  for (uint64_t t = 0; t < TARGETS; t++)
    {
      if (owner (before, t) == before[4].key)
        continue;
      EXPECT_EQ (owner (after, t), owner (before, t));
    }
}

TEST (Subset, TargetWithoutHostInItsDataCentreHasAnOwner)
{
  auto hosts = make_host_set ();
  const auto is_lost = [] (const fleet_host &host) { return host.dc == 2; };
  hosts.erase (std::remove_if (hosts.begin (), hosts.end (), is_lost),
               hosts.end ());
  for (uint64_t t = 2; t < TARGETS; t += DCS)
    EXPECT_LT (
        subset_owner (hash_pair (2, t), t % DCS, hosts.data (), hosts.size ()),
        hosts.size ());
}

}
