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
fleet (uint32_t strong, uint32_t weak, uint32_t strong_weight,
       uint32_t weak_weight)
{
  std::vector<fleet_host> hosts;
  for (uint32_t i = 0; i < strong + weak; i++)
    hosts.push_back (
        { hash_pair (9, i), 5, i < strong ? strong_weight : weak_weight });
  return hosts;
}

/* How many of a thousand services have a strong host first. */
int
strong_firsts (std::vector<fleet_host> hosts, uint32_t strong)
{
  int firsts = 0;
  host_capacity_prefer_strong (hosts.data (), hosts.size (), 0);
  for (uint64_t service = 0; service < 1000; service++)
    {
      fleet_choice choice;
      rendezvous_choose (hash_pair (3, service), hosts.data (), hosts.size (),
                         1, 0, &choice);
      firsts += choice.hosts[0] < strong;
    }
  return firsts;
}

TEST (HostStrength, IsWhatTheScarcerResourceCarries)
{
  const host_resources weak = { 10, 10, 0, 0 };
  const host_resources strong = { 50, 200, 0, 0 };
  const host_resources no_link = { 50, 0, 0, 0 };
  const host_resources nothing = { 0, 0, 0, 0 };
  const host_resources tiny = { 0, 0, 0, 0 };
  const host_resources endless = { 4000000000u, 4000000000u, 0, 0 };
  EXPECT_EQ (host_capacity (&weak), 125u);
  EXPECT_EQ (host_capacity (&strong), 1000u);
  EXPECT_EQ (host_capacity (&no_link), 1000u);
  EXPECT_EQ (host_capacity (&nothing), 1u);
  EXPECT_EQ (host_capacity (&tiny), 1u);
  EXPECT_LE ((uint64_t)host_capacity (&endless) * 1000, UINT32_MAX);
}

/* Two hosts of a data centre have half a core and a good link, twenty have a
   tenth and a thin one.  All callers of a service meet one of the twenty: its
   link fills, new connections to targets time out, and after a restart of the
   whole fleet the queue of those that come back never shortens. */
TEST (HostStrength, FewStrongHostsGoFirst)
{
  EXPECT_LT (strong_firsts (fleet (2, 0, 1000, 0), 1), 600);
  EXPECT_GE (strong_firsts (fleet (2, 20, 1000, 125), 2), 990);
  /* One of the two is gone. */
  EXPECT_GE (strong_firsts (fleet (1, 20, 1000, 125), 1), 990);
  /* Both are: the weak ones serve. */
  EXPECT_EQ (strong_firsts (fleet (0, 20, 0, 125), 0), 0);
}

TEST (HostStrength, TooFewStrongHostsGetTheirShareOnly)
{
  /* One host can't stand in for a hundred that are a third as strong. */
  const int firsts = strong_firsts (fleet (1, 100, 1000, 333), 1);
  EXPECT_GT (firsts, 5);
  EXPECT_LT (firsts, 80);
}

TEST (HostStrength, HostsOfLikeStrengthKeepTheirShares)
{
  const int firsts = strong_firsts (fleet (10, 10, 300, 200), 10);
  EXPECT_GT (firsts, 540);
  EXPECT_LT (firsts, 660);
}

} // namespace
