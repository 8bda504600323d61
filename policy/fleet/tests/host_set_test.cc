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

/* Each data centre with STRONG hosts that carry 1,000 requests a second and
   WEAK ones that carry 200. */
std::vector<fleet_host>
fleet (uint32_t strong, uint32_t weak)
{
  std::vector<fleet_host> hosts;
  for (uint64_t dc = 1; dc <= DCS; dc++)
    for (uint32_t i = 0; i < strong + weak; i++)
      hosts.push_back ({ hash_pair (dc, i), dc, i < strong ? 1000u : 200u });
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
carried (const std::vector<fleet_host> &hosts, const fleet_choice &choice,
         uint64_t dc)
{
  uint64_t sum = 0;
  for (uint32_t i = 0; i < choice.count; i++)
    if (hosts[choice.hosts[i]].dc == dc)
      sum += hosts[choice.hosts[i]].weight;
  return sum;
}

/* 444 hosts, of which fifteen are strong, take 2,800 requests a second for
 * targets with 2,970 slots.  With one host a data centre whatever the traffic,
 * mostly a weak one, each gets three times what it carries: callers wait until
 * their time is over, and what targets have answered isn't delivered. */
TEST (HostSet, GrowsUntilItCarriesWhatTheTargetsCan)
{
  const auto hosts = fleet (3, 86);
  const uint64_t rate = host_set_round_rate (host_set_required_rate (2970, 0));
  const fleet_choice choice = choose (hosts, 1, rate);
  for (uint64_t dc = 1; dc <= DCS; dc++)
    EXPECT_GE (carried (hosts, choice, dc), rate / DCS);
  for (uint32_t i = 0; i < choice.count; i++)
    EXPECT_EQ (hosts[choice.hosts[i]].weight, 1000u);
  EXPECT_LE (choice.count, 15u);
}

/* All strong hosts of one data centre are lost, as when their rack fails: its
 * weak ones must take over in a number that carries the same. */
TEST (HostSet, WeakHostsTakeOverInGreaterNumber)
{
  auto hosts = fleet (3, 86);
  const auto is_lost = [] (const fleet_host &host) {
    return host.dc == 2 && host.weight == 1000;
  };
  hosts.erase (std::remove_if (hosts.begin (), hosts.end (), is_lost),
               hosts.end ());
  const uint64_t rate = host_set_round_rate (host_set_required_rate (2970, 0));
  const fleet_choice choice = choose (hosts, 1, rate);
  EXPECT_GE (carried (hosts, choice, 2), rate / DCS);
  EXPECT_LE (carried (hosts, choice, 2), rate / DCS + 200);
}

TEST (HostSet, StaysAsSmallAsSettingsSayWhereThatIsEnough)
{
  const auto hosts = fleet (0, 8);
  EXPECT_EQ (choose (hosts, 1, host_set_required_rate (72, 0)).count, DCS);
  EXPECT_EQ (choose (hosts, 2, host_set_required_rate (72, 0)).count, 2 * DCS);
  EXPECT_EQ (choose (hosts, 2, 0).count, 2 * DCS);
}

TEST (HostSet, HostsOfUnknownStrengthAreTakenAsStrongEnough)
{
  std::vector<fleet_host> hosts = fleet (0, 8);
  for (fleet_host &host : hosts)
    host.weight = 1;
  EXPECT_EQ (choose (hosts, 1, 100000).count, DCS);
}

TEST (HostSet, HasAllHostsWhereTheyAreTooFew)
{
  const auto hosts = fleet (1, 2);
  EXPECT_EQ (choose (hosts, 1, 1000000).count, hosts.size ());
}

/* A few targets more or less must not move the callers of a whole service. */
TEST (HostSet, FewTargetsMoreOrLessLeaveTheRateAsItIs)
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

/* 118 hosts, six of them strong, before 349 targets whose answers take half a
 * second.  Counted as if a slot did four requests a second, 42 hosts share the
 * targets: each host meets each target every few seconds, finds one in six
 * hanging, and opens a new connection for every third request. */
TEST (HostSet, ASlowServiceNeedsFewerHosts)
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

/* Hundreds of targets come and go, and each relay that asks for the newest
 * calls the platform several times a second: one in each of ten data centres
 * makes most calls of the whole fleet, though some hear the same. */
TEST (Relays, ThoseOfMoreThanHalfOfTheDataCentresLead)
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
