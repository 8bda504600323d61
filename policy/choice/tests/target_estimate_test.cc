#include <gtest/gtest.h>

#include <cmath>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/choice/target_estimate.h"
}

namespace
{

/* Each failure's weight written out: 1/8, times 7/8 for each later outcome,
 * times what time left of it. */
TEST (target_estimate, failure_is_the_weighted_sum_of_the_history)
{
  struct rng rng;
  rng_seed (&rng, 3);
  struct target_estimate e;
  target_estimate_init (&e, 0);
  std::vector<std::pair<int64_t, bool>> history;
  int64_t now = 0;
  for (int i = 0; i < 300; i++)
    {
      now += (int64_t)rng_below (&rng, 300000);
      const bool failed = rng_below (&rng, 3) == 0;
      target_estimate_advance (&e, now, 0);
      target_estimate_observe (&e, failed ? ATTEMPT_CUT : ATTEMPT_ANSWERED,
                               1000);
      history.emplace_back (now, failed);
      double sum = 0;
      for (size_t j = 0; j < history.size (); j++)
        if (history[j].second)
          sum += std::pow (7.0 / 8, history.size () - 1 - j) / 8
                 * std::exp2 (-(double)(now - history[j].first) / 10e6);
      ASSERT_NEAR (e.failure, sum, 1e-9) << "seed 3, outcome " << i;
    }
}

/* A broken target answers 500 in no time and so looks like the fastest of
 * all; a balancer that goes by latency sends it everything. */
TEST (target_estimate, a_quick_failure_does_not_look_fast)
{
  struct target_estimate e;
  target_estimate_init (&e, 0);
  target_estimate_observe (&e, ATTEMPT_ANSWERED, 10000);
  for (int i = 0; i < 50; i++)
    target_estimate_observe (&e, ATTEMPT_FAILED, 100);
  EXPECT_EQ (e.latency_us, 10000);
  target_estimate_observe (&e, ATTEMPT_TIMED_OUT, 500000);
  EXPECT_GT (e.latency_us, 10000);
}

TEST (target_estimate, a_caller_that_leaves_says_nothing)
{
  struct target_estimate e;
  target_estimate_init (&e, 0);
  target_estimate_observe (&e, ATTEMPT_CANCELLED, 900000);
  EXPECT_EQ (e.samples, 0u);
  EXPECT_EQ (e.latency_samples, 0u);
  EXPECT_EQ (e.failure, 0);
}

TEST (target_estimate, drifts_to_its_peers_without_traffic)
{
  struct target_estimate e;
  target_estimate_init (&e, 0);
  target_estimate_observe (&e, ATTEMPT_TIMED_OUT, 100000);
  target_estimate_advance (&e, ESTIMATE_HALF_LIFE_US, 20000);
  EXPECT_NEAR (e.latency_us, 60000, 1);
  EXPECT_NEAR (e.failure, 1.0 / 16, 1e-9);
}

}
