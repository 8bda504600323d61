/* Hosts that start on a platform that may have lost what other hosts know. */
#include "node/control/tests/control_fixture.h"

#include <ctime>

extern "C"
{
#include "node/control/host_record.h"
}

namespace
{

std::string
config_text (int version)
{
  return "{\"version\":" + std::to_string (version)
         + ",\"routes\":[{\"name\":\"r\",\"parts\":[{\"service\":"
           "\"holds\"}]}],\"services\":[{\"name\":\"holds\"}]}";
}

class ControlStartup : public ControlFixture
{
protected:
  node &
  start_host (const std::string &name, uint64_t era)
  {
    node &n = add (name, "d0");
    n.settings.modes.has_registry = true;
    n.platform.base.era = era;
    bus_subscribe (n.bus, BUS_CONFIG_IN_FORCE, on_config, &versions[name]);
    started_s = ev_now (loop);
    n.start (loop);
    return n;
  }

  static void
  on_config (void *owner, const bus_message *message)
  {
    static_cast<std::vector<uint64_t> *> (owner)->push_back (
        message->config_in_force.config->version);
  }

  /* Lists a host that started ten seconds ago and doesn't answer. */
  void
  list_silent_host ()
  {
    const uint64_t started_ms
        = (static_cast<uint64_t> (time (nullptr)) - 10) * 1000;
    host_record record = {};
    strcpy (record.name, "silent");
    strcpy (record.dc, "d0");
    strcpy (record.caller_address, "127.0.0.1:1");
    strcpy (record.peer_address, "127.0.0.1:1");
    record.incarnation = started_ms << 20;
    char *text = host_record_format (&record);
    store.put ("host", record.name, text);
    free (text);
  }

  /* The time in which N puts a configuration in force, in seconds. */
  double
  time_to_start (const node &n)
  {
    EXPECT_TRUE (until ([&] { return n.config_version > 0; }));
    return ev_now (loop) - started_s;
  }

  std::map<std::string, std::vector<uint64_t>> versions; /* by host */
  double started_s = 0;
};

/* Guards against a host that starts with what a restored platform went back
   to, before other hosts tell it what is in force. */
TEST_F (ControlStartup, LostConfigurationIsLearnedFirst)
{
  store.put ("config", "main", config_text (18));
  const node &old = start_host ("h0", 2);
  ASSERT_TRUE (until ([&] { return old.config_version == 18; }));
  store.kinds["config"]["main"].value = config_text (7);
  const double end = ev_now (loop) + 1.2;
  ASSERT_TRUE (until ([&] { return ev_now (loop) >= end; }));
  const node &young = start_host ("h1", 2);
  ASSERT_TRUE (until ([&] { return young.config_version == 18; }));
  EXPECT_EQ (versions["h1"], std::vector<uint64_t>{ 18 });
}

/* Guards against a host that never serves, or serves at once, since a listed
   host doesn't answer. */
TEST_F (ControlStartup, SilentHostIsWaitedForOnlyBriefly)
{
  list_silent_host ();
  store.put ("config", "main", config_text (7));
  const double s = time_to_start (start_host ("h0", 2));
  EXPECT_GT (s, 0.4);
  EXPECT_LT (s, 1.5);
}

/* Guards against a wait for hosts that don't exist. */
TEST_F (ControlStartup, LoneHostDoesNotWait)
{
  store.put ("config", "main", config_text (7));
  EXPECT_LT (time_to_start (start_host ("h0", 2)), 0.4);
}

/* Guards against a wait on platforms that lose nothing. */
TEST_F (ControlStartup, PlatformWithoutErasIsNotDoubted)
{
  list_silent_host ();
  store.put ("config", "main", config_text (7));
  EXPECT_LT (time_to_start (start_host ("h0", 0)), 0.4);
}

/* Guards against hosts that start together and wait for each other. */
TEST_F (ControlStartup, HostsThatStartTogetherDoNotWaitLong)
{
  store.put ("config", "main", config_text (7));
  for (int i = 0; i < 5; i++)
    start_host ("h" + std::to_string (i), 1);
  for (const auto &n : nodes)
    EXPECT_LT (time_to_start (*n), 0.4) << n->settings.name;
}

} // namespace
