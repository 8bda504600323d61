/** The platform is down, slow or loses its responses. */
#include <gtest/gtest.h>

#include "tests/harness/caller.h"

namespace
{

constexpr int callers = 4;
constexpr size_t batch_requests = 150;

/* With short times an outage lasts many leases within a test. */
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
  platform_control (const std::string &query)
  {
    return fleet->post_control (fleet->platform_url ("/control?" + query));
  }
};

/* While the platform is down, requests must not be affected, and a settings
   change must be refused with the reason instead of being applied in part. */
TEST_F (Outage, ServesAndRefusesChanges)
{
  start ();
  Load load (*fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  ASSERT_TRUE (platform_control ("down=1"));
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  int code = -1;
  const std::string output
      = fleet->jaystair (1, { "drain", "target-1" }, &code);
  EXPECT_NE (code, 0) << output;
  EXPECT_NE (output.find ("platform"), std::string::npos) << output;
  ASSERT_TRUE (platform_control ("down=0"));
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet->logs ();
  EXPECT_EQ (load.count_outcome (RequestOutcome::ran), load.count ())
      << load.summary ();
}

/* The platform responds only after the timeout of its calls, and then loses
   responses as well.  That may delay settings changes on the hosts, but must
   not affect requests. */
TEST_F (Outage, SlowPlatformDelaysNoRequests)
{
  start ();
  Load load (*fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  ASSERT_TRUE (platform_control ("slow_ms=1000"));
  ASSERT_TRUE (platform_control ("lose_answers=5"));
  size_t from = 0;
  EXPECT_TRUE (fleet->hosts[0]->wait_line ({ "platform-failed" }, &from));
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
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

/* A host that is restarted while the platform is down must load the settings
   in force from its peers. */
TEST_F (Outage, HostRestartedDuringOutageLoadsFromPeers)
{
  start ();
  ASSERT_TRUE (platform_control ("down=1"));
  fleet->hosts[0]->kill ();
  fleet->start_host (1);
  EXPECT_TRUE (fleet->wait_serving (1)) << fleet->logs ();
  Load load (*fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet->logs ();
}

/* The response to an operator's write is lost after it took effect.  Repeating
   the write could undo a later change of another operator, so the host must
   read the object back and report the command as accepted. */
TEST_F (Outage, LostResponseIsReadBack)
{
  start ();
  ASSERT_TRUE (platform_control ("lose_answers=1"));
  int code = -1;
  const std::string output
      = fleet->jaystair (1, { "drain", "target-1" }, &code);
  EXPECT_EQ (code, 0) << output;
  const std::string object
      = http_get (fleet->platform_url ("/objects/service/holds")).body;
  EXPECT_EQ (json_at (object, "value.targets.0.state"), "drained") << object;
}

} // namespace
