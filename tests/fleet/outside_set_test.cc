/** Requests at hosts outside the set of their service. */
#include <gtest/gtest.h>

#include "tests/harness/fleet.h"

namespace
{

constexpr int hosts = 4;

/* The address of the only host that HOST lists to callers; "" while it lists
   several. */
std::string
listed_host (const Fleet &fleet, int host)
{
  const std::string body
      = http_get (fleet.caller_url (
                      host, "/.well-known/jaystair/addresses?service=holds"))
            .body;
  return json_length (body, "addresses") == 1
             ? json_at (body, "addresses.0.address")
             : "";
}

/* A host outside the set earns a retry only once in several requests, so its
   requests would fail with their first attempt while the host of the set has
   retries left. */
TEST (OutsideSet, FailedRequestIsRetried)
{
  FleetOptions options;
  options.hosts = hosts;
  options.set_hosts_per_dc = 1;
  options.retry = "\"reserve\":7,\"window_ms\":10000";
  options.times = short_times;
  Fleet fleet (options);
  ASSERT_TRUE (fleet.start ());
  const auto send = [&] (int host, const std::string &id) {
    HttpRequest request;
    request.url = fleet.caller_url (host, "/calendar/june");
    request.headers = { "X-Request-Id: " + id };
    return http (request).status;
  };
  std::string listed;
  ASSERT_TRUE (wait_until ([&] {
    listed = listed_host (fleet, 1);
    for (int host = 2; host <= hosts; host++)
      if (listed.empty () || listed_host (fleet, host) != listed)
        return false;
    return true;
  })) << fleet.logs ();
  int inside = 1;
  while (fleet.caller_url (inside, "").find (listed) == std::string::npos)
    ASSERT_LE (++inside, hosts) << listed;
  for (int i = 0; i < 50; i++)
    EXPECT_EQ (send (inside, "inside-" + std::to_string (i)), 200);
  for (int target = 1; target <= 3; target++)
    ASSERT_TRUE (fleet.post_control (
        fleet.target_url (target, "/control/set?delay_ms=50&fail=100")));
  const int outside = inside == 1 ? 2 : 1;
  EXPECT_EQ (send (outside, "outside"), 500);
  EXPECT_EQ (fleet.runs_of ("outside"), 2) << fleet.logs ();
}

} // namespace
