#include "node/control/tests/control_fixture.h"

#include <chrono>

namespace
{
using namespace std::chrono_literals;

std::string
config_text (int version)
{
  return "{\"version\":" + std::to_string (version)
         + ",\"routes\":[{\"name\":\"r\",\"parts\":[{\"service\":"
           "\"holds\"}]}],\"services\":[{\"name\":\"holds\"}]}";
}

std::string
target_text (const std::string &state = "active")
{
  return "{\"service\":\"holds\",\"address\":\"127.0.0.1:9\",\"state\":\""
         + state + "\"}";
}

class ControlRegistry : public ControlFixture
{
protected:
  node &
  add_registry (const std::string &name, const std::string &dc)
  {
    node &n = add (name, dc);
    n.settings.modes.has_registry = true;
    return n;
  }

  void
  start_registry (int n)
  {
    for (int i = 0; i < n; i++)
      add_registry ("h" + std::to_string (i), "d" + std::to_string (i))
          .start (loop);
    EXPECT_TRUE (until ([&] { return all_meet (); }));
  }

  void
  turn_for (double seconds)
  {
    const double end = ev_now (loop) + seconds;
    EXPECT_TRUE (until ([&] { return ev_now (loop) >= end; }));
  }

  /* The platform fails the watches of N, and has forgotten its history. */
  void
  go_down (node &n)
  {
    ASSERT_TRUE (until ([&] { return n.platform.has_call ("watch"); }));
    n.platform.is_down = true;
    n.platform.forgets = true;
  }

  bool
  all_have_config (uint64_t version) const
  {
    return std::all_of (nodes.begin (), nodes.end (), [&] (const auto &n) {
      return n->config_version == version;
    });
  }

  /* Hosts of one data centre that all watch, the relay soon again and the
     others for longer than any test. */
  void
  start_watching (int count, std::chrono::milliseconds beat = 20ms)
  {
    for (int i = 0; i < count; i++)
      {
        node &n = add_registry ("h" + std::to_string (i), "d0");
        n.settings.modes.all_watch_registry = true;
        n.settings.times.watch_ms = 3600 * 1000;
        n.settings.times.relay_watch_ms = 200;
        n.settings.times.heartbeat_ms = (uint32_t)beat.count ();
        n.start (loop);
      }
  }

  /* How many ask now for a configuration of AGE. */
  long
  askers (platform_read_mode age) const
  {
    return std::count_if (nodes.begin (), nodes.end (), [&] (const auto &n) {
      return n->platform.has_call ("watch", "config", age);
    });
  }

  bool
  all_have_targets (const std::vector<std::string> &names) const
  {
    return std::all_of (nodes.begin (), nodes.end (), [&] (const auto &n) {
      const auto found = n->targets.find ("holds");
      return found != n->targets.end () && found->second == names;
    });
  }
};

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

/* The platform drops its history and with it the watches: their connections
   stay open and tell nothing.  An operator changes a route in that moment.
   Hosts that wait for their long watch to end route by the old version for
   20 seconds; relays ask again sooner, find the change and tell the rest. */
TEST_F (ControlRegistry, ADeafWatchIsFoundSoonAndByOneHostForAll)
{
  start_watching (3);
  store.put ("config", "main", config_text (4));
  ASSERT_TRUE (until ([&] { return all_meet () && all_have_config (4); }));
  for (auto &n : nodes)
    n->platform.go_deaf ();
  store.put ("config", "main", config_text (5));
  EXPECT_TRUE (until ([&] { return all_have_config (5); }));
}

/* Every host asks the platform for the newest after each change: with a
   hundred hosts that is most of what the platform is asked, and what it bills.
   Only the relay needs to; the others hear from it, and what they ask may be
   old.  Once the platform has forgotten a revision, an old list could be one
   of those that it has forgotten, and the watch would be refused for ever. */
TEST_F (ControlRegistry, OnlyTheRelayAsksForTheNewest)
{
  start_watching (4);
  store.put ("config", "main", config_text (4));
  ASSERT_TRUE (until ([&] { return all_meet () && all_have_config (4); }));
  EXPECT_TRUE (until ([&] {
    return askers (PLATFORM_READ_LATEST) == 1
           && askers (PLATFORM_READ_STALE) == 3;
  }));
  for (auto &n : nodes)
    {
      n->platform.newest_lists = 0;
      n->platform.forgets = true;
    }
  EXPECT_TRUE (until ([&] {
    return std::all_of (nodes.begin (), nodes.end (), [] (const auto &n) {
      return n->platform.newest_lists > 0;
    });
  }));
}

/* Hundreds of hosts start at once, and each knows only itself at first.  If
   each took itself for the relay, all would ask for the newest of everything,
   at ten times the price, just when the platform is busiest. */
TEST_F (ControlRegistry, HostsThatStartTogetherDoNotAllAskForTheNewest)
{
  start_watching (6, 100ms);
  const double end = ev_now (loop) + 1;
  long most = 0;
  EXPECT_TRUE (until ([&] {
    most = std::max (most, askers (PLATFORM_READ_LATEST));
    return ev_now (loop) >= end;
  }));
  EXPECT_EQ (most, 1);
  store.put ("config", "main", config_text (4));
  EXPECT_TRUE (until ([&] { return all_have_config (4); }));
}

/* The one relay of the fleet is cut from the platform, not from the others.
   The platform drops its history, so the others' watches are deaf as well, and
   an operator changes a route.  All wait for 20 seconds for a relay that hears
   nothing. */
TEST_F (ControlRegistry, ARelayThatIsCutFromThePlatformIsNotWaitedFor)
{
  start_watching (3);
  store.put ("config", "main", config_text (4));
  ASSERT_TRUE (until ([&] { return all_meet () && all_have_config (4); }));
  turn_for (0.5);
  /* Whoever is the relay: the last one that can still ask is not. */
  for (size_t i = 0; i < 2; i++)
    nodes[i]->platform.is_down = true;
  nodes[2]->platform.go_deaf ();
  store.put ("config", "main", config_text (5));
  EXPECT_TRUE (until ([&] { return all_have_config (5); }));
}

/* The platform is away for longer than targets keep their records alive.  At
   its return its list shows none of them, though all serve as ever; within
   two seconds they have registered again.  A host that believes the list
   refuses every request until then. */
TEST_F (ControlRegistry, TargetsThatLapsedInAnOutageAreKeptForAMoment)
{
  start_registry (1);
  store.put ("config", "main", config_text (1));
  store.put ("target", "t1", target_text ());
  store.put ("target", "t2", target_text ());
  ASSERT_TRUE (until ([&] { return all_have_targets ({ "t1", "t2" }); }));
  node &n = *nodes[0];
  go_down (n);
  store.remove ("target", "t1");
  store.remove ("target", "t2");
  ASSERT_TRUE (until ([&] { return n.platform.calls.empty (); }));
  n.platform.is_down = false;
  const uint64_t told = n.version ("holds");
  ASSERT_TRUE (until ([&] { return n.platform.has_call ("watch"); }));
  n.platform.forgets = false;
  turn_for (0.5);
  EXPECT_EQ (n.version ("holds"), told) << "believed that both are gone";
  store.put ("target", "t1", target_text ());
  /* t2 never comes back; until it is given up nothing is told of either. */
  EXPECT_TRUE (until ([&] { return all_have_targets ({ "t1" }); }));
  EXPECT_EQ (n.version ("holds"), told + 1);
}

/* A target says that it leaves, and is gone when the platform comes back:
   nothing speaks for keeping it. */
TEST_F (ControlRegistry, ADrainedTargetIsNotKept)
{
  start_registry (1);
  store.put ("config", "main", config_text (1));
  store.put ("target", "t1", target_text ("drained"));
  ASSERT_TRUE (until ([&] { return all_have_targets ({ "t1" }); }));
  node &n = *nodes[0];
  go_down (n);
  store.remove ("target", "t1");
  ASSERT_TRUE (until ([&] { return n.platform.calls.empty (); }));
  n.platform.is_down = false;
  ASSERT_TRUE (until ([&] { return n.platform.has_call ("watch"); }));
  n.platform.forgets = false;
  EXPECT_TRUE (until ([&] { return all_have_targets ({}); }));
}
} // namespace
