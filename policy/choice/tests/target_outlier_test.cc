#include <gtest/gtest.h>

#include <algorithm>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/choice/target_outlier.h"
}

namespace
{

target_estimate
estimate (double latency_us, double p_unhealthy)
{
  return { latency_us, p_unhealthy, p_unhealthy, 0, 100, 100 };
}

TEST (target_outlier, median_matches_a_sorted_copy)
{
  struct rng rng;
  rng_seed (&rng, 5);
  for (int i = 0; i < 2000; i++)
    {
      std::vector<double> values (1 + rng_below (&rng, 40));
      for (double &v : values)
        v = (double)rng_below (&rng, 10);
      std::vector<double> sorted = values;
      std::sort (sorted.begin (), sorted.end ());
      ASSERT_EQ (
          target_outlier_median (values.data (), (uint32_t)values.size ()),
          sorted[(sorted.size () - 1) / 2])
          << "seed 5, round " << i;
    }
  EXPECT_EQ (target_outlier_median (nullptr, 0), 0);
}

TEST (target_outlier, failing_is_more_likely_unhealthy_than_not)
{
  const target_estimate healthy = estimate (10000, 0.3);
  const target_estimate unhealthy = estimate (10000, 0.6);
  EXPECT_FALSE (target_outlier_is_failing (healthy.p_unhealthy, false, false));
  EXPECT_TRUE (
      target_outlier_is_failing (unhealthy.p_unhealthy, false, false));
}

TEST (target_outlier, failing_has_hysteresis_and_a_faster_threshold)
{
  const target_estimate e = estimate (10000, 0.45);
  EXPECT_FALSE (target_outlier_is_failing (e.p_unhealthy, false, false));
  EXPECT_TRUE (target_outlier_is_failing (e.p_unhealthy, true, false));
  EXPECT_TRUE (target_outlier_is_failing (e.p_unhealthy, false, true));
}

/* Half of all targets fail for a minute.  If the expected share of
   unhealthy targets stayed at its usual value, each success would count as
   a recovery and the next requests would fail. */
TEST (target_outlier, unhealthy_share_is_learned_within_bounds)
{
  double share = 0.05;
  for (int i = 0; i < 100; i++)
    share = target_outlier_learn_unhealthy_share (share, 0.3, 250000);
  EXPECT_NEAR (share, 0.3, 0.03);
  for (int i = 0; i < 1000; i++)
    share = target_outlier_learn_unhealthy_share (share, 1, 250000);
  EXPECT_LT (share, 0.5);
  for (int i = 0; i < 1000; i++)
    share = target_outlier_learn_unhealthy_share (share, 0, 250000);
  EXPECT_GT (share, 0);
}

/* Responses from another dc take longer by the round trip.  If that counted
   as slow, a whole dc would get no work. */
TEST (target_outlier, distance_to_another_dc_is_not_slowness)
{
  const peer_baseline near = { 1000, 0.0 };
  const target_estimate far = estimate (31000, 0);
  EXPECT_TRUE (target_outlier_is_slow (&far, &near, false, 0));
  EXPECT_FALSE (target_outlier_is_slow (&far, &near, false, 15000));
}

TEST (target_outlier, few_responses_do_not_make_a_target_slow)
{
  const peer_baseline peers = { 1000, 0.0 };
  target_estimate e = estimate (50000, 0);
  e.latency_samples = 3;
  EXPECT_FALSE (target_outlier_is_slow (&e, &peers, false, 0));
}

}
