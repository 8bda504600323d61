/** Faults at random over a whole fleet, and the promises that must hold. */
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
constexpr int steps = 24;
/* A step ends when so many requests have ended, or, while all callers wait for
   hosts that hang, after its limit. */
constexpr size_t step_requests = 400;
constexpr int step_limit_s = 1;
constexpr size_t some = 100;
constexpr double window_s = 10; /* of the hosts' settings, as below */
constexpr double retry_share = 0.1;
constexpr double retry_reserve = 10;

/** One run: the load, what watches it, and the plan that is carried out. */
class Soak
{
public:
  explicit Soak (uint64_t seed)
      : plan_ (soak_plan (seed, steps, hosts, targets)),
        world_ (hosts, targets, dcs)
  {
  }

  void
  run ()
  {
    ASSERT_TRUE (world_.start ());
    const auto begun = std::chrono::steady_clock::now ();
    Load load (world_.fleet (), callers);
    VersionMonitor watch (world_);
    ASSERT_TRUE (load.wait_for_requests (some));
    for (int now = 0; now <= steps; now++)
      carry_out (load, now);
    ASSERT_TRUE (world_.wait_recovered ()) << about ();
    expect_recovered (load);
    expect_drained (load, watch);
    EXPECT_EQ (watch.stop (), "") << about ();
    load.stop ();
    EXPECT_EQ (load.check (), "") << about ();
    const std::chrono::duration<double> took
        = std::chrono::steady_clock::now () - begun;
    expect_few_repeats (load, took.count ());
    std::cout << load.summary () << "\n";
  }

private:
  std::string
  about ()
  {
    return soak_plan_text (plan_) + world_.fleet ().logs ();
  }

  void
  carry_out (Load &load, int now)
  {
    for (const SoakEvent &event : plan_)
      if (event.to == now)
        world_.end (event);
    for (const SoakEvent &event : plan_)
      if (event.from == now)
        world_.begin (event);
    const size_t goal = load.count () + step_requests;
    wait_until ([&] { return load.count () >= goal; }, step_limit_s);
  }

  /* Once all is healed, a good part of requests is served again. */
  void
  expect_recovered (Load &load)
  {
    EXPECT_TRUE (wait_until ([&] {
      const size_t before = load.count_outcome (RequestOutcome::ran);
      const size_t all = load.count ();
      if (!load.wait_for_requests (some))
        return false;
      return 4 * (load.count_outcome (RequestOutcome::ran) - before)
             >= load.count () - all;
    })) << load.summary ()
        << about ();
  }

  /* A target that is drained on all hosts gets nothing more. */
  void
  expect_drained (Load &load, VersionMonitor &watch)
  {
    int code = -1;
    EXPECT_TRUE (wait_until ([&] {
      world_.fleet ().jaystair (1, { "drain", "target-1" }, &code);
      return code == 0;
    })) << about ();
    const long version = atol (
        json_at (
            http_get (world_.fleet ().platform_url ("/objects/service/holds"))
                .body,
            "version")
            .c_str ());
    for (int number = 1; number <= hosts; number++)
      EXPECT_TRUE (wait_until ([&] {
        return watch.version (number) >= version;
      })) << "host-"
          << number << "\n"
          << about ();
    /* What had been sent before is finished. */
    ASSERT_TRUE (load.wait_for_requests (some));
    Process &target = *world_.fleet ().targets[0];
    const size_t runs = target.lines_with ("run ").size ();
    ASSERT_TRUE (load.wait_for_requests (some));
    EXPECT_EQ (target.lines_with ("run ").size (), runs) << about ();
  }

  /* The fleet's own repeats stay within their share, over all hosts. */
  void
  expect_few_repeats (Load &load, double took_s)
  {
    const double windows = std::ceil (took_s / window_s) + 1;
    const double most = retry_share * static_cast<double> (load.count ())
                        + retry_reserve * windows;
    EXPECT_LE (static_cast<double> (load.repeated_runs ()), most) << about ();
  }

  std::vector<SoakEvent> plan_;
  SoakFleet world_;
};

class SoakSeeds : public testing::TestWithParam<uint64_t>
{
};

TEST_P (SoakSeeds, PromisesHold)
{
  Soak soak (GetParam ());
  soak.run ();
}

/* Three seeds in each check. */
INSTANTIATE_TEST_SUITE_P (Check, SoakSeeds, testing::Values (1, 2, 3));

/* Seeds that failed once.  117: settings of host-3 change while it starts
   again, and the signal ended it before it listened to it. */
INSTANTIATE_TEST_SUITE_P (Failed, SoakSeeds, testing::Values (117));

/* `JAYSTAIR_SOAK=FROM:COUNT` plays other seeds, by hand. */
TEST (SoakByHand, SeedsOfTheEnvironment)
{
  const char *wanted = getenv ("JAYSTAIR_SOAK");
  if (wanted == nullptr)
    GTEST_SKIP () << "set JAYSTAIR_SOAK=FROM:COUNT to play seeds";
  char *rest = nullptr;
  const uint64_t from = strtoull (wanted, &rest, 10);
  const uint64_t count = *rest == ':' ? strtoull (rest + 1, nullptr, 10) : 1;
  for (uint64_t seed = from; seed < from + count; seed++)
    {
      SCOPED_TRACE ("seed " + std::to_string (seed));
      const bool failed_before = HasFailure ();
      Soak soak (seed);
      soak.run ();
      std::cout << "seed " << seed
                << (HasFailure () && !failed_before ? " FAILED" : " done")
                << std::endl;
    }
}

} // namespace
