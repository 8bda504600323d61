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
estimate (double latency_us, double ill)
{
  return { latency_us, ill, ill, 0, 100, 100 };
}

TEST (target_standing, median_is_that_of_a_sorted_copy)
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

TEST (target_standing, failing_is_more_likely_ill_than_not)
{
  const target_estimate well = estimate (10000, 0.3);
  const target_estimate ill = estimate (10000, 0.6);
  EXPECT_FALSE (target_outlier_is_failing (well.p_unhealthy, false, false));
  EXPECT_TRUE (target_outlier_is_failing (ill.p_unhealthy, false, false));
}

TEST (target_standing, stays_until_clearly_better_and_enters_sooner_on_wish)
{
  const target_estimate e = estimate (10000, 0.45);
  EXPECT_FALSE (target_outlier_is_failing (e.p_unhealthy, false, false));
  EXPECT_TRUE (target_outlier_is_failing (e.p_unhealthy, true, false));
  EXPECT_TRUE (target_outlier_is_failing (e.p_unhealthy, false, true));
}

/* Half of all targets fail for a minute.  If the share that is expected to be
 * ill stayed at what a quiet day shows, each success would count for a cure
 * and requests would run into the next failure. */
TEST (target_standing, the_share_of_ill_targets_is_learned_within_bounds)
{
  double ill = 0.05;
  for (int i = 0; i < 100; i++)
    ill = target_outlier_learn_unhealthy_share (ill, 0.3, 250000);
  EXPECT_NEAR (ill, 0.3, 0.03);
  for (int i = 0; i < 1000; i++)
    ill = target_outlier_learn_unhealthy_share (ill, 1, 250000);
  EXPECT_LT (ill, 0.5);
  for (int i = 0; i < 1000; i++)
    ill = target_outlier_learn_unhealthy_share (ill, 0, 250000);
  EXPECT_GT (ill, 0);
}

/* Targets in another dc answer later by the way there and back.  Taken for
 * slow, a whole dc would lose its work. */
TEST (target_standing, the_way_to_another_dc_is_not_slowness)
{
  const peer_baseline near_ones = { 1000, 0.0 };
  const target_estimate far_one = estimate (31000, 0);
  EXPECT_TRUE (target_outlier_is_slow (&far_one, &near_ones, false, 0));
  EXPECT_FALSE (target_outlier_is_slow (&far_one, &near_ones, false, 15000));
}

TEST (target_standing, few_answers_do_not_make_a_target_slow)
{
  const peer_baseline peers = { 1000, 0.0 };
  target_estimate e = estimate (50000, 0);
  e.latency_samples = 3;
  EXPECT_FALSE (target_outlier_is_slow (&e, &peers, false, 0));
}

}
