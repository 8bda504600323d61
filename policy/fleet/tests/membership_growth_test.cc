#include <gtest/gtest.h>

#include <set>
#include <vector>

extern "C"
{
#include "policy/fleet/host_set.h"
#include "policy/fleet/membership.h"
}

namespace
{
constexpr size_t host_count = 36;
constexpr uint64_t dcs = 3;
constexpr int64_t beat_ms = 100;
constexpr uint32_t suspect_ms = 500;
constexpr uint32_t dead_ms = 1500;

/* Hosts that start one after the other and choose anew at each start. */
class growing_fleet
{
public:
  ~growing_fleet ()
  {
    for (auto *m : members)
      membership_destroy (m);
  }

  void
  start_host ()
  {
    const uint64_t key = members.size () + 1;
    const membership_options options = { key, 1, suspect_ms, dead_ms };
    hosts.push_back ({ key, 1 + key % dcs, 1 });
    members.push_back (membership_create (&options));
    for (auto *m : members)
      for (const auto &host : hosts)
        membership_add (m, now, host.key, 1, false);
    for (size_t at = 0; at < members.size (); at++)
      {
        const std::vector<uint64_t> keys = chosen (at);
        membership_monitor (members[at], now, keys.data (), keys.size ());
      }
  }

  void
  step ()
  {
    now += beat_ms;
    for (size_t at = 0; at < members.size (); at++)
      if (at != killed)
        beat (at);
  }

  std::vector<uint64_t>
  chosen (size_t at) const
  {
    fleet_choice choice;
    std::vector<uint64_t> keys;
    neighbours_choose (&hosts[at], hosts.data (), hosts.size (), &choice);
    for (uint32_t i = 0; i < choice.count; i++)
      keys.push_back (hosts[choice.hosts[i]].key);
    return keys;
  }

  std::set<uint64_t>
  watched (size_t at) const
  {
    uint64_t keys[host_count];
    const size_t count = membership_monitored (members[at], keys, host_count);
    return { keys, keys + count };
  }

  /* All that AT chooses or that choose it. */
  std::set<uint64_t>
  expected (size_t at) const
  {
    const std::vector<uint64_t> own = chosen (at);
    std::set<uint64_t> keys (own.begin (), own.end ());
    for (size_t other = 0; other < hosts.size (); other++)
      for (uint64_t key : chosen (other))
        if (key == hosts[at].key)
          keys.insert (hosts[other].key);
    return keys;
  }

  member_state
  state (size_t at, size_t host) const
  {
    return membership_state (members[at], hosts[host].key);
  }

  size_t killed = host_count;

private:
  void
  beat (size_t at)
  {
    membership_tick (members[at], now);
    for (uint64_t key : watched (at))
      {
        const size_t other = key - 1;
        if (other == killed)
          continue;
        membership_note_heartbeat (
            members[other], now, hosts[at].key, 1, false,
            membership_requests_return (members[at], key));
        membership_note_answer (members[at], now, key, 1);
        gossip (at, other);
      }
  }

  void
  gossip (size_t from, size_t to)
  {
    member_update verdicts[8];
    const size_t count = membership_gossip (members[from], verdicts, 8);
    for (size_t i = 0; i < count; i++)
      membership_merge (members[to], now, &verdicts[i]);
  }

  std::vector<fleet_host> hosts;
  std::vector<membership *> members;
  int64_t now = 0;
};
}

/* A fleet is started host by host, and each start changes whom the others
   choose.  An operator saw 36 hosts spend three times the bytes of a fleet
   started at once, for as long as it ran: hosts that chose each other once
   kept watching each other in return. */
TEST (MembershipGrowth, HostsStartedOneByOneKeepOnlyWhoChooses)
{
  growing_fleet fleet;
  for (size_t at = 0; at < host_count; at++)
    {
      fleet.start_host ();
      for (int i = 0; i < 3; i++)
        fleet.step ();
    }
  for (int64_t ms = 0; ms <= dead_ms + beat_ms; ms += beat_ms)
    fleet.step ();
  for (size_t at = 0; at < host_count; at++)
    EXPECT_EQ (fleet.watched (at), fleet.expected (at)) << at;
}

/* Any host may be killed after the fleet has settled, also one that few
   choose: all others must find it dead. */
TEST (MembershipGrowth, AnyKilledHostIsFoundDead)
{
  for (size_t victim = 0; victim < host_count; victim += 5)
    {
      growing_fleet fleet;
      for (size_t at = 0; at < host_count; at++)
        {
          fleet.start_host ();
          fleet.step ();
        }
      for (int64_t ms = 0; ms <= 2 * dead_ms; ms += beat_ms)
        fleet.step ();
      fleet.killed = victim;
      for (int64_t ms = 0; ms <= 2 * dead_ms; ms += beat_ms)
        fleet.step ();
      for (size_t at = 0; at < host_count; at++)
        EXPECT_TRUE (at == victim || fleet.state (at, victim) == MEMBER_DEAD)
            << victim << " at " << at;
    }
}
