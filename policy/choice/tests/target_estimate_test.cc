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

/* The filter step by step against the chain's probability over all paths of
 * states, summed without any shortcut.  Rounds in which the bounds on what is
 * believed have cut in are left out: they differ by design. */
TEST (target_estimate, ill_is_the_probability_over_all_paths)
{
  struct rng rng;
  rng_seed (&rng, 3);
  int compared = 0;
  for (int round = 0; round < 400; round++)
    {
      const double share = 0.05 + 0.3 * rng_unit (&rng);
      struct target_estimate e;
      target_estimate_init (&e, 0, share);
      const int count = 1 + (int)rng_below (&rng, 9);
      std::vector<double> stays;
      std::vector<bool> failed;
      int64_t now = 0;
      bool was_bounded = false;
      for (int i = 0; i < count; i++)
        {
          const int64_t passed = (int64_t)rng_below (&rng, 2000000);
          now += passed;
          stays.push_back (
              std::exp (-(double)passed / ESTIMATE_STATE_DECAY_US));
          failed.push_back (rng_below (&rng, 3) == 0);
          target_estimate_advance (&e, now, 0, share);
          target_estimate_observe (
              &e, failed.back () ? ATTEMPT_CUT : ATTEMPT_ANSWERED, 1000);
          was_bounded
              = was_bounded || e.p_unhealthy <= 0.02 || e.p_unhealthy >= 0.999;
        }
      if (was_bounded)
        continue;
      compared++;
      double ill = 0, all = 0;
      for (int path = 0; path < 1 << (count + 1); path++)
        {
          bool was = path & 1;
          double p = was ? share : 1 - share;
          for (int i = 0; i < count; i++)
            {
              const bool is = path >> (i + 1) & 1;
              const double anew = is ? share : 1 - share;
              const double fails = is ? ESTIMATE_UNHEALTHY_FAILURE_RATE
                                      : ESTIMATE_HEALTHY_FAILURE_RATE;
              p *= (1 - stays[i]) * anew + (is == was ? stays[i] : 0);
              p *= failed[i] ? fails : 1 - fails;
              was = is;
            }
          all += p;
          ill += was ? p : 0;
        }
      ASSERT_NEAR (e.p_unhealthy, ill / all, 1e-9)
          << "seed 3, round " << round;
      EXPECT_NEAR (e.failure_rate,
                   e.p_unhealthy * ESTIMATE_UNHEALTHY_FAILURE_RATE
                       + (1 - e.p_unhealthy) * ESTIMATE_HEALTHY_FAILURE_RATE,
                   1e-12);
    }
  EXPECT_GT (compared, 100);
}

/* A target is ill for some seconds and fails most of what it gets.  A mean
 * over the last outcomes needs three or four failures to say so, each a hold
 * that is lost; to one that was good a moment ago the first is enough. */
TEST (target_estimate, one_failure_is_doubt_enough_and_time_heals)
{
  struct target_estimate e;
  target_estimate_init (&e, 0, 0.2);
  target_estimate_observe (&e, ATTEMPT_ANSWERED, 1000);
  EXPECT_LT (e.p_unhealthy, 0.1);
  target_estimate_advance (&e, 500000, 0, 0.2);
  target_estimate_observe (&e, ATTEMPT_FAILED, 1000);
  EXPECT_GT (e.p_unhealthy, 0.7);
  target_estimate_advance (&e, 500000 + 3 * ESTIMATE_STATE_DECAY_US, 0, 0.2);
  EXPECT_LT (e.p_unhealthy, 0.25);
}

TEST (target_estimate, what_others_saw_counts_but_their_latency_does_not)
{
  struct target_estimate e;
  target_estimate_init (&e, 0, 0.1);
  target_estimate_observe_remote (&e, ATTEMPT_FAILED);
  EXPECT_GT (e.p_unhealthy, 0.7);
  EXPECT_EQ (e.latency_samples, 0u);
}

/* A broken target answers 500 in no time and so looks like the fastest of
 * all; a balancer that goes by latency sends it everything. */
TEST (target_estimate, a_quick_failure_does_not_look_fast)
{
  struct target_estimate e;
  target_estimate_init (&e, 0, 0);
  target_estimate_observe (&e, ATTEMPT_ANSWERED, 10000);
  for (int i = 0; i < 50; i++)
    target_estimate_observe (&e, ATTEMPT_FAILED, 100);
  EXPECT_EQ (e.latency_us, 10000);
  target_estimate_observe (&e, ATTEMPT_TIMED_OUT, 500000);
  EXPECT_GT (e.latency_us, 10000);
}

/* Guards against a target whose first outcome is a quick failure: its latency
 * was taken from it. */
TEST (target_estimate, a_failure_before_any_answer_says_nothing_of_latency)
{
  struct target_estimate e;
  target_estimate_init (&e, 0, 0);
  target_estimate_observe (&e, ATTEMPT_FAILED, 100);
  EXPECT_EQ (e.latency_samples, 0u);
  target_estimate_observe (&e, ATTEMPT_ANSWERED, 10000);
  EXPECT_EQ (e.latency_us, 10000);
}

TEST (target_estimate, a_caller_that_leaves_says_nothing)
{
  struct target_estimate e;
  target_estimate_init (&e, 0, 0);
  target_estimate_observe (&e, ATTEMPT_CANCELLED, 900000);
  EXPECT_EQ (e.samples, 0u);
  EXPECT_EQ (e.latency_samples, 0u);
  EXPECT_LT (e.failure_rate, 0.03);
}

TEST (target_estimate, drifts_to_its_peers_without_traffic)
{
  struct target_estimate e;
  target_estimate_init (&e, 0, 0);
  target_estimate_observe (&e, ATTEMPT_TIMED_OUT, 100000);
  target_estimate_advance (&e, ESTIMATE_HALF_LIFE_US, 20000, 0.2);
  EXPECT_NEAR (e.latency_us, 60000, 1);
}

}
