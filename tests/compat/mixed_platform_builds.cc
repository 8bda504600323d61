/** @file
 * Hosts of this build beside hosts of another build on the platform, whose
 * configuration and targets change.
 *
 *     mixed_platform_builds OTHER_JAYSTAIRD [GoogleTest options]
 */
#include <gtest/gtest.h>

#include <chrono>
#include <csignal>
#include <iostream>

#include "platform/tests/platform_fleet.h"

namespace
{

constexpr int host_count = 6, changes = 8;
/** The users' bounds `ConfigApply` and `Drain`, in seconds. */
constexpr int apply_s = 2, drain_s = 2;
std::string other_program;

class MixedPlatformBuilds : public testing::Test, protected PlatformFleet
{
protected:
  void
  start (const std::vector<int> &others)
  {
    for (const int host : others)
      programs[host] = other_program;
    add_server ("reads", "i-0");
    add_server ("holds", "i-1");
    configure (1);
    for (int host = 1; host <= host_count; host++)
      start_host (host);
    for (int host = 1; host <= host_count; host++)
      ASSERT_TRUE (wait_ready (host));
    pass (3000);
  }

  static void
  pass (int ms)
  {
    const auto end
        = std::chrono::steady_clock::now () + std::chrono::milliseconds (ms);
    wait_until ([&] { return std::chrono::steady_clock::now () >= end; });
  }

  bool
  all_serve (const std::string &id)
  {
    for (int host = 1; host <= host_count; host++)
      if (send_request (host, "/read/x").header ("x-response-signature")
          != "signed-by-" + id)
        return false;
    return true;
  }

  void
  expect_changes_in_time ()
  {
    for (int i = 2; i < 2 + changes; i++)
      {
        configure (i, i % 2 == 0 ? "holds" : "reads");
        EXPECT_TRUE (wait_until (
            [&] { return all_serve (i % 2 == 0 ? "i-1" : "i-0"); }, apply_s))
            << "version " << i;
        pass (500);
      }
  }

  void
  expect_leaving_in_time ()
  {
    register_server (*servers[0], "reads", "draining");
    pass (drain_s * 1000);
    const auto from = std::chrono::steady_clock::now ();
    for (int i = 0; i < 20; i++)
      all_serve ("i-0");
    EXPECT_EQ (servers[0]->arrivals_after (from), 0);
  }
};

TEST_F (MixedPlatformBuilds, OneOfTheOther)
{
  start ({ 3 });
  expect_changes_in_time ();
  expect_leaving_in_time ();
}

TEST_F (MixedPlatformBuilds, HalfOfTheOther)
{
  start ({ 1, 3, 5 });
  expect_changes_in_time ();
  expect_leaving_in_time ();
}

TEST_F (MixedPlatformBuilds, OneOfThis)
{
  start ({ 1, 2, 3, 4, 5 });
  expect_changes_in_time ();
  expect_leaving_in_time ();
}

TEST_F (MixedPlatformBuilds, ThisAfterTheOther)
{
  start ({ 1, 2, 3, 4, 5, 6 });
  for (int host = 1; host <= host_count; host++)
    {
      programs.erase (host);
      hosts[static_cast<size_t> (host) - 1]->signal (SIGTERM);
      hosts[static_cast<size_t> (host) - 1]->wait ();
      start_host (host);
      ASSERT_TRUE (wait_ready (host));
      configure (host + 1, host % 2 == 0 ? "reads" : "holds");
      EXPECT_TRUE (wait_until (
          [&] { return all_serve (host % 2 == 0 ? "i-0" : "i-1"); }, apply_s))
          << "host " << host;
    }
  expect_leaving_in_time ();
}

} // namespace

int
main (int argc, char **argv)
{
  testing::InitGoogleTest (&argc, argv);
  if (argc != 2)
    {
      std::cerr << "usage: mixed_platform_builds OTHER_JAYSTAIRD [options]\n";
      return 2;
    }
  other_program = argv[1];
  return RUN_ALL_TESTS ();
}
