/** Hosts and targets that are killed or suspended under load. */
#include <gtest/gtest.h>

#include <csignal>

#include "tests/harness/caller.h"

namespace
{

constexpr int callers = 6;
constexpr size_t batch_requests = 200;

class Kill : public testing::Test
{
protected:
  Fleet fleet;

  void
  SetUp () override
  {
    ASSERT_TRUE (fleet.start ());
  }

  void
  expect_no_violations (Load &load)
  {
    load.stop ();
    EXPECT_EQ (load.check (), "") << fleet.logs ();
    EXPECT_GT (load.count_outcome (RequestOutcome::ran), batch_requests)
        << load.summary ();
  }
};

/* A host is killed while requests are in flight.  Callers see the connection
   break and use another host; an unrepeatable request in flight must never run
   twice. */
TEST_F (Kill, HostKilledUnderLoad)
{
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  fleet.hosts[0]->kill ();
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  expect_no_violations (load);
}

/* A target is killed between request and response.  Repeatable requests must
   be retried at another target; an unrepeatable one that may have run must be
   reported as unknown at once. */
TEST_F (Kill, TargetKilledUnderLoad)
{
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  fleet.targets[0]->kill ();
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  fleet.start_target (1);
  ASSERT_TRUE (fleet.targets[0]->wait_line ({ "listening" }));
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  load.stop ();
  EXPECT_EQ (load.count_outcome (RequestOutcome::wrong), 0u) << load.check ();
}

/* A host and a target are killed at the same time. */
TEST_F (Kill, HostAndTargetTogether)
{
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  fleet.hosts[1]->kill ();
  fleet.targets[2]->kill ();
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  expect_no_violations (load);
}

/* A host is suspended under load and resumed later.  Its callers got no
   response meanwhile; what it does after resuming must not run an unrepeatable
   request twice. */
TEST_F (Kill, HostSuspendedAndResumedUnderLoad)
{
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  size_t from = fleet.hosts[1]->line_count ();
  fleet.hosts[0]->signal (SIGSTOP);
  EXPECT_TRUE (fleet.hosts[1]->wait_line ({ "\"host-1\"", "dead" }, &from))
      << fleet.hosts[1]->tail ();
  fleet.hosts[0]->signal (SIGCONT);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  expect_no_violations (load);
}

/* A host that is replaced under a new name never comes back, and the platform
   would list it forever.  Another host must remove its record, and that of no
   live host. */
TEST (PermanentLoss, RecordIsRemoved)
{
  FleetOptions options;
  options.times = "\"suspect_after_ms\": 1000, \"dead_after_ms\": 1500, "
                  "\"forget_after_ms\": 2000";
  Fleet fleet (options);
  ASSERT_TRUE (fleet.start ());
  const std::string records = fleet.platform_url ("/objects/host");
  ASSERT_TRUE (wait_until (
      [&] { return json_length (http_get (records).body, "objects") == 3; }));
  fleet.hosts[2]->kill ();
  EXPECT_TRUE (wait_until ([&] {
    return json_length (http_get (records).body, "objects") == 2;
  })) << fleet.logs ();
  EXPECT_TRUE (wait_until ([&] {
    return fleet.hosts[0]->count_lines ({ "host-forgotten", "\"host-3\"" })
               + fleet.hosts[1]->count_lines (
                   { "host-forgotten", "\"host-3\"" })
           == 1;
  })) << fleet.logs ();
  EXPECT_EQ (http_get (records).body.find ("host-3"), std::string::npos);
}

} // namespace
