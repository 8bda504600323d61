/** @file
 * The host of the fixture and a second one, each with settings of its own, so
 * that they may know different addresses of the same targets.
 */
#ifndef NODE_CALLER_TESTS_TWO_HOSTS_FIXTURE_H
#define NODE_CALLER_TESTS_TWO_HOSTS_FIXTURE_H

#include <algorithm>

#include "node/caller/tests/caller_fixture.h"

class TwoHostsTest : public CallerTest
{
protected:
  using Targets = std::vector<std::pair<std::string, std::string>>;

  /** Starts both hosts, and the target t1; the test says who knows it. */
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    target = add_target ("t1");
    start ();
    other_settings = settings;
    strcpy (other_settings.name, "host-2");
    other_bus = bus_create (loop);
    caller_task_options options = {};
    options.loop = loop;
    options.bus = other_bus;
    options.settings = &other_settings;
    options.counters = the_counters;
    options.seed = 2;
    other = caller_task_create (&options);
    ASSERT_NE (other, nullptr) << status_message ();
  }

  void
  TearDown () override
  {
    caller_task_destroy (other);
    bus_destroy (other_bus);
    CallerTest::TearDown ();
  }

  static bus_host_entry
  host (const std::string &name, const std::string &address)
  {
    bus_host_entry entry = {};
    strcpy (entry.name, name.c_str ());
    strcpy (entry.dc, "dc-a");
    strcpy (entry.caller_address, address.c_str ());
    return entry;
  }

  /** Put the service "holds" in force at a host, with names and addresses of
   * its targets. */
  void
  put_targets (struct bus *bus, const Targets &list)
  {
    std::string text = "{ 'name': 'holds', 'targets': [";
    for (const auto &[name, address] : list)
      text += std::string (text.back () == '[' ? "" : ",") + "{ 'name': '"
              + name + "', 'address': '" + address
              + "', 'dc': 'dc-a', 'slots': 64, 'connections': 200 }";
    text += "], 'routes': " + std::string (usual_routes)
            + ", 'limits': { 'retry_percent': 100 } }";
    std::replace (text.begin (), text.end (), '\'', '"');
    bus_message message = {};
    message.topic = BUS_SERVICE_IN_FORCE;
    ASSERT_EQ (service_spec_parse ("test", text.c_str (), ++version,
                                   &message.service_in_force.spec),
               STATUS_OK)
        << status_message () << text;
    bus_post (bus, &message);
  }

  target_server *target = nullptr;
  host_settings other_settings;
  struct bus *other_bus = nullptr;
  caller_task *other = nullptr;
};

#endif
