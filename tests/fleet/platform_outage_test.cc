/** The platform down, slow, or losing answers. */
#include <gtest/gtest.h>

#include "tests/harness/caller.h"

namespace
{

constexpr int callers = 4;
constexpr size_t some = 150;
/* Short times, so that an outage lasts many leases within a test. */
class Outage : public testing::Test
{
protected:
  FleetOptions options;
  std::unique_ptr<Fleet> fleet;

  void
  start ()
  {
    options.times = short_times;
    fleet = std::make_unique<Fleet> (options);
    ASSERT_TRUE (fleet->start ());
  }

  bool
  platform_control (const std::string &what)
  {
    return fleet->post_control (fleet->platform_url ("/control?" + what));
  }
};

/* The platform is down while couples browse and place holds.  They must not
   notice, and a change of settings is refused with the reason rather than
   half accepted. */
TEST_F (Outage, ServesOnAndRefusesChanges)
{
  start ();
  Load load (*fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  ASSERT_TRUE (platform_control ("down=1"));
  ASSERT_TRUE (load.wait_for_requests (some));
  int code = -1;
  const std::string answer
      = fleet->jaystair (1, { "drain", "target-1" }, &code);
  EXPECT_NE (code, 0) << answer;
  EXPECT_NE (answer.find ("platform"), std::string::npos) << answer;
  ASSERT_TRUE (platform_control ("down=0"));
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet->logs ();
  EXPECT_EQ (load.count_outcome (RequestOutcome::ran), load.count ())
      << load.summary ();
}

/* The platform answers, but takes longer than a call may take, and then loses
   answers as well.  Hosts must take that for an outage of their news, not of
   their work. */
TEST_F (Outage, SlowAndForgetfulPlatformHoldsUpNoWork)
{
  start ();
  Load load (*fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  ASSERT_TRUE (platform_control ("slow_ms=1000"));
  ASSERT_TRUE (platform_control ("lose_answers=5"));
  size_t from = 0;
  EXPECT_TRUE (fleet->hosts[0]->wait_line ({ "platform-failed" }, &from));
  ASSERT_TRUE (load.wait_for_requests (some));
  ASSERT_TRUE (platform_control ("slow_ms=0"));
  ASSERT_TRUE (platform_control ("lose_answers=0"));
  ASSERT_TRUE (fleet->declare (fleet->service_json ()));
  EXPECT_TRUE (wait_until ([&] {
    return fleet->hosts[0]->count_lines ({ "service-in-force" }) > 1;
  })) << fleet->logs ();
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet->logs ();
  EXPECT_EQ (load.count_outcome (RequestOutcome::ran), load.count ())
      << load.summary ();
}

/* A host is restarted while the platform is down.  It must come back with
   the settings in force, from its peers. */
TEST_F (Outage, HostRestartedInAnOutageLoadsFromPeers)
{
  start ();
  ASSERT_TRUE (platform_control ("down=1"));
  fleet->hosts[0]->kill ();
  fleet->start_host (1);
  EXPECT_TRUE (fleet->wait_serving (1)) << fleet->logs ();
  Load load (*fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet->logs ();
}

/* The answer to an operator's write is lost after it took effect.  Repeating
   it could undo what another operator did since; it is read back instead, and
   the operator is told that it was accepted. */
TEST_F (Outage, LostAnswerIsReadBack)
{
  start ();
  ASSERT_TRUE (platform_control ("lose_answers=1"));
  int code = -1;
  const std::string answer
      = fleet->jaystair (1, { "drain", "target-1" }, &code);
  EXPECT_EQ (code, 0) << answer;
  const std::string object
      = http_get (fleet->platform_url ("/objects/service/holds")).body;
  EXPECT_EQ (json_at (object, "value.targets.0.state"), "drained") << object;
}

} // namespace
