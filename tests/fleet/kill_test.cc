/** Hosts and targets that are killed or frozen under load. */
#include <gtest/gtest.h>

#include <csignal>

#include "tests/harness/caller.h"

namespace
{

constexpr int callers = 6;
constexpr size_t some = 200;

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
  expect_promises_kept (Load &load)
  {
    load.stop ();
    EXPECT_EQ (load.check (), "") << fleet.logs ();
    EXPECT_GT (load.count_outcome (RequestOutcome::ran), some)
        << load.summary ();
  }
};

/* A couple waits for a page while the host that carries it is killed.  They
   see the connection break, ask another host, and get their page; a hold
   that was on its way is never placed twice. */
TEST_F (Kill, HostKilledUnderLoad)
{
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  fleet.hosts[0]->kill ();
  ASSERT_TRUE (load.wait_for_requests (some));
  expect_promises_kept (load);
}

/* A target dies between request and answer.  Pages are fetched from another
   target; a hold that was perhaps placed is reported as unknown, at once. */
TEST_F (Kill, TargetKilledUnderLoad)
{
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  fleet.targets[0]->kill ();
  ASSERT_TRUE (load.wait_for_requests (some));
  fleet.start_target (1);
  ASSERT_TRUE (fleet.targets[0]->wait_line ({ "listening" }));
  ASSERT_TRUE (load.wait_for_requests (some));
  load.stop ();
  EXPECT_EQ (load.count_outcome (RequestOutcome::wrong), 0u) << load.check ();
}

/* A host and a target go at the same moment. */
TEST_F (Kill, HostAndTargetTogether)
{
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  fleet.hosts[1]->kill ();
  fleet.targets[2]->kill ();
  ASSERT_TRUE (load.wait_for_requests (some));
  expect_promises_kept (load);
}

/* A host is paused in the middle of its work and thawed later.  Callers that
   waited on it were told nothing; what it still does after the thaw must not
   run a hold twice. */
TEST_F (Kill, HostFrozenAndThawedUnderLoad)
{
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  size_t from = fleet.hosts[1]->line_count ();
  fleet.hosts[0]->signal (SIGSTOP);
  EXPECT_TRUE (fleet.hosts[1]->wait_line ({ "\"host-1\"", "dead" }, &from))
      << fleet.hosts[1]->tail ();
  fleet.hosts[0]->signal (SIGCONT);
  ASSERT_TRUE (load.wait_for_requests (some));
  expect_promises_kept (load);
}

/* A host is replaced under a new name and never comes back.  The platform
   would list it for ever; another host removes its record, and that of no
   live one. */
TEST (KilledForGood, ItsRecordIsRemoved)
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
