/** Single faults under which a confirmed configuration must be in force in
 * time, over real processes. */
#include <gtest/gtest.h>

#include <algorithm>
#include <iostream>

#include "tests/soak/config_fleet.h"

namespace
{

constexpr int change_interval_ms = 700;
constexpr int calm_ms = 4000;
constexpr int fault_ms = 9000;
constexpr int long_fault_ms = 14000;
constexpr int after_ms = 8000;
constexpr size_t lines_shown = 12;

class ConfigFault : public testing::Test
{
protected:
  ConfigFleet fleet{ {} };
  std::vector<int> leading;
  int follower = 1;

  /* The configuration changes all the time. */
  void
  run_for (int duration_ms)
  {
    const int64_t end_ms = fleet.now_ms () + duration_ms;
    while (fleet.now_ms () < end_ms)
      {
        fleet.change ();
        const int64_t next_ms
            = std::min (end_ms, fleet.now_ms () + change_interval_ms);
        wait_until ([&] { return fleet.now_ms () >= next_ms; });
      }
  }

  /* FOLLOWER is a host that leaves reading to leading relays. */
  void
  begin ()
  {
    ASSERT_TRUE (fleet.start ()) << fleet.logs ();
    run_for (calm_ms);
    leading = fleet.leading_hosts ();
    ASSERT_FALSE (leading.empty ()) << fleet.logs ();
    while (std::count (leading.begin (), leading.end (), follower) > 0)
      follower++;
    ASSERT_LE (follower, fleet.hosts ());
  }

  void
  expect_current ()
  {
    const ConfigVerdict verdict = fleet.finish ();
    std::cout << verdict.checked << " requests checked, " << verdict.excused
              << " excused, " << verdict.wrong.size () << " wrong\n";
    EXPECT_GT (verdict.checked, 1000);
    std::string text;
    for (size_t i = 0; i < std::min (lines_shown, verdict.wrong.size ()); i++)
      text += verdict.wrong[i] + "\n";
    if (getenv ("CONFIG_LOGS") != nullptr)
      std::cout << fleet.logs ();
    EXPECT_EQ (verdict.wrong.size (), 0U) << text << fleet.network_gaps ();
  }
};

TEST_F (ConfigFault, NoFault)
{
  begin ();
  run_for (calm_ms);
  expect_current ();
}

/* Guards against hosts that reach only the platform and, after its outage,
   wait for a long back-off before they read it again. */
TEST_F (ConfigFault, HostsThatReachOnlyThePlatformReadItSoonAfterItsOutage)
{
  begin ();
  for (int host = 1; host <= fleet.hosts (); host++)
    fleet.silence_peers (host, true);
  fleet.fail_store (StoreFault::busy);
  run_for (fault_ms);
  fleet.fail_store (StoreFault::none);
  run_for (after_ms);
  expect_current ();
}

/* Guards against a host that, after its paths work again, waits for the
   back-off of each of them before it learns of a newer configuration. */
TEST_F (ConfigFault, HostThatWasCutOffCatchesUp)
{
  begin ();
  fleet.silence_peers (follower, true);
  fleet.refuse_platform (follower, true);
  run_for (long_fault_ms);
  fleet.refuse_platform (follower, false);
  fleet.silence_peers (follower, false);
  run_for (after_ms);
  expect_current ();
}

/* Guards against a host that believes itself up to date because it hears from
   others, while its requests for settings don't reach them. */
TEST_F (ConfigFault, HostThatOthersDoNotHearReadsForItself)
{
  begin ();
  fleet.silence_from (follower, true);
  run_for (fault_ms);
  fleet.silence_from (follower, false);
  run_for (after_ms);
  expect_current ();
}

/* Guards against a host that waits too long for others that it can't hear. */
TEST_F (ConfigFault, HostThatHearsNobodyReadsForItself)
{
  begin ();
  fleet.silence_to (follower, true);
  run_for (fault_ms);
  fleet.silence_to (follower, false);
  run_for (after_ms);
  expect_current ();
}

/* Guards against the same where no other host is reached either. */
TEST_F (ConfigFault, HostCutFromTheOthersReadsForItself)
{
  begin ();
  fleet.silence_peers (follower, true);
  run_for (fault_ms);
  fleet.silence_peers (follower, false);
  run_for (after_ms);
  expect_current ();
}

/* Guards against hosts that wait too long for relays that the platform doesn't
   answer. */
TEST_F (ConfigFault, HostsReadWhenThePlatformIsSilentToTheRelays)
{
  begin ();
  for (int host : leading)
    fleet.silence_platform (host, true);
  run_for (fault_ms);
  for (int host : leading)
    fleet.silence_platform (host, false);
  run_for (after_ms);
  expect_current ();
}

/* Guards against a relay that takes answers from before its pause for new
   ones. */
TEST_F (ConfigFault, RelayThatStoodStillHandlesNothingByOldSettings)
{
  begin ();
  for (int i = 0; i < 3; i++)
    {
      fleet.suspend (leading[0], false);
      run_for (4000);
      fleet.resume (leading[0]);
      run_for (2000);
    }
  expect_current ();
}

/* Guards against requests that are read before the settings that arrived
   while the process stood still.  Nobody outside may know of such a pause, so
   it excuses nothing. */
TEST_F (ConfigFault, HostThatStoodStillHandlesNothingByOldSettings)
{
  begin ();
  for (int i = 0; i < 3; i++)
    {
      fleet.suspend (follower, false);
      run_for (4000);
      fleet.resume (follower);
      run_for (2000);
    }
  expect_current ();
}

} // namespace
