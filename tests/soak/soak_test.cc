/** Random faults in a fleet, and the guarantees that must hold throughout. */
#include <gtest/gtest.h>

#include <chrono>
#include <cmath>
#include <cstdlib>
#include <iostream>

#include "tests/harness/caller.h"
#include "tests/soak/soak_plan.h"
#include "tests/soak/version_monitor.h"
#include "tests/soak/soak_fleet.h"

namespace
{

constexpr int hosts = 4;
constexpr int targets = 4;
constexpr int dcs = 2;
constexpr int callers = 6;
constexpr int kept_callers = 8;
constexpr int steps = 24;
/* A step ends after this number of requests, or after its timeout if all
   callers wait for hosts that hang. */
constexpr size_t step_requests = 400;
constexpr int step_timeout_s = 1;
constexpr size_t batch_requests = 100;
/* The retry budget of the hosts' settings, see SoakFleet. */
constexpr double window_s = 10;
constexpr double retry_share = 0.1;
constexpr double retry_reserve = 10;

/** One run: executes a plan of faults under load and checks the guarantees. */
class Soak
{
public:
  explicit Soak (uint64_t seed)
      : plan_ (soak_plan (seed, steps, hosts, targets)),
        fleet_ (hosts, targets, dcs)
  {
  }

  /** Besides, let callers use their open connections until the process is
   * gone, while signals, restarts and changes come in series. */
  void
  add_series (uint64_t seed)
  {
    soak_add_series (plan_, seed, steps, hosts);
    kept_callers_ = kept_callers;
  }

  /** Besides, cut hosts from all targets. */
  void
  add_cuts (uint64_t seed)
  {
    soak_add_cuts (plan_, seed, steps, hosts);
  }

  void
  run ()
  {
    ASSERT_TRUE (fleet_.start ());
    const auto start = std::chrono::steady_clock::now ();
    Load load (fleet_.fleet (), callers, kept_callers_);
    VersionMonitor monitor (fleet_);
    ASSERT_TRUE (load.wait_for_requests (batch_requests));
    for (int now = 0; now <= steps; now++)
      run_step (load, now);
    ASSERT_TRUE (fleet_.wait_recovered ()) << describe ();
    expect_recovered (load);
    expect_drained (load, monitor);
    EXPECT_EQ (monitor.stop (), "") << describe ();
    load.stop ();
    EXPECT_EQ (load.check (), "") << describe ();
    const std::chrono::duration<double> elapsed
        = std::chrono::steady_clock::now () - start;
    expect_retries_within_budget (load, elapsed.count ());
    std::cout << load.summary () << "\n";
  }

private:
  std::string
  describe ()
  {
    return soak_plan_text (plan_) + fleet_.fleet ().logs ();
  }

  void
  run_step (Load &load, int now)
  {
    for (const SoakEvent &event : plan_)
      if (event.to == now)
        fleet_.end (event);
    for (const SoakEvent &event : plan_)
      if (event.from == now)
        fleet_.begin (event);
    const size_t goal = load.count () + step_requests;
    wait_until ([&] { return load.count () >= goal; }, step_timeout_s);
  }

  /* After all faults have ended, at least a quarter of the requests is served
     again. */
  void
  expect_recovered (Load &load)
  {
    EXPECT_TRUE (wait_until ([&] {
      const size_t ran_before = load.count_outcome (RequestOutcome::ran);
      const size_t count_before = load.count ();
      if (!load.wait_for_requests (batch_requests))
        return false;
      return 4 * (load.count_outcome (RequestOutcome::ran) - ran_before)
             >= load.count () - count_before;
    })) << load.summary ()
        << describe ();
  }

  /* A target that is drained on all hosts gets no more requests. */
  void
  expect_drained (Load &load, VersionMonitor &monitor)
  {
    int code = -1;
    EXPECT_TRUE (wait_until ([&] {
      fleet_.fleet ().jaystair (1, { "drain", "target-1" }, &code);
      return code == 0;
    })) << describe ();
    const long version = atol (
        json_at (
            http_get (fleet_.fleet ().platform_url ("/objects/service/holds"))
                .body,
            "version")
            .c_str ());
    for (int number = 1; number <= hosts; number++)
      EXPECT_TRUE (wait_until ([&] {
        return monitor.version (number) >= version;
      })) << "host-"
          << number << "\n"
          << describe ();
    /* Requests sent before the drain have ended. */
    ASSERT_TRUE (load.wait_for_requests (batch_requests));
    Process &target = *fleet_.fleet ().targets[0];
    fleet_.fleet ().read_target_lines ();
    const size_t runs = target.lines_with ("run ").size ();
    ASSERT_TRUE (load.wait_for_requests (batch_requests));
    fleet_.fleet ().read_target_lines ();
    EXPECT_EQ (target.lines_with ("run ").size (), runs) << describe ();
  }

  /* The retries of all hosts together stay within the retry budget. */
  void
  expect_retries_within_budget (Load &load, double elapsed_s)
  {
    const double windows = std::ceil (elapsed_s / window_s) + 1;
    const double max_retries
        = retry_share * static_cast<double> (load.count ())
          + retry_reserve * windows;
    EXPECT_LE (static_cast<double> (load.repeated_runs ()), max_retries)
        << describe ();
  }

  std::vector<SoakEvent> plan_;
  SoakFleet fleet_;
  int kept_callers_ = 0;
};

class SoakSeeds : public testing::TestWithParam<uint64_t>
{
};

TEST_P (SoakSeeds, GuaranteesHold)
{
  Soak soak (GetParam ());
  soak.run ();
}

/* Three fixed seeds in each CI run. */
INSTANTIATE_TEST_SUITE_P (Check, SoakSeeds, testing::Values (1, 2, 3));

/* Seeds that failed before.  117: SIGHUP reached host-3 during a restart and
   ended it before its signal handler was installed. */
INSTANTIATE_TEST_SUITE_P (Failed, SoakSeeds, testing::Values (117));

class SoakSeries : public testing::TestWithParam<uint64_t>
{
};

TEST_P (SoakSeries, GuaranteesHoldOnKeptConnections)
{
  Soak soak (GetParam ());
  soak.add_series (GetParam ());
  soak.run ();
}

INSTANTIATE_TEST_SUITE_P (Check, SoakSeries, testing::Values (1));

class SoakCuts : public testing::TestWithParam<uint64_t>
{
};

TEST_P (SoakCuts, GuaranteesHoldWhileHostsAreCutFromTargets)
{
  Soak soak (GetParam ());
  soak.add_series (GetParam ());
  soak.add_cuts (GetParam ());
  soak.run ();
}

INSTANTIATE_TEST_SUITE_P (Check, SoakCuts, testing::Values (1));

/* Runs COUNT seeds from FROM as VARIABLE in the environment has FROM:COUNT. */
void
run_seeds (const char *variable, bool has_series, bool has_cuts = false)
{
  const char *seeds = getenv (variable);
  if (seeds == nullptr)
    GTEST_SKIP () << "set " << variable << "=FROM:COUNT to run other seeds";
  char *rest = nullptr;
  const uint64_t from = strtoull (seeds, &rest, 10);
  const uint64_t count = *rest == ':' ? strtoull (rest + 1, nullptr, 10) : 1;
  for (uint64_t seed = from; seed < from + count; seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      const bool failed_before = testing::Test::HasFailure ();
      Soak soak (seed);
      if (has_series)
        soak.add_series (seed);
      if (has_cuts)
        soak.add_cuts (seed);
      soak.run ();
      std::cout << "seed " << seed
                << (testing::Test::HasFailure () && !failed_before ? " FAILED"
                                                                   : " done")
                << std::endl;
    }
}

TEST (SoakManual, SeedsFromEnvironment)
{
  run_seeds ("JAYSTAIR_SOAK", false);
}

TEST (SoakManual, SeriesFromEnvironment)
{
  run_seeds ("JAYSTAIR_SOAK_SERIES", true);
}

TEST (SoakManual, CutsFromEnvironment)
{
  run_seeds ("JAYSTAIR_SOAK_CUTS", true, true);
}

} // namespace
