#include <gtest/gtest.h>

#include <cstddef>
#include <cstdio>
#include <cstring>
#include <fstream>
#include <string>
#include <unistd.h>
#include <utility>

extern "C"
{
#include "node/host_settings.h"
}

namespace
{

const char *const minimal
    = "{\"name\":\"h\",\"dc\":\"d\",\"addresses\":{\"caller\":"
      "\"127.0.0.1:1\",\"peer\":\"127.0.0.1:2\",\"operator\":"
      "\"127.0.0.1:3\"},\"platform\":{\"addresses\":[\"127.0.0.1:4\"]}";

class HostSettings : public testing::Test
{
protected:
  char path[64] = "/tmp/jaystair-settings-XXXXXX";
  host_settings settings{};

  enum status
  load (const std::string &text)
  {
    const int fd = mkstemp (path);
    EXPECT_GE (fd, 0);
    close (fd);
    std::ofstream (path) << text;
    const enum status status = host_settings_load (path, &settings);
    unlink (path);
    strcpy (path, "/tmp/jaystair-settings-XXXXXX");
    return status;
  }

  void
  expect_refused (const std::string &members, const char *part)
  {
    EXPECT_EQ (load (minimal + ("," + members) + "}"), STATUS_INVALID);
    EXPECT_NE (strstr (status_message (), part), nullptr) << status_message ();
  }
};

TEST_F (HostSettings, ReadsResources)
{
  ASSERT_EQ (load (std::string (minimal)
                   + ",\"resources\":{\"cpu_share\":0.25,\"core_speed\":2,"
                     "\"link_mbps\":9.6,\"memory_mb\":160,"
                     "\"files\":4100}}"),
             STATUS_OK)
      << status_message ();
  EXPECT_EQ (settings.resources.cpu_percent, 50u);
  EXPECT_EQ (settings.resources.link_mbps, 10u);
  EXPECT_EQ (settings.resources.memory_mb, 160u);
  EXPECT_EQ (settings.resources.files, 4100u);
  EXPECT_EQ (settings.limits.connections, 2048u);
  expect_refused ("\"resources\":{\"cpu_share\":-1}", "cpu_share");
  expect_refused ("\"resources\":{\"link_mbps\":\"fast\"}", "link_mbps");
}

/* The example file documents the defaults for operators.  If the two differ, a
   setting that an operator relies on has another value. */
TEST_F (HostSettings, ExampleMatchesDefaults)
{
  ASSERT_EQ (host_settings_load (SOURCE_DIR "/examples/host.json", &settings),
             STATUS_OK)
      << status_message ();
  host_settings expected;
  host_settings_defaults (&expected);
  EXPECT_EQ (
      memcmp (&settings.limits, &expected.limits, sizeof expected.limits), 0);
  EXPECT_EQ (memcmp (&settings.times, &expected.times, sizeof expected.times),
             0);
  EXPECT_EQ (memcmp (&settings.retry, &expected.retry, sizeof expected.retry),
             0);
  EXPECT_EQ (memcmp (&settings.modes, &expected.modes, sizeof expected.modes),
             0);
  EXPECT_STREQ (settings.interface, expected.interface);
  EXPECT_EQ (settings.set_hosts_per_dc, expected.set_hosts_per_dc);
  EXPECT_EQ (settings.relays_per_dc, expected.relays_per_dc);
  EXPECT_EQ (settings.resources.cpu_percent, expected.resources.cpu_percent);
  EXPECT_EQ (settings.resources.link_mbps, expected.resources.link_mbps);
  EXPECT_EQ (settings.resources.memory_mb, expected.resources.memory_mb);
  EXPECT_EQ (settings.resources.files, expected.resources.files);
  EXPECT_EQ (settings.log_level, expected.log_level);
  EXPECT_EQ (settings.log_json, expected.log_json);
  EXPECT_EQ (settings.log_repeats_per_second, expected.log_repeats_per_second);
  EXPECT_EQ (settings.log_warnings_per_second,
             expected.log_warnings_per_second);
}

TEST_F (HostSettings, AcceptsMinimalFile)
{
  EXPECT_EQ (load (std::string (minimal) + "}"), STATUS_OK)
      << status_message ();
  EXPECT_STREQ (settings.platform_addresses[0], "127.0.0.1:4");
}

TEST_F (HostSettings, ReadsPeers)
{
  EXPECT_EQ (load (std::string (minimal) + ",\"peers\":[\"127.0.0.1:9\"]}"),
             STATUS_OK);
  EXPECT_EQ (settings.peer_seed_count, 1u);
  EXPECT_STREQ (settings.peer_seeds[0], "127.0.0.1:9");
}

TEST_F (HostSettings, InvalidValuesNameTheRemedy)
{
  expect_refused ("\"nmae\":1", "nmae: no such option");
  expect_refused ("\"peers\":[\"h:1\"]", "peers[0].address: expected IP");
  expect_refused ("\"log\":{\"level\":\"loud\"}", "log.level: expected one");
  expect_refused ("\"times\":{\"suspect_after_ms\":600}",
                  "at least two heartbeats");
  expect_refused ("\"times\":{\"dead_after_ms\":1500}",
                  "more than suspect_after_ms");
  expect_refused ("\"times\":{\"forget_after_ms\":5000}",
                  "more than dead_after_ms");
  expect_refused ("\"times\":{\"enforce_ms\":500}", "three evidence_ms");
  expect_refused ("\"times\":{\"owner_lease_ms\":3000}",
                  "more than enforce_ms");
  expect_refused ("\"limits\":{\"connections\":0}",
                  "limits.connections: expected a whole number");
}

TEST_F (HostSettings, RefusesTwoPlatforms)
{
  std::string both = minimal;
  both.insert (both.rfind ('}'), ",\"file\":\"f.json\"");
  EXPECT_EQ (load (both + "}"), STATUS_INVALID);
  EXPECT_NE (strstr (status_message (), "give exactly one"), nullptr);
}

/* A host that listens on all its addresses and announces "0.0.0.0" looks dead
   to all other hosts.  Its settings must name the address to announce. */
TEST_F (HostSettings, WildcardAddressNeedsAdvertisedAddress)
{
  std::string any = minimal;
  any.replace (any.find ("127.0.0.1:1"), 11, "0.0.0.0:1");
  EXPECT_EQ (load (any + "}"), STATUS_INVALID);
  EXPECT_NE (strstr (status_message (), "advertise: expected \"caller\""),
             nullptr)
      << status_message ();
  EXPECT_EQ (load (any + ",\"advertise\":{\"caller\":\"192.0.2.7:80\"}}"),
             STATUS_OK)
      << status_message ();
  EXPECT_STREQ (host_settings_advertised_address (settings.caller_advertised,
                                                  settings.caller_address),
                "192.0.2.7:80");
  EXPECT_STREQ (host_settings_advertised_address (settings.peer_advertised,
                                                  settings.peer_address),
                "127.0.0.1:2");
}

/* After an edit of one setting and a reload, the log must report whether a
   restart is needed: for each member except those of the log itself. */
TEST_F (HostSettings, AllButLogSettingsNeedRestart)
{
  const std::string minimal_file = std::string (minimal) + "}";
  ASSERT_EQ (load (minimal_file), STATUS_OK);
  const host_settings old = settings;
  ASSERT_EQ (load (minimal_file), STATUS_OK);
  EXPECT_FALSE (host_settings_need_restart (&old, &settings));
  ASSERT_EQ (load (std::string (minimal)
                   + ",\"log\":{\"level\":\"debug\",\"json\":true,"
                     "\"repeats_per_second\":7,"
                     "\"warnings_per_second\":9}}"),
             STATUS_OK);
  EXPECT_FALSE (host_settings_need_restart (&old, &settings));
  const std::pair<const char *, const char *> edits[] = {
    { "\"h\"", "\"i\"" },
    { "\"d\"", "\"e\"" },
    { "0.1:1\"", "0.1:5\"" },
    { "0.1:2\"", "0.1:5\"" },
    { "0.1:3\"", "0.1:5\"" },
    { "0.1:4\"", "0.1:5\"" },
    { "0.1:4\"", "0.1:4\",\"127.0.0.1:5\"" },
    { "\"addresses\":[\"127.0.0.1:4\"]", "\"file\":\"f.json\"" },
    { "}}", "},\"advertise\":{\"caller\":\"127.0.0.1:9\"}}" },
    { "}}", "},\"advertise\":{\"peer\":\"127.0.0.1:9\"}}" },
    { "}}", "},\"advertise\":{\"operator\":\"127.0.0.1:9\"}}" },
    { "}}", "},\"peers\":[\"127.0.0.1:9\"]}" },
    { "}}", "},\"secret_file\":\"s\"}" },
    { "}}", "},\"set_hosts_per_dc\":3}" },
    { "}}", "},\"relays_per_dc\":4}" },
    { "}}", ",\"terms\":\"a,b\"}}" },
    { "}}", "},\"admission\":{\"by_route_priority\":true}}" },
    { "}}", "},\"placement\":{\"working_set\":true}}" },
    { "}}", "},\"resources\":{\"cpu_share\":0.5}}" },
    { "}}", "},\"resources\":{\"memory_mb\":500}}" },
    { "}}", "},\"resources\":{\"files\":4000}}" },
    { "}}", "},\"limits\":{\"keep_answer_ms\":4000}}" },
    { "}}", "},\"times\":{\"outage_hold_ms\":4000}}" },
  };
  for (const auto &[from, to] : edits)
    {
      std::string text = minimal_file;
      text.replace (text.rfind (from), strlen (from), to);
      ASSERT_EQ (load (text), STATUS_OK) << status_message ();
      EXPECT_TRUE (host_settings_need_restart (&old, &settings)) << to;
    }
}

/* If the comparison misses a new setting, a reload reports that no restart is
   needed and the host keeps the old value.  Every byte before the log settings
   must count. */
TEST_F (HostSettings, ComparisonCoversAllSettings)
{
  host_settings old;
  memset (&old, 'x', sizeof old);
  old.platform_address_count = HOST_PLATFORM_ADDRESSES_MAX;
  old.peer_seed_count = HOST_PEER_SEEDS_MAX;
  old.name[sizeof old.name - 1] = '\0';
  old.dc[sizeof old.dc - 1] = '\0';
  for (auto *address : { &old.caller_address, &old.peer_address,
                         &old.operator_address, &old.directory_address,
                         &old.readiness_address, &old.caller_advertised,
                         &old.peer_advertised, &old.operator_advertised })
    (*address)[sizeof *address - 1] = '\0';
  for (auto &address : old.platform_addresses)
    address[sizeof address - 1] = '\0';
  for (auto &address : old.peer_seeds)
    address[sizeof address - 1] = '\0';
  old.platform_file[sizeof old.platform_file - 1] = '\0';
  old.secret_file[sizeof old.secret_file - 1] = '\0';
  old.interface[sizeof old.interface - 1] = '\0';
  old.platform_terms[sizeof old.platform_terms - 1] = '\0';
  for (size_t i = 0; i < sizeof old; i++)
    {
      host_settings edited;
      memcpy (&edited, &old, sizeof old);
      reinterpret_cast<char *> (&edited)[i] ^= 1;
      EXPECT_EQ (host_settings_need_restart (&old, &edited),
                 i < offsetof (host_settings, log_level))
          << "byte " << i;
    }
}

TEST_F (HostSettings, NamesMissingFile)
{
  EXPECT_EQ (host_settings_load ("/nonexistent/file", &settings),
             STATUS_SYSTEM);
  EXPECT_NE (strstr (status_message (), "/nonexistent/file"), nullptr);
}

} // namespace
