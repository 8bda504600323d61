/** Fleet-wide blocking of requests that crash targets. */
#include <gtest/gtest.h>

#include "tests/harness/fleet.h"

namespace
{

constexpr int hosts = 6;
constexpr int set_hosts = 3; /* size of the service's set */
constexpr int targets = 16;

class PoisonFleet : public testing::Test
{
protected:
  PoisonFleet () : fleet (options ())
  {
  }

  static FleetOptions
  options ()
  {
    FleetOptions options;
    options.hosts = hosts;
    options.targets = targets;
    options.set_hosts_per_dc = set_hosts;
    options.times = short_times;
    return options;
  }

  void
  SetUp () override
  {
    ASSERT_TRUE (fleet.start ());
    ASSERT_TRUE (wait_until ([this] {
      for (int host = 1; host <= hosts; host++)
        if (json_at (http_get (fleet.operator_url (host, "/v1/services")).body,
                     "rows.0.hosts")
            != std::to_string (set_hosts))
          return false;
      return true;
    }));
    for (int target = 1; target <= targets; target++)
      ASSERT_TRUE (fleet.post_control (
          fleet.target_url (target, "/control/set?crash=1")));
  }

  long
  send (int host)
  {
    HttpRequest request;
    request.method = "POST";
    request.url = fleet.caller_url (host, "/holds/crash");
    request.body = "date=2027-02-14";
    request.headers = { "X-Request-Id: poison-" + std::to_string (++sent) };
    return http (request).status;
  }

  int
  runs ()
  {
    int total = 0;
    for (const auto &[id, times] : fleet.all_runs ())
      if (id.find ("poison-") == 0)
        total += times;
    return total;
  }

  bool
  logged (const std::string &event, size_t times, int by_hosts)
  {
    return wait_until (
        [&] {
          int count = 0;
          for (const auto &host : fleet.hosts)
            count += host->count_lines ({ event }) >= times;
          return count >= by_hosts;
        },
        10);
  }

  bool
  blocked_everywhere ()
  {
    return logged ("\"poison-blocked\"", 1, hosts);
  }

  /* A host that hears of the block before it hears of the last crash logs only
     the block. */
  bool
  know_of_crash (int number)
  {
    return wait_until (
        [&] {
          int count = 0;
          for (const auto &host : fleet.hosts)
            count
                += host->count_lines ({ "\"poison-suspected\"" })
                               >= (size_t)number
                           || host->count_lines ({ "\"poison-blocked\"" }) > 0
                       ? 1
                       : 0;
          return count >= set_hosts;
        },
        10);
  }

  size_t
  block_count ()
  {
    size_t count = 0;
    for (const auto &host : fleet.hosts)
      count += host->count_lines ({ "\"poison-blocked\"" });
    return count;
  }

  /* Causes three consecutive crashes, each through a different host. */
  void
  crash_three ()
  {
    for (int i = 1; i <= 3; i++)
      {
        EXPECT_EQ (block_count (), 0U);
        EXPECT_EQ (send (i), 502);
        ASSERT_TRUE (know_of_crash (i)) << fleet.logs ();
      }
    ASSERT_TRUE (blocked_everywhere ()) << fleet.logs ();
    ASSERT_EQ (runs (), 3);
  }

  Fleet fleet;
  int sent = 0;
};

/* A request that crashes targets and is repeated through different hosts must
   not crash one target after another. */
TEST_F (PoisonFleet, RepeatedRequestCrashesFewTargets)
{
  for (int i = 0; i < targets - 2; i++)
    send (1 + i % hosts);
  EXPECT_LE (runs (), 6);
}

/* Crashes must be counted fleet-wide: counted per host, the request would
   crash several targets through each host. */
TEST_F (PoisonFleet, CrashesAtSeveralHostsBlockRequestFleetWide)
{
  crash_three ();
  for (int i = 0; i < 4 * hosts; i++)
    EXPECT_EQ (send (1 + i % hosts), 503);
  EXPECT_EQ (runs (), 3) << fleet.logs ();
  EXPECT_EQ (http_get (fleet.caller_url (1, "/calendar/june")).status, 200);
}

/* A block must not be lost when all hosts are restarted. */
TEST_F (PoisonFleet, BlockSurvivesRestartOfAllHosts)
{
  crash_three ();
  ASSERT_TRUE (wait_until ([this] {
    return json_length (http_get (fleet.platform_url ("/objects/poison")).body,
                        "objects")
           == 1;
  }));
  for (auto &host : fleet.hosts)
    host->kill ();
  for (int number = 1; number <= hosts; number++)
    fleet.start_host (number);
  for (int number = 1; number <= hosts; number++)
    ASSERT_TRUE (fleet.wait_serving (number));
  ASSERT_TRUE (blocked_everywhere ()) << fleet.logs ();
  for (int i = 0; i < 2 * hosts; i++)
    EXPECT_EQ (send (1 + i % hosts), 503);
  EXPECT_EQ (runs (), 3) << fleet.logs ();
}

/* An operator must be able to clear a block before it expires. */
TEST_F (PoisonFleet, OperatorClearsRequestAtAllHosts)
{
  crash_three ();
  const std::string fingerprint
      = json_at (http_get (fleet.operator_url (1, "/v1/poison")).body,
                 "rows.0.fingerprint");
  ASSERT_EQ (fingerprint.size (), 32u);
  int code = 0;
  fleet.jaystair (2, { "clear", "poison", std::string (32, '0') }, &code);
  EXPECT_EQ (code, 5);
  fleet.jaystair (2, { "clear", "poison", fingerprint }, &code);
  EXPECT_EQ (code, 0);
  ASSERT_TRUE (logged ("\"poison-cleared\"", 1, hosts)) << fleet.logs ();
  EXPECT_TRUE (wait_until ([this] {
    return json_length (http_get (fleet.platform_url ("/objects/poison")).body,
                        "objects")
           == 0;
  }));
  for (int host = 5; host <= hosts; host++)
    EXPECT_EQ (send (host), 502);
  EXPECT_EQ (runs (), 5);
}

/* Blocking must not depend on the platform being available. */
TEST_F (PoisonFleet, BlocksDuringPlatformOutage)
{
  fleet.platform->kill ();
  crash_three ();
  for (int i = 0; i < 2 * hosts; i++)
    EXPECT_EQ (send (1 + i % hosts), 503);
  EXPECT_EQ (runs (), 3) << fleet.logs ();
}

} // namespace
