/* Tests how hosts determine whether the configuration in force is the
   newest. */
#include "node/control/tests/control_fixture.h"

extern "C"
{
#include "base/clock.h"
}

namespace
{
/* The usual bound is ten heartbeat intervals; here it is twenty. */
const uint32_t bound_ms = 1000;
const uint32_t heartbeat_interval_ms = 50;

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
  start_hosts (int count)
  {
    store.put ("config", "main", config_text (1));
    for (int i = 0; i < count; i++)
      {
        node &n = add ("h" + std::to_string (i), "d" + std::to_string (i % 2));
        n.settings.modes.has_registry = true;
        n.settings.modes.all_watch_registry = true;
        n.settings.access.revoke_ms = bound_ms;
        n.settings.times.heartbeat_ms = heartbeat_interval_ms;
        n.settings.times.relay_watch_ms = bound_ms;
        n.settings.times.watch_ms = 3600 * 1000;
        n.start (loop);
      }
    EXPECT_TRUE (until ([&] { return all_live (); }));
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

  /* Runs the loop for BOUNDS times the bound.
     @return whether all hosts were fresh all the time */
  bool
  all_stay_fresh (int bounds)
  {
    const double end = ev_now (loop) + bounds * bound_ms / 1000.0;
    bool was_fresh = true;
    EXPECT_TRUE (until ([&] {
      was_fresh = was_fresh && all_fresh ();
      return ev_now (loop) >= end;
    }));
    return was_fresh;
  }
};

TEST_F (ControlFreshness, AllHostsBecomeAndStayFresh)
{
  start_hosts (5);
  ASSERT_TRUE (until ([&] { return all_fresh (); }));
  EXPECT_TRUE (all_stay_fresh (1));
}

/* Without workspaces there are no additional calls to the platform. */
TEST_F (ControlFreshness, NoQueriesWithoutWorkspaces)
{
  start_hosts (2);
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

/* The platform refuses one host and serves the others, while operators revoke
   keys.  Without queries to its neighbours, the host would have to refuse all
   requests with keys once the bound is exceeded. */
TEST_F (ControlFreshness, DisconnectedHostGetsProofsFromNeighbours)
{
  start_hosts (5);
  ASSERT_TRUE (until ([&] { return all_fresh (); }));
  for (const auto &n : nodes)
    {
      n->platform.is_down = true;
      EXPECT_TRUE (all_stay_fresh (2)) << n->settings.name;
      n->platform.is_down = false;
    }
}

/* The platform refuses all relays: other hosts query it instead. */
TEST_F (ControlFreshness, OneConnectedHostIsEnough)
{
  start_hosts (4);
  ASSERT_TRUE (until ([&] { return all_fresh (); }));
  for (size_t served = 0; served < nodes.size (); served++)
    {
      for (size_t i = 0; i < nodes.size (); i++)
        nodes[i]->platform.is_down = i != served;
      EXPECT_TRUE (all_stay_fresh (2)) << nodes[served]->settings.name;
    }
}

/* The platform is unavailable to all hosts.  None of them can know of a key
   that is revoked when it recovers, however often they exchange what they
   knew. */
TEST_F (ControlFreshness, OutageEndsFreshnessAfterTheBound)
{
  start_hosts (4);
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

/* The platform's watches stop returning changes, and a key is revoked.  A
   watch that waits proves nothing about changes that it hasn't returned. */
TEST_F (ControlFreshness, SilentWatchProvesNothing)
{
  start_hosts (1);
  node &n = *nodes[0];
  ASSERT_TRUE (until ([&] { return all_fresh (); }));
  for (int version = 2; version < 6; version++)
    {
      n.platform.silence_watches ();
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

/* Requests wait at a host that has just started: it queries at once. */
TEST_F (ControlFreshness, StartingHostQueriesWhenRequestsWait)
{
  start_hosts (3);
  ASSERT_TRUE (until ([&] { return all_fresh (); }));
  node &n = *nodes[2];
  n.stop ();
  freshness_init (&n.proofs);
  n.config_version = 0;
  n.start (loop);
  ASSERT_TRUE (until ([&] { return n.config_version > 0; }));
  bus_message wanted = {};
  wanted.topic = BUS_FRESHNESS_REQUESTED;
  const int64_t requested_ms = clock_now_ms ();
  bus_post (n.bus, &wanted);
  ASSERT_TRUE (until ([&] { return is_fresh (n); }));
  EXPECT_LT (clock_now_ms () - requested_ms, (int64_t)bound_ms);
}
} // namespace
