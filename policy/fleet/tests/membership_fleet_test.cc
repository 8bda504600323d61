#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/fleet/host_set.h"
#include "policy/fleet/membership.h"
}

namespace
{
constexpr int host_count = 12;
constexpr int64_t heartbeat_ms = 100;

/* Twelve hosts in three data centres whose links lose messages and fail. */
class fleet
{
public:
  explicit fleet (uint64_t seed)
  {
    rng_seed (&random, seed);
    for (int h = 0; h < host_count; h++)
      hosts.push_back ({ 1 + (uint64_t)h, 1 + (uint64_t)h % 3, 1 });
    for (int h = 0; h < host_count; h++)
      start (h);
  }

  ~fleet ()
  {
    for (auto *m : members)
      membership_destroy (m);
  }

  void
  step ()
  {
    now += heartbeat_ms;
    for (int h = 0; h < host_count; h++)
      if (!killed[h])
        run_heartbeat (h);
  }

  /* Returns the number of steps until all running hosts see STATE of HOST. */
  int
  steps_until (int host, member_state state, int max)
  {
    for (int n = 0; n < max; n++)
      {
        if (all_see (host, state))
          return n;
        step ();
      }
    return max;
  }

  bool
  all_see (int host, member_state state) const
  {
    for (int h = 0; h < host_count; h++)
      if (h != host && !killed[h]
          && membership_state (members[h], hosts[host].key) != state)
        return false;
    return true;
  }

  bool
  is_usable (int at, int host) const
  {
    return membership_is_usable (members[at], hosts[host].key);
  }

  member_state
  state (int at, int host) const
  {
    return membership_state (members[at], hosts[host].key);
  }

  /* Returns a neighbour that HOST has chosen. */
  int
  neighbour (int host) const
  {
    fleet_choice choice;
    neighbours_choose (&hosts[host], hosts.data (), hosts.size (), &choice);
    return (int)choice.hosts[0];
  }

  void
  isolate (int host, bool is_down)
  {
    for (int h = 0; h < host_count; h++)
      link_down[host][h] = link_down[h][host] = is_down;
  }

  bool link_down[host_count][host_count] = {};
  bool killed[host_count] = {};
  double loss = 0;
  size_t messages = 0;

private:
  void
  start (int host)
  {
    const membership_options options = { hosts[host].key, 1, 500, 1500 };
    membership *m = membership_create (&options);
    for (const auto &other : hosts)
      membership_add (m, 0, other.key, 1, false);
    fleet_choice choice;
    neighbours_choose (&hosts[host], hosts.data (), hosts.size (), &choice);
    uint64_t keys[64];
    for (uint32_t i = 0; i < choice.count; i++)
      keys[i] = hosts[choice.hosts[i]].key;
    membership_monitor (m, 0, keys, choice.count);
    members.push_back (m);
  }

  bool
  arrives (int from, int to)
  {
    messages++;
    return !killed[from] && !killed[to] && !link_down[from][to]
           && rng_unit (&random) >= loss;
  }

  void
  gossip (int from, int to)
  {
    member_update updates[8];
    const size_t count = membership_gossip (members[from], updates, 8);
    for (size_t i = 0; i < count; i++)
      membership_merge (members[to], now, &updates[i]);
  }

  void
  run_heartbeat (int host)
  {
    uint64_t keys[64];
    membership_tick (members[host], now);
    const size_t count = membership_monitored (members[host], keys, 64);
    for (size_t i = 0; i < count; i++)
      {
        const int other = (int)keys[i] - 1;
        if (!arrives (host, other))
          continue;
        membership_note_heartbeat (
            members[other], now, hosts[host].key, 1, false,
            membership_requests_return (members[host], keys[i]));
        gossip (host, other);
        if (!arrives (other, host))
          continue;
        membership_note_answer (members[host], now, keys[i], 1);
        gossip (other, host);
      }
    check_indirectly (host, keys, count);
  }

  void
  check_indirectly (int host, const uint64_t *helpers, size_t helper_count)
  {
    uint64_t undecided[64];
    const size_t count = membership_undecided (members[host], undecided, 64);
    for (size_t d = 0; d < count; d++)
      for (size_t i = 0; i < helper_count; i++)
        {
          const int helper = (int)helpers[i] - 1;
          const int other = (int)undecided[d] - 1;
          if (helper != other && arrives (host, helper)
              && arrives (helper, other) && arrives (other, helper)
              && arrives (helper, host))
            membership_note_indirect_answer (members[host], now, undecided[d]);
        }
  }

  rng random;
  std::vector<fleet_host> hosts;
  std::vector<membership *> members;
  int64_t now = 0;
};
}

/* Guards against hosts that are considered dead because of packet loss, so
   that they aren't handed out to callers: with one message in ten lost, no
   host is considered dead within 150,000 messages. */
TEST (MembershipFleet, MessageLossAloneMarksNoHostDead)
{
  fleet f (41);
  f.loss = 0.1;
  while (f.messages < 150000)
    {
      f.step ();
      for (int h = 0; h < host_count; h++)
        for (int other = 0; other < host_count; other++)
          ASSERT_NE (f.state (h, other), MEMBER_DEAD);
    }
}

TEST (MembershipFleet, KilledHostIsAndStaysDeadForAll)
{
  fleet f (42);
  f.loss = 0.05;
  for (int i = 0; i < 20; i++)
    f.step ();
  f.killed[4] = true;
  EXPECT_LT (f.steps_until (4, MEMBER_DEAD, 100), 40);
  for (int i = 0; i < 200; i++)
    {
      f.step ();
      ASSERT_TRUE (f.all_see (4, MEMBER_DEAD));
    }
}

/* Guards against announcing a host as dead after a failure in one direction
   between two hosts.  The host that gets no answers sees a one-way failure
   and keeps handing the other host out, because the rest of the fleet
   reaches it. */
TEST (MembershipFleet, OneWayFailureIsDetectedAndRecovers)
{
  fleet f (43);
  const int monitor = 0;
  const int unreachable = f.neighbour (monitor);
  for (int i = 0; i < 20; i++)
    f.step ();
  f.link_down[monitor][unreachable] = true;
  for (int i = 0; i < 10; i++)
    f.step ();
  for (int i = 0; i < 100; i++)
    {
      f.step ();
      for (int h = 0; h < host_count; h++)
        ASSERT_TRUE (f.is_usable (h, unreachable)) << h << " step " << i;
    }
  f.link_down[monitor][unreachable] = false;
  EXPECT_LT (f.steps_until (unreachable, MEMBER_LIVE, 100), 10);
}

/* Guards against handing out a host that can send but receives nothing, so
   that it can't serve callers, although its heartbeats still arrive. */
TEST (MembershipFleet, HostThatReceivesNothingIsNotHandedOut)
{
  fleet f (44);
  for (int h = 0; h < host_count; h++)
    f.link_down[h][5] = true;
  for (int i = 0; i < 60; i++)
    f.step ();
  for (int h = 0; h < host_count; h++)
    EXPECT_EQ (f.is_usable (h, 5), h == 5) << h;
}

/* Guards against hosts that stay dead after a partition: the isolated host
   and the rest of the fleet considered each other dead and no longer
   monitor each other. */
TEST (MembershipFleet, IsolatedHostIsLiveAgainAfterPartition)
{
  fleet f (45);
  f.isolate (3, true);
  EXPECT_LT (f.steps_until (3, MEMBER_DEAD, 100), 40);
  for (int i = 0; i < 100; i++)
    f.step ();
  f.isolate (3, false);
  EXPECT_LT (f.steps_until (3, MEMBER_LIVE, 100), 20);
  for (int other = 0; other < host_count; other++)
    EXPECT_TRUE (f.is_usable (3, other)) << other;
}
