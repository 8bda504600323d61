/** @file
 * Control tasks whose configuration and targets are a registry.
 */
#ifndef NODE_CONTROL_TESTS_REGISTRY_FIXTURE_H
#define NODE_CONTROL_TESTS_REGISTRY_FIXTURE_H

#include "node/control/tests/control_fixture.h"

#include <chrono>

inline std::string
config_text (int version)
{
  return "{\"version\":" + std::to_string (version)
         + ",\"routes\":[{\"name\":\"r\",\"parts\":[{\"service\":"
           "\"holds\"}]}],\"services\":[{\"name\":\"holds\"}]}";
}

inline std::string
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
    EXPECT_TRUE (until ([&] { return all_live (); }));
  }

  void
  run_for (double seconds)
  {
    const double end = ev_now (loop) + seconds;
    EXPECT_TRUE (until ([&] { return ev_now (loop) >= end; }));
  }

  /* Starts COUNT hosts whose targets renew their records every HEARTBEAT_MS,
     so that these expire in an outage of a test's length. */
  void
  start_with_short_records (int count, uint32_t heartbeat_ms,
                            uint32_t relay_watch_ms)
  {
    for (int i = 0; i < count; i++)
      {
        const std::string number = std::to_string (i);
        node &n = add_registry ("h" + number, "d" + number);
        n.settings.times.target_heartbeat_ms = heartbeat_ms;
        n.settings.times.relay_watch_ms = relay_watch_ms;
        n.start (loop);
      }
    EXPECT_TRUE (until ([&] { return all_live (); }));
  }

  /* The platform fails the watches of N and has lost its history. */
  void
  start_outage (node &n)
  {
    ASSERT_TRUE (until ([&] { return n.platform.has_call ("watch"); }));
    n.platform.is_down = true;
    n.platform.forgets_revisions = true;
  }

  bool
  all_have_config (uint64_t version) const
  {
    return std::all_of (nodes.begin (), nodes.end (), [&] (const auto &n) {
      return n->config_version == version;
    });
  }

  /* Starts hosts of one data centre that all watch, the relay with a short
     timeout and the others with one longer than any test. */
  void
  start_watching (int count, std::chrono::milliseconds heartbeat_interval
                             = std::chrono::milliseconds (20))
  {
    for (int i = 0; i < count; i++)
      {
        node &n = add_registry ("h" + std::to_string (i), "d0");
        n.settings.modes.all_watch_registry = true;
        n.settings.times.watch_ms = 3600 * 1000;
        n.settings.times.relay_watch_ms = 200;
        n.settings.times.heartbeat_ms = (uint32_t)heartbeat_interval.count ();
        n.start (loop);
      }
  }

  /* The number of hosts that now watch the configuration in MODE. */
  long
  watching_count (platform_read_mode mode) const
  {
    return std::count_if (nodes.begin (), nodes.end (), [&] (const auto &n) {
      return n->platform.has_call ("watch", "config", mode);
    });
  }

  /* COUNT hosts whose watches never end by themselves and return nothing from
     now on, so that a change is only found by a new watch. */
  void
  start_with_silent_watches (int count)
  {
    for (int i = 0; i < count; i++)
      {
        node &n = add_registry ("h" + std::to_string (i), "d0");
        n.settings.modes.all_watch_registry = true;
        n.settings.times.watch_ms = 7200 * 1000;
        n.settings.times.relay_watch_ms = 3600 * 1000;
        n.settings.times.stale_after_ms = 3600 * 1000;
        n.settings.times.config_apply_ms = 3600 * 1000;
        n.start (loop);
      }
    store.put ("config", "main", config_text (4));
    ASSERT_TRUE (until ([&] {
      return all_live () && all_have_config (4)
             && watching_count (PLATFORM_READ_LATEST) == 1;
    }));
    for (auto &n : nodes)
      n->platform.silence_watches ();
  }

  /* The host that reads the newest state. */
  node &
  leading_relay ()
  {
    const auto found
        = std::find_if (nodes.begin (), nodes.end (), [] (const auto &n) {
            return n->platform.has_call ("watch", "config",
                                         PLATFORM_READ_LATEST);
          });
    return found == nodes.end () ? *nodes[0] : **found;
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

#endif
