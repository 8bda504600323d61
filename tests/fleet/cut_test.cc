/** Connections that carry one way only. */
#include <gtest/gtest.h>

#include <cstring>
#include <memory>
#include <thread>
#include <vector>

#include "tests/harness/caller.h"
#include "tests/harness/relay.h"

namespace
{

constexpr int callers = 4;
constexpr size_t some = 150;
constexpr int pages = 60;
constexpr int readers_at_once = 12;

/** A fleet with a relay between its hosts and target-1. */
struct CutTarget
{
  CutTarget ()
  {
    FleetOptions options;
    options.address_overrides["target-1"] = between.at (5, 9100);
    fleet = std::make_unique<Fleet> (options);
    relay = std::make_unique<Relay> (
        between.at (5, 9100),
        fleet->target_url (1, "").substr (strlen ("http://")));
  }

  AddressBlock between;
  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<Relay> relay;
};

/* Answers of one target no longer reach the hosts, though requests reach it.
   Callers of holds there are told "unknown", never "not run", and the target
   is avoided for the rest. */
TEST (Cut, TargetHeardOneWayOnly)
{
  CutTarget cut;
  Fleet &fleet = *cut.fleet;
  Relay &relay = *cut.relay;
  ASSERT_TRUE (fleet.start ());
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  const size_t runs = fleet.targets[0]->lines_with ("run ").size ();
  relay.drop_backward = true;
  EXPECT_TRUE (wait_until ([&] {
    return fleet.targets[0]->lines_with ("run ").size () > runs;
  })) << load.summary ();
  ASSERT_TRUE (load.wait_for_requests (some));
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet.logs ();
}

/* Data centre a still reaches host-2 in data centre b, but nothing comes back
   from there.  Hosts keep serving, nobody is told what isn't so, a change of
   settings made meanwhile is in force on every host after the cut, and all
   hosts are believed live again. */
TEST (Cut, DataCentresHearEachOtherOneWayOnly)
{
  AddressBlock between;
  FleetOptions options;
  options.dcs = 3;
  options.address_overrides["host-2.peer"] = between.at (5, 8081);
  options.times = "\"heartbeat_ms\":100,\"suspect_after_ms\":400,"
                  "\"dead_after_ms\":1000";
  Fleet fleet (options);
  Relay relay (between.at (5, 8081), fleet.peer_address (2));
  ASSERT_TRUE (fleet.start ());
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  size_t from = fleet.hosts[0]->line_count ();
  relay.drop_backward = true;
  EXPECT_TRUE (
      fleet.hosts[0]->wait_line ({ "\"member\"", "\"host-2\"" }, &from))
      << fleet.logs ();
  std::string changed = fleet.service_json ();
  changed.replace (changed.find ("\"floor_capacity\":4"), 18,
                   "\"floor_capacity\":5");
  ASSERT_TRUE (fleet.declare (changed));
  ASSERT_TRUE (load.wait_for_requests (some));
  relay.drop_backward = false;
  for (int number = 1; number <= 3; number++)
    EXPECT_TRUE (wait_until ([&] {
      const std::string hosts
          = http_get (fleet.operator_url (number, "/v1/hosts")).body;
      const std::string services
          = http_get (fleet.operator_url (number, "/v1/services")).body;
      return json_length (hosts, "rows") == 3
             && json_length (hosts, "not_heard_from") == 0
             && json_at (services, "rows.0.floor_capacity") == "5";
    })) << fleet.logs ();
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet.logs ();
  EXPECT_EQ (load.count_outcome (RequestOutcome::ran), load.count ())
      << load.summary ();
}

/* A couple looks at the calendar while one target is heard one way only.  Each
   page that the target takes and whose answer is lost must come from another
   target, not end "unknown" when its ten seconds are over. */
TEST (Cut, PagesComeFromTargetsThatAreHeard)
{
  CutTarget cut;
  Fleet &fleet = *cut.fleet;
  Relay &relay = *cut.relay;
  ASSERT_TRUE (fleet.start ());
  const size_t runs = fleet.targets[0]->lines_with ("run ").size ();
  relay.drop_backward = true;
  /* Several at a time: one after the other may all go to the target that
     answered first, and then nobody meets the cut. */
  std::vector<std::thread> readers;
  for (int first = 1; first <= readers_at_once; first++)
    readers.emplace_back ([&fleet, first] {
      for (int number = first; number <= pages; number += readers_at_once)
        {
          const Record record
              = send_and_classify (fleet.caller_url (1 + number % 3, ""),
                                   "page-" + std::to_string (number), false);
          EXPECT_EQ (record.outcome, RequestOutcome::ran)
              << number << ": " << record.detail;
        }
    });
  for (std::thread &reader : readers)
    reader.join ();
  EXPECT_GT (fleet.targets[0]->lines_with ("run ").size (), runs)
      << fleet.logs ();
}

/* The platform hears the hosts but they don't hear it, while an operator
   changes the floor by another way.  After the cut the new settings are in
   force on all hosts and stay so. */
TEST (Cut, SettingsChangedDuringACutNeverRevert)
{
  AddressBlock between;
  FleetOptions options;
  options.address_overrides["platform"] = between.at (5, 9000);
  options.times = "\"platform_timeout_ms\":300,\"watch_ms\":500";
  Fleet fleet (options);
  Relay relay (between.at (5, 9000),
               fleet.platform_url ("").substr (strlen ("http://")));
  ASSERT_TRUE (fleet.start ());
  relay.drop_backward = true;
  std::string changed = fleet.service_json ();
  changed.replace (changed.find ("\"floor_capacity\":4"), 18,
                   "\"floor_capacity\":5");
  ASSERT_TRUE (fleet.declare (changed));
  relay.drop_backward = false;
  for (int number = 1; number <= 3; number++)
    EXPECT_TRUE (wait_until ([&] {
      return fleet
                 .jaystair (number, { "--json", "show", "services", "where",
                                      "floor_capacity=5" })
                 .find ("holds")
             != std::string::npos;
    })) << fleet.logs ();
  fleet.hosts[0]->kill ();
  fleet.start_host (1);
  ASSERT_TRUE (fleet.wait_serving (1));
  for (int number = 1; number <= 3; number++)
    EXPECT_EQ (fleet
                   .jaystair (number, { "--json", "show", "services", "where",
                                        "floor_capacity=4" })
                   .find ("holds"),
               std::string::npos)
        << fleet.logs ();
}

} // namespace
