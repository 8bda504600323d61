/** Orderly exit of hosts and draining of targets. */
#include <gtest/gtest.h>

#include <csignal>

#include "tests/harness/caller.h"

namespace
{

constexpr int callers = 6;
constexpr size_t batch_requests = 150;
constexpr int restarts = 5;

/* Every host is restarted in turn under load.  No request may be lost, and no
   unrepeatable one may run twice. */
TEST (Leave, RollingReplacementLosesNothing)
{
  Fleet fleet;
  ASSERT_TRUE (fleet.start ());
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  for (int number = 1; number <= 3; number++)
    {
      Process &host = *fleet.hosts[static_cast<size_t> (number - 1)];
      host.signal (SIGTERM);
      EXPECT_EQ (host.wait (), 0) << host.tail ();
      fleet.start_host (number);
      ASSERT_TRUE (fleet.wait_serving (number)) << fleet.logs ();
      ASSERT_TRUE (load.wait_for_requests (batch_requests));
    }
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet.logs ();
  EXPECT_EQ (load.count_outcome (RequestOutcome::ran), load.count ())
      << load.summary () << fleet.logs ();
}

/* Callers use their open connections until the process is gone.  A request
   that a leaving host has passed on must be answered, not end with the
   connection. */
TEST (Leave, RequestsOnKeptConnectionsAreAnswered)
{
  Fleet fleet;
  ASSERT_TRUE (fleet.start ());
  Load load (fleet, callers, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  for (int number = 1; number <= 3; number++)
    {
      Process &host = *fleet.hosts[static_cast<size_t> (number - 1)];
      host.signal (SIGHUP);
      host.signal (SIGTERM);
      host.signal (SIGHUP);
      EXPECT_EQ (host.wait (), 0) << host.tail ();
      fleet.start_host (number);
      ASSERT_TRUE (fleet.wait_serving (number)) << fleet.logs ();
      ASSERT_TRUE (load.wait_for_requests (batch_requests));
    }
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet.logs ();
  EXPECT_EQ (load.lost (), "") << fleet.logs ();
}

/* Callers keep a host's address while it restarts.  Guards against one that
   listens before it knows its services and answers "not found". */
TEST (Leave, RestartingHostNeverAnswersNotFound)
{
  Fleet fleet;
  ASSERT_TRUE (fleet.start ());
  for (int restart = 0; restart < restarts; restart++)
    {
      Process &host = *fleet.hosts[0];
      host.signal (SIGKILL);
      host.wait ();
      fleet.start_host (1);
      HttpResponse response;
      while (response.status != 200)
        {
          response = http_get (fleet.caller_url (1, "/calendar/june"));
          ASSERT_NE (response.status, 404) << fleet.logs ();
        }
    }
}

/* A target that an operator drains must get no new requests from any host
   within seconds, and its requests in flight must complete. */
TEST (Leave, DrainedTargetGetsNoNewRequests)
{
  Fleet fleet;
  ASSERT_TRUE (fleet.start ());
  Load load (fleet, callers);
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  int code = -1;
  const std::string output
      = fleet.jaystair (1, { "drain", "target-2" }, &code);
  EXPECT_EQ (code, 0) << output;
  for (int number = 1; number <= 3; number++)
    ASSERT_TRUE (wait_until ([&] {
      const std::string rows = fleet.jaystair (
          number, { "--json", "show", "targets", "where", "target=target-2" });
      return rows.find ("drained") != std::string::npos;
    })) << fleet.logs ();
  const size_t runs = fleet.targets[1]->lines_with ("run ").size ();
  ASSERT_TRUE (load.wait_for_requests (batch_requests));
  /* Requests sent before the last host received the change have ended. */
  EXPECT_LE (fleet.targets[1]->lines_with ("run ").size (), runs + callers)
      << output;
  load.stop ();
  EXPECT_EQ (load.check (), "") << fleet.logs ();
  EXPECT_EQ (load.count_outcome (RequestOutcome::ran), load.count ())
      << load.summary ();
}

/* Two operators send commands at the same time, based on the same version. One
   must take effect; the other must be refused and report what changed. */
TEST (Leave, ConcurrentCommandIsRefused)
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
  const std::string output = fleet.jaystair (
      2, { "drain", "target-2", "at", "version", version }, &second);
  other.join ();
  EXPECT_EQ (first + second, 1) << first << " " << second << " " << output;
  EXPECT_TRUE (first == 0 || second == 0);
}

} // namespace
