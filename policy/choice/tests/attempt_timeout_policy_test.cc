/* Attempt timeouts for services with various distributions of response
   times. */
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
log_normal_latencies (double median_us, double spread)
{
  rng random;
  rng_seed (&random, 11);
  latency_histogram latencies;
  latency_histogram_init (&latencies);
  for (int i = 0; i < 3000; i++)
    {
      const double u = rng_unit (&random) + 1e-12;
      const double v = rng_unit (&random);
      const double normal
          = std::sqrt (-2 * std::log (u)) * std::cos (6.28318 * v);
      latency_histogram_add (
          &latencies, (int64_t)(median_us * std::exp (spread * normal)));
    }
  return latencies;
}

attempt_timeout_context
make_context (double left_s, double goal_s, double hangs)
{
  return { (int64_t)(left_s * second), (int64_t)(goal_s * second), hangs, 0.03,
           1 };
}

/* Responses take 0.55 s (median) and rarely more than 1.2 s, from targets
   that hang in episodes.  A timeout of ten times the usual time exceeds the
   2.5 s that the caller waits, so each hanging request would take all of
   that time. */
TEST (AttemptTimeout, HangingRequestLeavesTimeForAnotherAttempt)
{
  const latency_histogram latencies = log_normal_latencies (550000, 0.3);
  const attempt_timeout_context context = make_context (2.5, 2, 0.1);
  const int64_t timeout_us = attempt_timeout_us (&latencies, &context);
  EXPECT_GE (timeout_us, 800000);
  EXPECT_LE (timeout_us, 1400000);
}

/* If nothing hangs, abandoning an attempt has no benefit: a late response
   means that the target is slow, and another one would be slow too. */
TEST (AttemptTimeout, NoTimeoutWhereNothingHangs)
{
  const latency_histogram latencies = log_normal_latencies (550000, 0.3);
  const attempt_timeout_context context = make_context (2.5, 2, 0);
  EXPECT_EQ (attempt_timeout_us (&latencies, &context), ATTEMPT_NO_TIMEOUT);
}

/* A host has started and received twenty quick responses.  Then a target
   hangs that is considered healthy.  Twenty responses are too few to rule
   out slower ones, but the request must still leave time for another
   attempt. */
TEST (AttemptTimeout, FewResponsesLeaveTimeForAnotherAttempt)
{
  latency_histogram latencies;
  latency_histogram_init (&latencies);
  for (int i = 0; i < 20; i++)
    latency_histogram_add (&latencies, 2000);
  const attempt_timeout_context context = make_context (10, 10, 0.0075);
  EXPECT_EQ (attempt_timeout_us (&latencies, &context), 5 * (int64_t)second);
}

/* The more likely a target hangs, the shorter its timeout. */
TEST (AttemptTimeout, TimeoutShrinksWithTheHangProbability)
{
  const latency_histogram latencies = log_normal_latencies (550000, 0.3);
  int64_t previous_us = INT64_MAX;
  for (const double hangs : { 0.05, 0.2, 0.5, 0.9 })
    {
      const attempt_timeout_context context = make_context (2.5, 2, hangs);
      const int64_t timeout_us = attempt_timeout_us (&latencies, &context);
      EXPECT_LE (timeout_us, previous_us) << hangs;
      previous_us = timeout_us;
    }
}

/* At most a few percent of valid responses are cut off, for any median and
   variance of the response times. */
TEST (AttemptTimeout, ValidResponsesAreRarelyCutOff)
{
  for (const double median_s : { 0.01, 0.2, 0.55, 1.2 })
    for (const double spread : { 0.1, 0.3, 0.5 })
      {
        const latency_histogram latencies
            = log_normal_latencies (median_s * second, spread);
        const attempt_timeout_context context
            = make_context (median_s * 5, median_s * 4, 0.05);
        const int64_t timeout_us = attempt_timeout_us (&latencies, &context);
        if (timeout_us != ATTEMPT_NO_TIMEOUT)
          {
            EXPECT_LE (latency_histogram_survival (&latencies, timeout_us),
                       0.12)
                << median_s << " " << spread;
          }
      }
}

TEST (AttemptTimeout, NoTimeoutWithoutTimeForAnotherAttempt)
{
  const latency_histogram latencies = log_normal_latencies (550000, 0.3);
  const attempt_timeout_context context = make_context (0.6, 0.6, 0.2);
  const int64_t timeout_us = attempt_timeout_us (&latencies, &context);
  EXPECT_EQ (timeout_us, ATTEMPT_NO_TIMEOUT);
}

TEST (AttemptTimeout, EdgeCases)
{
  latency_histogram empty;
  latency_histogram_init (&empty);
  attempt_timeout_context context = make_context (10, 10, 0.1);
  EXPECT_EQ (attempt_timeout_us (&empty, &context), 5 * second);
  context.remaining_attempts = 0;
  EXPECT_EQ (attempt_timeout_us (&empty, &context), ATTEMPT_NO_TIMEOUT);
  context = make_context (0, 0, 0.1);
  EXPECT_EQ (attempt_timeout_us (&empty, &context), ATTEMPT_NO_TIMEOUT);
  context.remaining_us = -second;
  EXPECT_EQ (attempt_timeout_us (&empty, &context), ATTEMPT_NO_TIMEOUT);
  context.remaining_us = 1;
  EXPECT_EQ (attempt_timeout_us (&empty, &context), ATTEMPT_NO_TIMEOUT);
  context.remaining_us = INT64_MAX;
  context.goal_us = INT64_MAX;
  EXPECT_EQ (attempt_timeout_us (&empty, &context), INT64_MAX / 2);
  const latency_histogram fast_latencies = log_normal_latencies (1000, 0.3);
  context = make_context (10, 10, 0.1);
  EXPECT_GE (attempt_timeout_us (&fast_latencies, &context), 250000);
  /* The goal has passed already, so only the deadline counts. */
  const latency_histogram latencies = log_normal_latencies (550000, 0.3);
  context = make_context (5, -1, 0.3);
  const int64_t timeout_us = attempt_timeout_us (&latencies, &context);
  EXPECT_GE (timeout_us, 800000);
  EXPECT_LT (timeout_us, 5 * second);
}
} // namespace
