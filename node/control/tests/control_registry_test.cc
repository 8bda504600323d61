#include "node/control/tests/registry_fixture.h"

namespace
{
using namespace std::chrono_literals;

/* Records of targets that are written this often expire within expiry_s. */
constexpr uint32_t heartbeat_ms = 100;
constexpr double expiry_s = 0.3;
constexpr uint32_t watch_ms = 1000;

TEST_F (ControlRegistry, ConfigurationAndTargetsReachAllHosts)
{
  start_registry (3);
  store.put ("config", "main", config_text (4));
  store.put ("target", "t1", target_text ());
  EXPECT_TRUE (until (
      [&] { return all_have_config (4) && all_have_targets ({ "t1" }); }));
  store.put ("config", "main", config_text (5));
  store.remove ("target", "t1");
  EXPECT_TRUE (
      until ([&] { return all_have_config (5) && all_have_targets ({}); }));
}

/* Guards against a configuration that is ignored because the platform, which
   came back from a copy, gives it a lower version than an earlier one had. */
TEST_F (ControlRegistry, ConfigurationsAreOrderedByTheirOwnVersion)
{
  start_registry (3);
  store.sequence = 50;
  store.put ("config", "main", config_text (4));
  ASSERT_TRUE (until ([&] { return all_have_config (4); }));
  store.sequence = 10;
  store.put ("config", "main", config_text (5));
  for (auto &n : nodes)
    n->platform.forgets_revisions = true;
  ASSERT_TRUE (until ([&] { return all_have_config (5); }));
  for (auto &n : nodes)
    n->platform.forgets_revisions = false;
  store.sequence = 100;
  store.put ("config", "main", config_text (4));
  run_for (0.5);
  EXPECT_TRUE (all_have_config (5));
}

/* The platform loses its history and with it the watches: their connections
   stay open and return nothing.  An operator changes a route at that moment.
   Hosts that waited for their long watch to end would route by the old version
   for 20 seconds.  Relays watch again sooner, find the change and send it to
   the others. */
TEST_F (ControlRegistry, SilentWatchIsDetectedByTheRelay)
{
  start_watching (3);
  store.put ("config", "main", config_text (4));
  ASSERT_TRUE (until ([&] { return all_live () && all_have_config (4); }));
  for (auto &n : nodes)
    n->platform.silence_watches ();
  store.put ("config", "main", config_text (5));
  EXPECT_TRUE (until ([&] { return all_have_config (5); }));
}

/* If every host read the newest state after each change, a hundred hosts
   would cause most of the calls to the platform, and of its cost.  Only the
   relay has to; the others receive changes from it, and may read older state.
   Once the platform has forgotten a revision, an old list may have one that is
   forgotten as well, and the watch would be refused forever. */
TEST_F (ControlRegistry, OnlyTheRelayReadsTheNewestState)
{
  start_watching (4);
  store.put ("config", "main", config_text (4));
  ASSERT_TRUE (until ([&] { return all_live () && all_have_config (4); }));
  EXPECT_TRUE (until ([&] {
    return watching_count (PLATFORM_READ_LATEST) == 1
           && watching_count (PLATFORM_READ_STALE) == 3;
  }));
  for (auto &n : nodes)
    {
      n->platform.newest_lists = 0;
      n->platform.forgets_revisions = true;
    }
  EXPECT_TRUE (until ([&] {
    return std::all_of (nodes.begin (), nodes.end (), [] (const auto &n) {
      return n->platform.newest_lists > 0;
    });
  }));
}

/* Hundreds of hosts start at once, and each knows only itself at first.  If
   each considered itself the relay, all would read the newest state of
   everything, at ten times the cost and when the platform is busiest. */
TEST_F (ControlRegistry, HostsThatStartTogetherDoNotAllReadTheNewestState)
{
  start_watching (6, 100ms);
  const double end = ev_now (loop) + 1;
  long max_count = 0;
  EXPECT_TRUE (until ([&] {
    max_count = std::max (max_count, watching_count (PLATFORM_READ_LATEST));
    return ev_now (loop) >= end;
  }));
  EXPECT_EQ (max_count, 1);
  store.put ("config", "main", config_text (4));
  EXPECT_TRUE (until ([&] { return all_have_config (4); }));
}

/* The only relay of the fleet is disconnected from the platform, but not from
   the other hosts.  The platform loses its history, so that the others'
   watches return nothing either, and an operator changes a route.  All hosts
   would wait 20 seconds for a relay that receives nothing. */
TEST_F (ControlRegistry, DisconnectedRelayIsNotWaitedFor)
{
  start_watching (3);
  store.put ("config", "main", config_text (4));
  ASSERT_TRUE (until ([&] { return all_live () && all_have_config (4); }));
  run_for (0.5);
  /* Whichever host is the relay, the last one that can still read isn't. */
  for (size_t i = 0; i < 2; i++)
    nodes[i]->platform.is_down = true;
  nodes[2]->platform.silence_watches ();
  store.put ("config", "main", config_text (5));
  EXPECT_TRUE (until ([&] { return all_have_config (5); }));
}

/* The platform refuses the only relay and serves the other hosts, which wait
   for changes from the relay. */
TEST_F (ControlRegistry, AnotherHostReadsForARefusedRelay)
{
  start_with_silent_watches (4);
  leading_relay ().platform.refuses = true;
  store.put ("config", "main", config_text (5));
  EXPECT_TRUE (until ([&] { return all_have_config (5); }));
}

/* The platform refuses the relay and most of the hosts that could read for
   it. */
TEST_F (ControlRegistry, RefusedDelegateIsReplaced)
{
  start_with_silent_watches (5);
  node &relay = leading_relay ();
  node &served = *nodes[&relay == nodes[4].get () ? 3 : 4];
  for (auto &n : nodes)
    n->platform.refuses = n.get () != &served;
  store.put ("config", "main", config_text (5));
  EXPECT_TRUE (until ([&] { return all_have_config (5); }));
}

/* The host that reads for the relay dies: it can't say that it fails. */
TEST_F (ControlRegistry, DeadDelegateIsReplaced)
{
  start_with_silent_watches (4);
  node &relay = leading_relay ();
  relay.platform.refuses = true;
  ASSERT_TRUE (until ([&] {
    return !relay.platform.has_call ("watch")
           && watching_count (PLATFORM_READ_LATEST) == 1;
  }));
  node &delegate = leading_relay ();
  delegate.platform.calls.clear ();
  delegate.stop ();
  store.put ("config", "main", config_text (5));
  EXPECT_TRUE (until ([&] {
    return std::all_of (nodes.begin (), nodes.end (), [] (const auto &n) {
      return n->task == nullptr || n->config_version == 5;
    });
  }));
}

/* A host that has read for a relay goes on at the full cost of the newest
   state after the platform serves the relay again. */
TEST_F (ControlRegistry, DelegateReadsOldStateAgainOnceTheRelayIsServed)
{
  start_watching (4);
  store.put ("config", "main", config_text (4));
  ASSERT_TRUE (until ([&] {
    return all_live () && all_have_config (4)
           && watching_count (PLATFORM_READ_LATEST) == 1;
  }));
  node &relay = leading_relay ();
  relay.platform.refuses = true;
  EXPECT_TRUE (until ([&] {
    return watching_count (PLATFORM_READ_LATEST) > 0
           && !relay.platform.has_call ("watch");
  }));
  relay.platform.refuses = false;
  EXPECT_TRUE (until ([&] {
    return watching_count (PLATFORM_READ_LATEST) == 1
           && watching_count (PLATFORM_READ_STALE) == 3
           && relay.platform.has_call ("watch", "config",
                                       PLATFORM_READ_LATEST);
  }));
}

/* The platform is unavailable for longer than the records of targets live.
   Afterwards its list shows none of them, though all still serve; within two
   seconds they have registered again.  A host that applied the list would
   refuse every request until then. */
TEST_F (ControlRegistry, TargetsThatExpiredInAnOutageAreKeptForAWhile)
{
  start_with_short_records (1, heartbeat_ms, watch_ms);
  store.put ("config", "main", config_text (1));
  store.put ("target", "t1", target_text ());
  store.put ("target", "t2", target_text ());
  ASSERT_TRUE (until ([&] { return all_have_targets ({ "t1", "t2" }); }));
  node &n = *nodes[0];
  start_outage (n);
  store.remove ("target", "t1");
  store.remove ("target", "t2");
  ASSERT_TRUE (until ([&] { return n.platform.calls.empty (); }));
  run_for (expiry_s);
  n.platform.is_down = false;
  const uint64_t published = n.version ("holds");
  ASSERT_TRUE (until ([&] { return n.platform.has_call ("watch"); }));
  n.platform.forgets_revisions = false;
  run_for (0.5);
  EXPECT_EQ (n.version ("holds"), published) << "both targets were removed";
  store.put ("target", "t1", target_text ());
  /* t2 doesn't register again; until its removal is applied, neither change
     is published. */
  EXPECT_TRUE (until ([&] { return all_have_targets ({ "t1" }); }));
  EXPECT_EQ (n.version ("holds"), published + 1);
}

/* A target is drained, and is gone when the platform recovers: there is no
   reason to keep it. */
TEST_F (ControlRegistry, DrainedTargetIsNotKept)
{
  start_with_short_records (1, heartbeat_ms, watch_ms);
  store.put ("config", "main", config_text (1));
  store.put ("target", "t1", target_text ("drained"));
  ASSERT_TRUE (until ([&] { return all_have_targets ({ "t1" }); }));
  node &n = *nodes[0];
  start_outage (n);
  store.remove ("target", "t1");
  ASSERT_TRUE (until ([&] { return n.platform.calls.empty (); }));
  run_for (expiry_s);
  n.platform.is_down = false;
  ASSERT_TRUE (until ([&] { return n.platform.has_call ("watch"); }));
  n.platform.forgets_revisions = false;
  EXPECT_TRUE (until ([&] { return all_have_targets ({}); }));
}
} // namespace
