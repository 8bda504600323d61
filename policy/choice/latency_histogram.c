#include "policy/choice/latency_histogram.h"

#include <math.h>

enum
{
  FIRST_US = 1000,
  /** Answers that a service gives before its times mean anything. */
  KNOWN_FROM = 12,
  /** Answers that are added before their shares are counted again. */
  SUMMED_AFTER = 16,
};

/* Each answer makes those before it weigh so much less: about the last three
   hundred count. */
static const double weight_growth = 1.0033;
static const double weight_most = 1e9;
/* Some answers take several times as long as all others, and few are seen. */
static const double longer_least = 0.01;

void
latency_histogram_init (struct latency_histogram *times)
{
  *times = (struct latency_histogram){ .next_weight = 1 };
  for (uint32_t i = 0; i <= LATENCY_HISTOGRAM_BUCKETS; i++)
    times->survival[i] = 1;
}

int64_t
latency_histogram_bucket_start_us (uint32_t n)
{
  return (int64_t)(FIRST_US
                   * exp2 ((double)n / LATENCY_HISTOGRAM_BUCKETS_PER_OCTAVE));
}

/* The place of LATENCY_US on the scale of steps; 0 is their beginning. */
static double
place_of (int64_t latency_us)
{
  if (latency_us <= FIRST_US)
    return 0;
  const double place = log2 ((double)latency_us / FIRST_US)
                       * LATENCY_HISTOGRAM_BUCKETS_PER_OCTAVE;
  return place < LATENCY_HISTOGRAM_BUCKETS ? place
                                           : LATENCY_HISTOGRAM_BUCKETS - 0.001;
}

static void
rescale (struct latency_histogram *times)
{
  for (uint32_t i = 0; i < LATENCY_HISTOGRAM_BUCKETS; i++)
    times->buckets[i] /= times->next_weight;
  times->total_weight /= times->next_weight;
  times->next_weight = 1;
}

static void
sum_up (struct latency_histogram *times)
{
  double longer = 0;
  times->pending = 0;
  times->survival[LATENCY_HISTOGRAM_BUCKETS] = 0;
  for (uint32_t i = LATENCY_HISTOGRAM_BUCKETS; i > 0; i--)
    {
      longer += times->buckets[i - 1];
      times->survival[i - 1] = longer / times->total_weight;
    }
}

void
latency_histogram_add (struct latency_histogram *times, int64_t latency_us)
{
  times->buckets[(uint32_t)place_of (latency_us)] += times->next_weight;
  times->total_weight += times->next_weight;
  times->next_weight *= weight_growth;
  times->pending++;
  if (times->next_weight > weight_most)
    rescale (times);
  if (times->pending >= SUMMED_AFTER
      || times->total_weight < KNOWN_FROM * times->next_weight)
    sum_up (times);
}

bool
latency_histogram_has_enough (const struct latency_histogram *times)
{
  return times->total_weight >= KNOWN_FROM * times->next_weight;
}

bool
latency_histogram_is_sparse (const struct latency_histogram *times)
{
  return times->next_weight > times->total_weight * longer_least;
}

double
latency_histogram_survival (const struct latency_histogram *times,
                            int64_t age_us)
{
  if (!latency_histogram_has_enough (times))
    return 1;
  const double place = place_of (age_us);
  const uint32_t step = (uint32_t)place;
  const double within = place - step;
  const double longer = times->survival[step] * (1 - within)
                        + times->survival[step + 1] * within;
  /* Nor does none of few answers mean that there is none. */
  const double least = times->next_weight / times->total_weight;
  if (longer > longer_least && longer > least)
    return longer;
  return least > longer_least ? least : longer_least;
}
