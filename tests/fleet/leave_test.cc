/** Hosts and targets that leave in good order. */
#include <gtest/gtest.h>

#include <csignal>

#include "tests/harness/caller.h"

namespace
{

constexpr int callers = 6;
constexpr size_t some = 150;

/* The operators replace every host in turn while couples place holds.
   Nobody may notice: no request is lost, none runs twice. */
TEST (Leave, RollingReplacementLosesNothing)
{
  Fleet fleet;
  ASSERT_TRUE (fleet.start ());
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  for (int number = 1; number <= 3; number++)
    {
      Process &host = *fleet.hosts[static_cast<size_t> (number - 1)];
      host.signal (SIGTERM);
      EXPECT_EQ (host.wait (), 0) << host.tail ();
      fleet.start_host (number);
      ASSERT_TRUE (fleet.wait_serving (number)) << fleet.logs ();
      ASSERT_TRUE (load.wait_for_requests (some));
    }
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet.logs ();
  EXPECT_EQ (load.count_outcome (RequestOutcome::ran), load.count ())
      << load.summary () << fleet.logs ();
}

/* A target is drained by an operator.  Within seconds it gets no new work
   from any host, and what it was working on is finished. */
TEST (Leave, DrainedTargetGetsNoNewWork)
{
  Fleet fleet;
  ASSERT_TRUE (fleet.start ());
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (some));
  int code = -1;
  const std::string answer
      = fleet.jaystair (1, { "drain", "target-2" }, &code);
  EXPECT_EQ (code, 0) << answer;
  for (int number = 1; number <= 3; number++)
    ASSERT_TRUE (wait_until ([&] {
      const std::string rows = fleet.jaystair (
          number, { "--json", "show", "targets", "where", "target=target-2" });
      return rows.find ("drained") != std::string::npos;
    })) << fleet.logs ();
  const size_t runs = fleet.targets[1]->lines_with ("run ").size ();
  ASSERT_TRUE (load.wait_for_requests (some));
  /* Whatever was sent before the last host heard of it has ended by now. */
  EXPECT_LE (fleet.targets[1]->lines_with ("run ").size (), runs + callers)
      << answer;
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet.logs ();
  EXPECT_EQ (load.count_outcome (RequestOutcome::ran), load.count ())
      << load.summary ();
}

/* Two operators act at one moment on what they both saw.  One command takes
   effect; the other is refused and told what changed. */
TEST (Leave, OfTwoOperatorsOneIsRefused)
{
  Fleet fleet;
  ASSERT_TRUE (fleet.start ());
  const std::string version
      = json_at (http_get (fleet.platform_url ("/objects/service/holds")).body,
                 "version");
  int first = -1;
  int second = -1;
  std::thread other ([&] {
    fleet.jaystair (1, { "drain", "target-1", "at", "version", version },
                    &first);
  });
  const std::string answer = fleet.jaystair (
      2, { "drain", "target-2", "at", "version", version }, &second);
  other.join ();
  EXPECT_EQ (first + second, 1) << first << " " << second << " " << answer;
  EXPECT_TRUE (first == 0 || second == 0);
}

} // namespace
