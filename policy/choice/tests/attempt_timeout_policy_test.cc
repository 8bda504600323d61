/* When an attempt is left for another, for services whose answers take some
   time and scatter some way. */
#include <cmath>

#include <gtest/gtest.h>

extern "C"
{
#include "base/rng.h"
#include "policy/choice/attempt_timeout.h"
#include "policy/service_policy.h"
}

namespace
{
const int64_t second = 1000000;

latency_histogram
learned (double median_us, double spread)
{
  rng random;
  rng_seed (&random, 11);
  latency_histogram times;
  latency_histogram_init (&times);
  for (int i = 0; i < 3000; i++)
    {
      const double u = rng_unit (&random) + 1e-12;
      const double v = rng_unit (&random);
      const double normal
          = std::sqrt (-2 * std::log (u)) * std::cos (6.28318 * v);
      latency_histogram_add (
          &times, (int64_t)(median_us * std::exp (spread * normal)));
    }
  return times;
}

attempt_timeout_context
outlook (double left_s, double goal_s, double hangs)
{
  return { (int64_t)(left_s * second), (int64_t)(goal_s * second), hangs, 0.03,
           1 };
}

/* Pages whose work takes 0.55 s in the middle and seldom more than 1.2 s, of
   targets that hang in spells.  Ten times the usual is longer than the caller
   waits at all, so each of those that hang took all of its 2.5 s. */
TEST (AttemptTimeout, APageThatHangsLeavesTimeForAnother)
{
  const latency_histogram times = learned (550000, 0.3);
  const attempt_timeout_context pages = outlook (2.5, 2, 0.1);
  const int64_t at_us = attempt_timeout_us (&times, &pages);
  EXPECT_GE (at_us, 800000);
  EXPECT_LE (at_us, 1400000);
}

/* Where nothing hangs there is nothing to gain: who answers late is slow, and
   would be slow elsewhere. */
TEST (AttemptTimeout, WhatNeverHangsIsWaitedFor)
{
  const latency_histogram times = learned (550000, 0.3);
  const attempt_timeout_context pages = outlook (2.5, 2, 0);
  EXPECT_EQ (attempt_timeout_us (&times, &pages), ATTEMPT_NO_TIMEOUT);
}

/* A host has started, and twenty answers came at once.  Then a target hangs of
   which nobody believes it.  Twenty answers are too few to say that none takes
   longer; the page must all the same leave time for another attempt. */
TEST (AttemptTimeout, FewAnswersLeaveTimeForAnother)
{
  latency_histogram times;
  latency_histogram_init (&times);
  for (int i = 0; i < 20; i++)
    latency_histogram_add (&times, 2000);
  const attempt_timeout_context page = outlook (10, 10, 0.0075);
  EXPECT_EQ (attempt_timeout_us (&times, &page), 5 * (int64_t)second);
}

/* The more likely the target hangs, the sooner it is left. */
TEST (AttemptTimeout, ADoubtedTargetIsLeftSooner)
{
  const latency_histogram times = learned (550000, 0.3);
  int64_t before_us = INT64_MAX;
  for (const double hangs : { 0.05, 0.2, 0.5, 0.9 })
    {
      const attempt_timeout_context pages = outlook (2.5, 2, hangs);
      const int64_t at_us = attempt_timeout_us (&times, &pages);
      EXPECT_LE (at_us, before_us) << hangs;
      before_us = at_us;
    }
}

/* A few in a hundred honest answers are cut off at most, whatever the answers
   take and however they scatter. */
TEST (AttemptTimeout, HonestAnswersAreSeldomCutOff)
{
  for (const double median_s : { 0.01, 0.2, 0.55, 1.2 })
    for (const double spread : { 0.1, 0.3, 0.5 })
      {
        const latency_histogram times = learned (median_s * second, spread);
        const attempt_timeout_context some
            = outlook (median_s * 5, median_s * 4, 0.05);
        const int64_t at_us = attempt_timeout_us (&times, &some);
        if (at_us != ATTEMPT_NO_TIMEOUT)
          {
            EXPECT_LE (latency_histogram_survival (&times, at_us), 0.12)
                << median_s << " " << spread;
          }
      }
}

TEST (AttemptTimeout, WithoutTimeForAnotherItIsWaitedFor)
{
  const latency_histogram times = learned (550000, 0.3);
  const attempt_timeout_context late = outlook (0.6, 0.6, 0.2);
  const int64_t at_us = attempt_timeout_us (&times, &late);
  EXPECT_EQ (at_us, ATTEMPT_NO_TIMEOUT);
}

TEST (AttemptTimeout, EdgesAreWhatIsWrittenHere)
{
  latency_histogram unknown;
  latency_histogram_init (&unknown);
  attempt_timeout_context some = outlook (10, 10, 0.1);
  EXPECT_EQ (attempt_timeout_us (&unknown, &some), 5 * second);
  some.remaining_attempts = 0;
  EXPECT_EQ (attempt_timeout_us (&unknown, &some), ATTEMPT_NO_TIMEOUT);
  some = outlook (0, 0, 0.1);
  EXPECT_EQ (attempt_timeout_us (&unknown, &some), ATTEMPT_NO_TIMEOUT);
  some.remaining_us = -second;
  EXPECT_EQ (attempt_timeout_us (&unknown, &some), ATTEMPT_NO_TIMEOUT);
  some.remaining_us = 1;
  EXPECT_EQ (attempt_timeout_us (&unknown, &some), ATTEMPT_NO_TIMEOUT);
  some.remaining_us = INT64_MAX;
  some.goal_us = INT64_MAX;
  EXPECT_EQ (attempt_timeout_us (&unknown, &some), INT64_MAX / 2);
  const latency_histogram fast = learned (1000, 0.3);
  some = outlook (10, 10, 0.1);
  EXPECT_GE (attempt_timeout_us (&fast, &some), 250000);
  /* The goal is over already: the deadline alone counts. */
  const latency_histogram times = learned (550000, 0.3);
  some = outlook (5, -1, 0.3);
  const int64_t at_us = attempt_timeout_us (&times, &some);
  EXPECT_GE (at_us, 800000);
  EXPECT_LT (at_us, 5 * second);
}
} // namespace
