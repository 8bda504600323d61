/** One-way link failures: the data of one direction is lost. */
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
constexpr size_t batch_requests = 150;
constexpr int reads = 60;
constexpr int concurrent_readers = 12;

/** A fleet with a relay between its hosts and target-1. */
struct RelayedTarget
{
  RelayedTarget ()
  {
    FleetOptions options;
    options.address_overrides["target-1"] = relay_addresses.at (5, 9100);
    fleet = std::make_unique<Fleet> (options);
    relay = std::make_unique<Relay> (
        relay_addresses.at (5, 9100),
        fleet->target_url (1, "").substr (strlen ("http://")));
  }

  AddressBlock relay_addresses;
  std::unique_ptr<Fleet> fleet;
  std::unique_ptr<Relay> relay;
};

/* The responses of one target no longer reach the hosts, though requests reach
   it.  Unrepeatable requests there must be reported as "unknown", never as
   "not run", and the target must be avoided from then on. */
TEST (OneWayLink, TargetResponsesAreLost)
{
  RelayedTarget relayed;
  Fleet &fleet = *relayed.fleet;
  Relay &relay = *relayed.relay;
  ASSERT_TRUE (fleet.start ());
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  const size_t runs = fleet.targets[0]->lines_with ("run ").size ();
  relay.drop_backward = true;
  EXPECT_TRUE (wait_until ([&] {
    return fleet.targets[0]->lines_with ("run ").size () > runs;
  })) << load.summary ();
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet.logs ();
}

/* Data centre a still reaches host-2 in data centre b, but nothing comes back
   from it.  Hosts must keep serving and report correct outcomes; a settings
   change made meanwhile must be in force on every host after the failure, and
   every host must show all hosts as live again. */
TEST (OneWayLink, PeerResponsesAreLost)
{
  AddressBlock relay_addresses;
  FleetOptions options;
  options.dcs = 3;
  options.address_overrides["host-2.peer"] = relay_addresses.at (5, 8081);
  options.times = "\"heartbeat_ms\":100,\"suspect_after_ms\":400,"
                  "\"dead_after_ms\":1000";
  Fleet fleet (options);
  Relay relay (relay_addresses.at (5, 8081), fleet.peer_address (2));
  ASSERT_TRUE (fleet.start ());
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  size_t from = fleet.hosts[0]->line_count ();
  relay.drop_backward = true;
  EXPECT_TRUE (
      fleet.hosts[0]->wait_line ({ "\"member\"", "\"host-2\"" }, &from))
      << fleet.logs ();
  std::string changed = fleet.service_json ();
  changed.replace (changed.find ("\"floor_capacity\":4"), 18,
                   "\"floor_capacity\":5");
  ASSERT_TRUE (fleet.declare (changed));
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
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

/* The responses of one target are lost.  A repeatable request that it receives
   must be served by another target, not end as "unknown" at its deadline of
   ten seconds. */
TEST (OneWayLink, LostResponsesAreRetriedElsewhere)
{
  RelayedTarget relayed;
  Fleet &fleet = *relayed.fleet;
  Relay &relay = *relayed.relay;
  ASSERT_TRUE (fleet.start ());
  const size_t runs = fleet.targets[0]->lines_with ("run ").size ();
  relay.drop_backward = true;
  /* Concurrent requests: sequential ones may all go to the target that
     responded first, so that none reaches the relayed target. */
  std::vector<std::thread> readers;
  for (int first = 1; first <= concurrent_readers; first++)
    readers.emplace_back ([&fleet, first] {
      for (int number = first; number <= reads; number += concurrent_readers)
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

/* Hosts reach the platform but don't receive its responses, while an operator
   changes the floor at the platform directly.  After the failure the new
   settings must be in force on all hosts and must not be reverted. */
TEST (OneWayLink, SettingsChangedMeanwhileAreNotReverted)
{
  AddressBlock relay_addresses;
  FleetOptions options;
  options.address_overrides["platform"] = relay_addresses.at (5, 9000);
  options.times = "\"platform_timeout_ms\":300,\"watch_ms\":500";
  Fleet fleet (options);
  Relay relay (relay_addresses.at (5, 9000),
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
