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

/* Compares the filter, step by step, with the exact probability summed over
   all paths of states of the Markov chain.  Rounds in which the probability
   reached its bounds are skipped; they differ by design. */
TEST (target_estimate, matches_the_probability_over_all_paths)
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
      std::vector<double> p_unchanged;
      std::vector<bool> failed;
      int64_t now = 0;
      bool was_bounded = false;
      for (int i = 0; i < count; i++)
        {
          const int64_t passed = (int64_t)rng_below (&rng, 2000000);
          now += passed;
          p_unchanged.push_back (
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
      double p_unhealthy = 0, total = 0;
      for (int path = 0; path < 1 << (count + 1); path++)
        {
          bool was_unhealthy = path & 1;
          double p = was_unhealthy ? share : 1 - share;
          for (int i = 0; i < count; i++)
            {
              const bool is_unhealthy = path >> (i + 1) & 1;
              const double share_of_state = is_unhealthy ? share : 1 - share;
              const double failure_rate = is_unhealthy
                                              ? ESTIMATE_UNHEALTHY_FAILURE_RATE
                                              : ESTIMATE_HEALTHY_FAILURE_RATE;
              p *= (1 - p_unchanged[i]) * share_of_state
                   + (is_unhealthy == was_unhealthy ? p_unchanged[i] : 0);
              p *= failed[i] ? failure_rate : 1 - failure_rate;
              was_unhealthy = is_unhealthy;
            }
          total += p;
          p_unhealthy += was_unhealthy ? p : 0;
        }
      ASSERT_NEAR (e.p_unhealthy, p_unhealthy / total, 1e-9)
          << "seed 3, round " << round;
      EXPECT_NEAR (e.failure_rate,
                   e.p_unhealthy * ESTIMATE_UNHEALTHY_FAILURE_RATE
                       + (1 - e.p_unhealthy) * ESTIMATE_HEALTHY_FAILURE_RATE,
                   1e-12);
    }
  EXPECT_GT (compared, 100);
}

/* A target is unhealthy for some seconds and fails most requests.  A mean
   over recent outcomes needs three or four failures to show that, and each
   is a lost request.  The first failure must be enough for a target that
   was healthy before. */
TEST (target_estimate, one_failure_raises_doubt_that_decays)
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

TEST (target_estimate, remote_outcomes_count_but_not_their_latency)
{
  struct target_estimate e;
  target_estimate_init (&e, 0, 0.1);
  target_estimate_observe_remote (&e, ATTEMPT_FAILED);
  EXPECT_GT (e.p_unhealthy, 0.7);
  EXPECT_EQ (e.latency_samples, 0u);
}

/* A broken target responds with 500 immediately and so looks like the
   fastest; a balancer that only uses latency would send it all requests. */
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

/* The first outcome of a target is a quick failure, which must not be taken
   as its latency. */
TEST (target_estimate, failure_before_any_response_gives_no_latency)
{
  struct target_estimate e;
  target_estimate_init (&e, 0, 0);
  target_estimate_observe (&e, ATTEMPT_FAILED, 100);
  EXPECT_EQ (e.latency_samples, 0u);
  target_estimate_observe (&e, ATTEMPT_ANSWERED, 10000);
  EXPECT_EQ (e.latency_us, 10000);
}

TEST (target_estimate, cancelled_attempts_are_ignored)
{
  struct target_estimate e;
  target_estimate_init (&e, 0, 0);
  target_estimate_observe (&e, ATTEMPT_CANCELLED, 900000);
  EXPECT_EQ (e.samples, 0u);
  EXPECT_EQ (e.latency_samples, 0u);
  EXPECT_LT (e.failure_rate, 0.03);
}

TEST (target_estimate, decays_to_its_peers_without_traffic)
{
  struct target_estimate e;
  target_estimate_init (&e, 0, 0);
  target_estimate_observe (&e, ATTEMPT_TIMED_OUT, 100000);
  target_estimate_advance (&e, ESTIMATE_HALF_LIFE_US, 20000, 0.2);
  EXPECT_NEAR (e.latency_us, 60000, 1);
}

}
