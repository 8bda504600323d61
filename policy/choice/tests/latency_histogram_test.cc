/* The response time distribution, compared with a plain list of samples. */
#include <algorithm>
#include <cmath>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "base/rng.h"
#include "policy/choice/latency_histogram.h"
}

namespace
{
/* Log-normal, like the response times of most services. */
int64_t
log_normal_us (rng *random, double median_us, double spread)
{
  const double u = std::max (rng_unit (random), 1e-12);
  const double v = rng_unit (random);
  const double normal = std::sqrt (-2 * std::log (u)) * std::cos (6.28318 * v);
  return (int64_t)(median_us * std::exp (spread * normal));
}

TEST (LatencyHistogram, IsNotReadyAtFirst)
{
  latency_histogram histogram;
  latency_histogram_init (&histogram);
  EXPECT_FALSE (latency_histogram_has_enough (&histogram));
  EXPECT_EQ (latency_histogram_survival (&histogram, 60000000), 1);
  for (int i = 0; i < 5; i++)
    latency_histogram_add (&histogram, 1000);
  EXPECT_EQ (latency_histogram_survival (&histogram, 60000000), 1);
}

TEST (LatencyHistogram, MatchesAList)
{
  for (const double median_us : { 5000.0, 550000.0, 1200000.0 })
    for (const double spread : { 0.1, 0.3, 0.5 })
      {
        rng random;
        rng_seed (&random, 5);
        latency_histogram histogram;
        latency_histogram_init (&histogram);
        std::vector<int64_t> list;
        for (int i = 0; i < 3000; i++)
          {
            const int64_t us = log_normal_us (&random, median_us, spread);
            latency_histogram_add (&histogram, us);
            list.push_back (us);
          }
        std::sort (list.begin (), list.end ());
        for (const double share : { 0.1, 0.5, 0.9, 0.95 })
          {
            const int64_t at
                = list[(size_t)((double)list.size () * (1 - share))];
            EXPECT_NEAR (latency_histogram_survival (&histogram, at), share,
                         0.06)
                << median_us << " " << spread;
          }
      }
}

/* A new release makes a service five times as slow.  The samples from
   before must not make all its responses look overdue for long. */
TEST (LatencyHistogram, AdaptsToAServiceThatBecomesSlow)
{
  rng random;
  rng_seed (&random, 6);
  latency_histogram histogram;
  latency_histogram_init (&histogram);
  for (int i = 0; i < 3000; i++)
    latency_histogram_add (&histogram, log_normal_us (&random, 100000, 0.3));
  EXPECT_LE (latency_histogram_survival (&histogram, 500000), 0.02);
  for (int i = 0; i < 300; i++)
    latency_histogram_add (&histogram, log_normal_us (&random, 500000, 0.3));
  EXPECT_GE (latency_histogram_survival (&histogram, 500000), 0.25);
}

TEST (LatencyHistogram, SurvivalIsNeverZero)
{
  latency_histogram histogram;
  latency_histogram_init (&histogram);
  for (int i = 0; i < 100000; i++)
    latency_histogram_add (&histogram, 1000 + i % 7);
  EXPECT_GE (latency_histogram_survival (&histogram, INT64_MAX), 0.01);
  EXPECT_EQ (latency_histogram_survival (&histogram, 0), 1);
  EXPECT_EQ (latency_histogram_survival (&histogram, -5), 1);
  latency_histogram_add (&histogram, INT64_MAX);
  latency_histogram_add (&histogram, -1);
}
} // namespace
