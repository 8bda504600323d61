#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "base/hash.h"
#include "policy/fleet/host_set.h"
#include "policy/fleet/host_capacity.h"
#include "policy/fleet/rendezvous.h"
}

namespace
{

std::vector<fleet_host>
fleet (uint32_t high, uint32_t low, uint32_t high_weight, uint32_t low_weight)
{
  std::vector<fleet_host> hosts;
  for (uint32_t i = 0; i < high + low; i++)
    hosts.push_back (
        { hash_pair (9, i), 5, i < high ? high_weight : low_weight });
  return hosts;
}

/* Returns for how many of a thousand services a high-capacity host ranks
   first. */
int
count_high_capacity_first (std::vector<fleet_host> hosts, uint32_t high)
{
  int firsts = 0;
  host_capacity_prefer_strong (hosts.data (), hosts.size (), 0);
  for (uint64_t service = 0; service < 1000; service++)
    {
      fleet_choice choice;
      rendezvous_choose (hash_pair (3, service), hosts.data (), hosts.size (),
                         1, 0, &choice);
      firsts += choice.hosts[0] < high;
    }
  return firsts;
}

TEST (HostCapacity, IsLimitedByTheScarcestResource)
{
  const host_resources low = { 10, 10, 0, 0 };
  const host_resources high = { 50, 200, 0, 0 };
  const host_resources no_link = { 50, 0, 0, 0 };
  const host_resources nothing = { 0, 0, 0, 0 };
  const host_resources tiny = { 0, 0, 0, 0 };
  const host_resources unlimited = { 4000000000u, 4000000000u, 0, 0 };
  EXPECT_EQ (host_capacity (&low), 125u);
  EXPECT_EQ (host_capacity (&high), 1000u);
  EXPECT_EQ (host_capacity (&no_link), 1000u);
  EXPECT_EQ (host_capacity (&nothing), 1u);
  EXPECT_EQ (host_capacity (&tiny), 1u);
  EXPECT_LE ((uint64_t)host_capacity (&unlimited) * 1000, UINT32_MAX);
}

/* Guards against callers that use low-capacity hosts: two hosts of a data
   centre have half a core and a fast link, twenty have a tenth of a core
   and a slow link.  If callers used one of the twenty, its link would
   saturate, new connections to targets would time out, and after a restart
   of the whole fleet the queue of returning callers would never shrink. */
TEST (HostCapacity, FewHighCapacityHostsRankFirst)
{
  EXPECT_LT (count_high_capacity_first (fleet (2, 0, 1000, 0), 1), 600);
  EXPECT_GE (count_high_capacity_first (fleet (2, 20, 1000, 125), 2), 990);
  /* One of the two fails. */
  EXPECT_GE (count_high_capacity_first (fleet (1, 20, 1000, 125), 1), 990);
  /* Both fail: the low-capacity hosts serve. */
  EXPECT_EQ (count_high_capacity_first (fleet (0, 20, 0, 125), 0), 0);
}

TEST (HostCapacity, TooFewHighCapacityHostsOnlyGetTheirShare)
{
  /* One host can't replace a hundred with a third of its capacity. */
  const int firsts = count_high_capacity_first (fleet (1, 100, 1000, 333), 1);
  EXPECT_GT (firsts, 5);
  EXPECT_LT (firsts, 80);
}

TEST (HostCapacity, HostsOfSimilarCapacityKeepTheirShares)
{
  const int firsts = count_high_capacity_first (fleet (10, 10, 300, 200), 10);
  EXPECT_GT (firsts, 540);
  EXPECT_LT (firsts, 660);
}

} // namespace
