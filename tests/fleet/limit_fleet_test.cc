/** Rate limits of targets across all hosts of a set. */
#include <gtest/gtest.h>

#include <chrono>

#include "tests/harness/fleet.h"

namespace
{

constexpr int hosts = 6;
constexpr double window_s = 4;

/* If each host enforced the limit alone, the hosts together would exceed it
   several times. */
TEST (LimitFleet, HostsTogetherKeepLimit)
{
  FleetOptions options;
  options.hosts = hosts;
  options.set_hosts_per_dc = hosts;
  options.slots = 16;
  options.times = short_times;
  Fleet fleet (options);
  ASSERT_TRUE (fleet.start ());
  for (int target = 1; target <= 3; target++)
    ASSERT_TRUE (fleet.post_control (
        fleet.target_url (target, "/control/set?delay_ms=5")));
  ASSERT_TRUE (
      fleet.post_control (fleet.target_url (1, "/control/set?limit=1")));
  const auto send = [&] (int host, int number) {
    HttpRequest request;
    request.url = fleet.caller_url (host, "/calendar/june");
    request.headers = { "X-Request-Id: limit-" + std::to_string (number) };
    return http (request).status;
  };
  const auto runs
      = [&] { return fleet.targets[0]->lines_with ("run limit-"); };
  int number = 0;
  /* Lets all hosts learn the limit, from responses or from other hosts. */
  for (; number < 100 * hosts; number++)
    send (1 + number % hosts, number);
  const auto start = std::chrono::steady_clock::now ();
  const size_t runs_before = runs ().size ();
  double elapsed_s = 0;
  for (; elapsed_s < window_s; number++)
    {
      EXPECT_EQ (send (1 + number % hosts, number), 200);
      const std::chrono::duration<double> elapsed
          = std::chrono::steady_clock::now () - start;
      elapsed_s = elapsed.count ();
    }
  const size_t received = runs ().size () - runs_before;
  EXPECT_LE (received, (size_t)(1.5 * elapsed_s + 5)) << fleet.logs ();
  EXPECT_GE (received, 2u) << "the target isn't used";
}

} // namespace
