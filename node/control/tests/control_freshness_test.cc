/* Hosts that find out whether the configuration in force is the newest. */
#include "node/control/tests/control_fixture.h"

extern "C"
{
#include "base/clock.h"
}

namespace
{
/* Bounds in proportion to heartbeats as they are usually: ten heartbeats. */
const uint32_t bound_ms = 1000;
const uint32_t beat_ms = 50;

std::string
config_text (int version, const std::string &workspaces = ",\"workspaces\":[]")
{
  return "{\"version\":" + std::to_string (version)
         + ",\"routes\":[{\"name\":\"r\",\"parts\":[{\"service\":"
           "\"holds\"}]}],\"services\":[{\"name\":\"holds\"}]"
         + workspaces + "}";
}

class ControlFreshness : public ControlFixture
{
protected:
  void
  start_keyed (int count)
  {
    store.put ("config", "main", config_text (1));
    for (int i = 0; i < count; i++)
      {
        node &n = add ("h" + std::to_string (i), "d" + std::to_string (i % 2));
        n.settings.modes.has_registry = true;
        n.settings.modes.all_watch_registry = true;
        n.settings.access.revoke_ms = bound_ms;
        n.settings.times.heartbeat_ms = beat_ms;
        n.settings.times.relay_watch_ms = bound_ms;
        n.settings.times.watch_ms = 3600 * 1000;
        n.start (loop);
      }
    EXPECT_TRUE (until ([&] { return all_meet (); }));
  }

  static bool
  is_fresh (const node &n)
  {
    return freshness_is_within_bound (&n.proofs, clock_now_ms (), bound_ms);
  }

  bool
  all_fresh () const
  {
    return std::all_of (nodes.begin (), nodes.end (),
                        [] (const auto &n) { return is_fresh (*n); });
  }

  /* Turn for so many times the bound.
     @return whether all hosts were fresh all the time */
  bool
  all_stay_fresh (int bounds)
  {
    const double end = ev_now (loop) + bounds * bound_ms / 1000.0;
    bool were_fresh = true;
    EXPECT_TRUE (until ([&] {
      were_fresh = were_fresh && all_fresh ();
      return ev_now (loop) >= end;
    }));
    return were_fresh;
  }
};

TEST_F (ControlFreshness, AllHostsBecomeAndStayFresh)
{
  start_keyed (5);
  ASSERT_TRUE (until ([&] { return all_fresh (); }));
  EXPECT_TRUE (all_stay_fresh (1));
}

/* Without workspaces nobody asks more often than before. */
TEST_F (ControlFreshness, NothingIsAskedWhereNoKeysAre)
{
  start_keyed (2);
  store.put ("config", "main", config_text (2, ""));
  ASSERT_TRUE (until ([&] {
    return nodes[0]->config_version == 2 && nodes[1]->config_version == 2;
  }));
  const double end = ev_now (loop) + 2 * bound_ms / 1000.0;
  ASSERT_TRUE (until ([&] { return ev_now (loop) >= end; }));
  const uint64_t before
      = nodes[0]->platform.base.calls + nodes[1]->platform.base.calls;
  const double later = end + 2 * bound_ms / 1000.0;
  ASSERT_TRUE (until ([&] { return ev_now (loop) >= later; }));
  const uint64_t after
      = nodes[0]->platform.base.calls + nodes[1]->platform.base.calls;
  EXPECT_LE (after - before, 12u);
}

/* The platform turns one host away and serves the others, and operators go on
   taking keys away meanwhile.  The host would have to refuse all requests with
   keys once the bound is over; a question to a neighbour spares it that. */
TEST_F (ControlFreshness, AHostThatThePlatformTurnsAwayHearsFromNeighbours)
{
  start_keyed (5);
  ASSERT_TRUE (until ([&] { return all_fresh (); }));
  for (const auto &n : nodes)
    {
      n->platform.is_down = true;
      EXPECT_TRUE (all_stay_fresh (2)) << n->settings.name;
      n->platform.is_down = false;
    }
}

/* All relays are turned away: others ask in their place. */
TEST_F (ControlFreshness, OneHostThatIsServedIsEnough)
{
  start_keyed (4);
  ASSERT_TRUE (until ([&] { return all_fresh (); }));
  for (size_t served = 0; served < nodes.size (); served++)
    {
      for (size_t i = 0; i < nodes.size (); i++)
        nodes[i]->platform.is_down = i != served;
      EXPECT_TRUE (all_stay_fresh (2)) << nodes[served]->settings.name;
    }
}

/* The platform is away for all.  Nobody can know of a key that is taken away
   at its return, however often hosts tell each other what they knew. */
TEST_F (ControlFreshness, NobodyIsFreshInAnOutageForLongerThanTheBound)
{
  start_keyed (4);
  ASSERT_TRUE (until ([&] { return all_fresh (); }));
  for (const auto &n : nodes)
    n->platform.is_down = true;
  const double end = ev_now (loop) + bound_ms / 1000.0;
  ASSERT_TRUE (until ([&] { return ev_now (loop) >= end; }));
  for (const auto &n : nodes)
    EXPECT_FALSE (is_fresh (*n));
  EXPECT_TRUE (until ([&] {
    return std::all_of (nodes.begin (), nodes.end (),
                        [] (auto &n) { return control_is_stale (n->task); });
  }));
  for (const auto &n : nodes)
    n->platform.is_down = false;
  EXPECT_TRUE (until ([&] { return all_fresh (); }));
}

/* The platform's watches go deaf, and a key is taken away.  What a watch that
   waits has not shown proves nothing. */
TEST_F (ControlFreshness, ADeafWatchProvesNothing)
{
  start_keyed (1);
  node &n = *nodes[0];
  ASSERT_TRUE (until ([&] { return all_fresh (); }));
  for (int version = 2; version < 6; version++)
    {
      n.platform.go_deaf ();
      store.put ("config", "main", config_text (version));
      const int64_t accepted_ms = clock_now_ms ();
      ASSERT_TRUE (until ([&] {
        if (n.config_version < (uint64_t)version && is_fresh (n))
          {
            EXPECT_LT (clock_now_ms () - accepted_ms, (int64_t)bound_ms);
          }
        return n.config_version == (uint64_t)version;
      }));
    }
}

/* Requests wait at a host that has just started: it asks at once. */
TEST_F (ControlFreshness, AHostThatStartsAsksWhenRequestsWait)
{
  start_keyed (3);
  ASSERT_TRUE (until ([&] { return all_fresh (); }));
  node &n = *nodes[2];
  n.stop ();
  freshness_init (&n.proofs);
  n.config_version = 0;
  n.start (loop);
  ASSERT_TRUE (until ([&] { return n.config_version > 0; }));
  bus_message wanted = {};
  wanted.topic = BUS_FRESHNESS_REQUESTED;
  const int64_t asked_ms = clock_now_ms ();
  bus_post (n.bus, &wanted);
  ASSERT_TRUE (until ([&] { return is_fresh (n); }));
  EXPECT_LT (clock_now_ms () - asked_ms, (int64_t)bound_ms);
}
} // namespace
