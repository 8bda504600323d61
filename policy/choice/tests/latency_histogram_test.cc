/* How long answers take, against a plain list of them. */
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
/* Log-normal, as the work of most services. */
int64_t
some_time (rng *random, double median_us, double spread)
{
  const double u = std::max (rng_unit (random), 1e-12);
  const double v = rng_unit (random);
  const double normal = std::sqrt (-2 * std::log (u)) * std::cos (6.28318 * v);
  return (int64_t)(median_us * std::exp (spread * normal));
}

TEST (AnswerTimes, NothingMeansAnythingAtFirst)
{
  latency_histogram times;
  latency_histogram_init (&times);
  EXPECT_FALSE (latency_histogram_has_enough (&times));
  EXPECT_EQ (latency_histogram_survival (&times, 60000000), 1);
  for (int i = 0; i < 5; i++)
    latency_histogram_add (&times, 1000);
  EXPECT_EQ (latency_histogram_survival (&times, 60000000), 1);
}

TEST (AnswerTimes, AgreesWithAList)
{
  for (const double median_us : { 5000.0, 550000.0, 1200000.0 })
    for (const double spread : { 0.1, 0.3, 0.5 })
      {
        rng random;
        rng_seed (&random, 5);
        latency_histogram times;
        latency_histogram_init (&times);
        std::vector<int64_t> list;
        for (int i = 0; i < 3000; i++)
          {
            const int64_t us = some_time (&random, median_us, spread);
            latency_histogram_add (&times, us);
            list.push_back (us);
          }
        std::sort (list.begin (), list.end ());
        for (const double share : { 0.1, 0.5, 0.9, 0.95 })
          {
            const int64_t at
                = list[(size_t)((double)list.size () * (1 - share))];
            EXPECT_NEAR (latency_histogram_survival (&times, at), share, 0.06)
                << median_us << " " << spread;
          }
      }
}

/* A release makes a service five times as slow.  What was learned of it
   before must not make all its answers look overdue for long. */
TEST (AnswerTimes, FollowsAServiceThatBecomesSlow)
{
  rng random;
  rng_seed (&random, 6);
  latency_histogram times;
  latency_histogram_init (&times);
  for (int i = 0; i < 3000; i++)
    latency_histogram_add (&times, some_time (&random, 100000, 0.3));
  EXPECT_LE (latency_histogram_survival (&times, 500000), 0.02);
  for (int i = 0; i < 300; i++)
    latency_histogram_add (&times, some_time (&random, 500000, 0.3));
  EXPECT_GE (latency_histogram_survival (&times, 500000), 0.25);
}

TEST (AnswerTimes, NeverSaysThatNoAnswerCanCome)
{
  latency_histogram times;
  latency_histogram_init (&times);
  for (int i = 0; i < 100000; i++)
    latency_histogram_add (&times, 1000 + i % 7);
  EXPECT_GE (latency_histogram_survival (&times, INT64_MAX), 0.01);
  EXPECT_EQ (latency_histogram_survival (&times, 0), 1);
  EXPECT_EQ (latency_histogram_survival (&times, -5), 1);
  latency_histogram_add (&times, INT64_MAX);
  latency_histogram_add (&times, -1);
}
} // namespace
