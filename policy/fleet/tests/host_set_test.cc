#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C"
{
#include "base/hash.h"
#include "policy/fleet/host_set.h"
}

namespace
{

constexpr uint64_t DCS = 5;

/* Each data centre has HIGH hosts that serve 1,000 requests a second and
   LOW ones that serve 200. */
std::vector<fleet_host>
fleet (uint32_t high, uint32_t low)
{
  std::vector<fleet_host> hosts;
  for (uint64_t dc = 1; dc <= DCS; dc++)
    for (uint32_t i = 0; i < high + low; i++)
      hosts.push_back ({ hash_pair (dc, i), dc, i < high ? 1000u : 200u });
  return hosts;
}

fleet_choice
choose (const std::vector<fleet_host> &hosts, uint32_t per_dc, uint64_t rate)
{
  fleet_choice choice;
  const host_set_requirement need = { per_dc, rate };
  host_set_choose (77, hosts.data (), hosts.size (), &need, &choice);
  return choice;
}

uint64_t
total_capacity (const std::vector<fleet_host> &hosts,
                const fleet_choice &choice, uint64_t dc)
{
  uint64_t sum = 0;
  for (uint32_t i = 0; i < choice.count; i++)
    if (hosts[choice.hosts[i]].dc == dc)
      sum += hosts[choice.hosts[i]].weight;
  return sum;
}

/* Guards against a set that is too small for its targets.  444 hosts, of
   which fifteen have high capacity, serve 2,800 requests a second for
   targets with 2,970 slots.  With one host for each data centre, mostly a
   low-capacity one, each receives three times what it can serve: callers
   wait until their deadlines, and responses of targets aren't delivered. */
TEST (HostSet, GrowsToTheCapacityOfTheTargets)
{
  const auto hosts = fleet (3, 86);
  const uint64_t rate = host_set_round_rate (host_set_required_rate (2970, 0));
  const fleet_choice choice = choose (hosts, 1, rate);
  for (uint64_t dc = 1; dc <= DCS; dc++)
    EXPECT_GE (total_capacity (hosts, choice, dc), rate / DCS);
  for (uint32_t i = 0; i < choice.count; i++)
    EXPECT_EQ (hosts[choice.hosts[i]].weight, 1000u);
  EXPECT_LE (choice.count, 15u);
}

/* Guards against too few replacements when all high-capacity hosts of one
   data centre fail, as with a rack: its other hosts must take over in a
   number that serves the same rate. */
TEST (HostSet, LowCapacityHostsTakeOverInGreaterNumber)
{
  auto hosts = fleet (3, 86);
  const auto is_lost = [] (const fleet_host &host) {
    return host.dc == 2 && host.weight == 1000;
  };
  hosts.erase (std::remove_if (hosts.begin (), hosts.end (), is_lost),
               hosts.end ());
  const uint64_t rate = host_set_round_rate (host_set_required_rate (2970, 0));
  const fleet_choice choice = choose (hosts, 1, rate);
  EXPECT_GE (total_capacity (hosts, choice, 2), rate / DCS);
  EXPECT_LE (total_capacity (hosts, choice, 2), rate / DCS + 200);
}

TEST (HostSet, HasConfiguredSizeIfSufficient)
{
  const auto hosts = fleet (0, 8);
  EXPECT_EQ (choose (hosts, 1, host_set_required_rate (72, 0)).count, DCS);
  EXPECT_EQ (choose (hosts, 2, host_set_required_rate (72, 0)).count, 2 * DCS);
  EXPECT_EQ (choose (hosts, 2, 0).count, 2 * DCS);
}

TEST (HostSet, HostsOfUnknownCapacityAreAssumedSufficient)
{
  std::vector<fleet_host> hosts = fleet (0, 8);
  for (fleet_host &host : hosts)
    host.weight = 1;
  EXPECT_EQ (choose (hosts, 1, 100000).count, DCS);
}

TEST (HostSet, HasAllHostsIfTooFew)
{
  const auto hosts = fleet (1, 2);
  EXPECT_EQ (choose (hosts, 1, 1000000).count, hosts.size ());
}

/* Guards against moving the callers of a whole service when a few targets
   are added or removed. */
TEST (HostSet, SmallChangesOfTargetsKeepTheRate)
{
  EXPECT_EQ (host_set_round_rate (0), 0u);
  EXPECT_EQ (host_set_round_rate (11880), host_set_round_rate (11600));
  for (uint64_t rate = 1; rate < 400000; rate += 29)
    {
      EXPECT_GE (host_set_round_rate (rate), rate);
      EXPECT_LE (host_set_round_rate (rate), rate * 5 / 4 + 1);
      EXPECT_LE (host_set_round_rate (rate), host_set_round_rate (rate + 1));
    }
}

/* Guards against too many hosts for a slow service: 118 hosts, six of high
   capacity, and 349 targets whose responses take half a second.  If a slot
   counted as four requests a second, 42 hosts would share the targets: each
   host would use each target every few seconds, find one in six
   unresponsive, and open a new connection for every third request. */
TEST (HostSet, SlowServiceNeedsFewerHosts)
{
  std::vector<fleet_host> hosts;
  for (uint64_t dc = 1; dc <= 3; dc++)
    for (uint32_t i = 0; i < 40; i++)
      hosts.push_back ({ hash_pair (dc, i), dc, i < 2 ? 1000u : 125u });
  const uint64_t rate
      = host_set_round_rate (host_set_required_rate (174 * 6, 2000)
                             + host_set_required_rate (81 * 6, 2000)
                             + host_set_required_rate (94 * 6, 3000));
  const fleet_choice choice = choose (hosts, 1, rate);
  EXPECT_EQ (choice.count, 6u);
  const uint64_t unknown
      = host_set_round_rate (host_set_required_rate (349 * 6, 0));
  EXPECT_GT (choose (hosts, 1, unknown).count, 24u);
  EXPECT_EQ (host_set_required_rate (100, 250),
             4 * host_set_required_rate (100, 1000));
  EXPECT_EQ (host_set_required_rate (100, 0),
             host_set_required_rate (100, 1000));
}

/* Guards against redundant polling: with hundreds of targets added and
   removed, each leading relay calls the platform several times a second.
   One leading relay in each of ten data centres would make most calls of
   the fleet, although some receive the same changes. */
TEST (Relays, LeadInMoreThanHalfOfTheDataCentres)
{
  const auto hosts = fleet (3, 86);
  fleet_choice choice;
  relays_choose (hosts.data (), hosts.size (), 1, &choice);
  EXPECT_EQ (choice.count, DCS);
  EXPECT_EQ (relays_leading_count (hosts.data (), hosts.size (), 1), 3u);
  EXPECT_EQ (relays_leading_count (hosts.data (), hosts.size (), 2), 6u);
  for (uint32_t i = 0; i < choice.count; i++)
    {
      EXPECT_EQ (hosts[choice.hosts[i]].weight, 1000u);
      for (uint32_t j = 0; j < i; j++)
        EXPECT_NE (hosts[choice.hosts[i]].dc, hosts[choice.hosts[j]].dc);
    }
  std::vector<fleet_host> many;
  for (uint64_t dc = 1; dc <= 10; dc++)
    many.push_back ({ dc, dc, 1 });
  EXPECT_EQ (relays_leading_count (many.data (), many.size (), 1), 6u);
}

}
