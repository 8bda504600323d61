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
constexpr int64_t heartbeat_ms = 100;
constexpr uint32_t suspect_ms = 500;
constexpr uint32_t dead_ms = 1500;

/* Hosts that are started one after the other and choose their neighbours
   again after each start. */
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
    now += heartbeat_ms;
    for (size_t at = 0; at < members.size (); at++)
      if (at != killed)
        run_heartbeat (at);
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
  monitored (size_t at) const
  {
    uint64_t keys[host_count];
    const size_t count = membership_monitored (members[at], keys, host_count);
    return { keys, keys + count };
  }

  /* Returns the hosts that AT chooses or that choose it. */
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
  run_heartbeat (size_t at)
  {
    membership_tick (members[at], now);
    for (uint64_t key : monitored (at))
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
    member_update updates[8];
    const size_t count = membership_gossip (members[from], updates, 8);
    for (size_t i = 0; i < count; i++)
      membership_merge (members[to], now, &updates[i]);
  }

  std::vector<fleet_host> hosts;
  std::vector<membership *> members;
  int64_t now = 0;
};
}

/* Guards against hosts that stay monitored after they are no longer chosen.
   When a fleet is started host by host, each start changes the choices of
   the others.  36 hosts used three times the bandwidth of a fleet started
   at once, for as long as they ran, because hosts that had once chosen each
   other kept monitoring each other in return. */
TEST (MembershipGrowth, HostsStartedOneByOneMonitorOnlyChosenHosts)
{
  growing_fleet fleet;
  for (size_t at = 0; at < host_count; at++)
    {
      fleet.start_host ();
      for (int i = 0; i < 3; i++)
        fleet.step ();
    }
  for (int64_t ms = 0; ms <= dead_ms + heartbeat_ms; ms += heartbeat_ms)
    fleet.step ();
  for (size_t at = 0; at < host_count; at++)
    EXPECT_EQ (fleet.monitored (at), fleet.expected (at)) << at;
}

/* Guards against a killed host that isn't found dead by all others after
   the fleet has stabilized, also if few hosts choose it. */
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
      for (int64_t ms = 0; ms <= 2 * dead_ms; ms += heartbeat_ms)
        fleet.step ();
      fleet.killed = victim;
      for (int64_t ms = 0; ms <= 2 * dead_ms; ms += heartbeat_ms)
        fleet.step ();
      for (size_t at = 0; at < host_count; at++)
        EXPECT_TRUE (at == victim || fleet.state (at, victim) == MEMBER_DEAD)
            << victim << " at " << at;
    }
}
