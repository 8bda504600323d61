#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <set>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/fleet/host_set.h"
#include "policy/fleet/rendezvous.h"
}

namespace
{
std::vector<fleet_host>
make_fleet (rng *random)
{
  std::vector<fleet_host> hosts (rng_below (random, 60));
  const uint64_t dcs = 1 + rng_below (random, 6);
  for (auto &host : hosts)
    host = { rng_next (random) | 1, 1 + rng_below (random, dcs),
             (uint32_t)(1 + rng_below (random, 4)) };
  return hosts;
}

/* Reference model: sorts all hosts, then ranks them within each data
   centre. */
std::vector<uint64_t>
reference_choose (uint64_t subject, const std::vector<fleet_host> &hosts,
                  uint32_t per_dc, uint64_t except)
{
  std::vector<fleet_host> sorted (hosts);
  std::sort (sorted.begin (), sorted.end (),
             [=] (const fleet_host &a, const fleet_host &b) {
               return rendezvous_before (subject, &a, &b);
             });
  std::vector<std::vector<uint64_t>> ranks (per_dc);
  std::map<uint64_t, uint32_t> taken;
  for (const auto &host : sorted)
    if (host.key != except && taken[host.dc] < per_dc)
      ranks[taken[host.dc]++].push_back (host.key);
  std::vector<uint64_t> keys;
  for (const auto &rank : ranks)
    keys.insert (keys.end (), rank.begin (), rank.end ());
  return keys;
}

std::vector<uint64_t>
keys_of (const fleet_choice &choice, const std::vector<fleet_host> &hosts)
{
  std::vector<uint64_t> keys;
  for (uint32_t i = 0; i < choice.count; i++)
    keys.push_back (hosts[choice.hosts[i]].key);
  return keys;
}
}

TEST (Rendezvous, AgreesWithReferenceModel)
{
  rng random;
  rng_seed (&random, 11);
  for (int round = 0; round < 3000; round++)
    {
      const auto hosts = make_fleet (&random);
      const uint64_t subject = rng_next (&random);
      const uint32_t per_dc = (uint32_t)rng_below (&random, 6);
      const uint64_t except = hosts.empty () ? 0 : hosts[0].key;
      fleet_choice choice;
      rendezvous_choose (subject, hosts.data (), hosts.size (), per_dc, except,
                         &choice);
      ASSERT_EQ (keys_of (choice, hosts),
                 reference_choose (subject, hosts, per_dc, except));
    }
}

TEST (Rendezvous, HostsRankFirstInProportionToWeight)
{
  const fleet_host hosts[] = { { 101, 1, 1 }, { 102, 1, 3 } };
  rng random;
  rng_seed (&random, 12);
  int heavy = 0;
  for (int i = 0; i < 20000; i++)
    heavy += rendezvous_before (rng_next (&random), &hosts[1], &hosts[0]);
  EXPECT_NEAR (heavy / 20000.0, 0.75, 0.02);
}

TEST (Rendezvous, RemovedHostChangesOnlyItsOwnPlaces)
{
  rng random;
  rng_seed (&random, 13);
  for (int round = 0; round < 500; round++)
    {
      const auto hosts = make_fleet (&random);
      if (hosts.size () < 2)
        continue;
      const uint64_t lost = hosts[rng_below (&random, hosts.size ())].key;
      fleet_choice before, after;
      const uint64_t service = rng_next (&random);
      rendezvous_choose (service, hosts.data (), hosts.size (), 2, 0, &before);
      rendezvous_choose (service, hosts.data (), hosts.size (), 2, lost,
                         &after);
      const auto now = keys_of (after, hosts);
      for (uint64_t key : keys_of (before, hosts))
        {
          const bool stays = std::count (now.begin (), now.end (), key) == 1;
          ASSERT_EQ (stays, key != lost);
        }
    }
}

TEST (HostSet, CallersStartAtDifferentHostsAndSeeAllOnce)
{
  std::map<uint32_t, int> firsts;
  for (uint64_t seed = 0; seed < 6000; seed++)
    {
      std::set<uint32_t> seen;
      for (uint32_t n = 0; n < 6; n++)
        seen.insert (host_set_nth (6, seed, n));
      ASSERT_EQ (seen.size (), 6u);
      firsts[host_set_nth (6, seed, 0)]++;
    }
  for (const auto &[host, count] : firsts)
    EXPECT_NEAR (count, 1000, 120) << host;
}

TEST (Neighbours, AreFewInEachDataCentre)
{
  std::vector<fleet_host> hosts;
  for (uint64_t i = 0; i < 3700; i++)
    hosts.push_back ({ 1000 + i, 1 + i % 10, 1 });
  fleet_choice choice;
  neighbours_choose (&hosts[0], hosts.data (), hosts.size (), &choice);
  std::map<uint64_t, int> per_dc;
  for (uint32_t i = 0; i < choice.count; i++)
    {
      EXPECT_NE (choice.hosts[i], 0u);
      per_dc[hosts[choice.hosts[i]].dc]++;
    }
  EXPECT_EQ (per_dc.size (), 10u);
  for (const auto &[dc, count] : per_dc)
    EXPECT_EQ (count, dc == hosts[0].dc ? NEIGHBOURS_IN_OWN_DC : 1);
}
