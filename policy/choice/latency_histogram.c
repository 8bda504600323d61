#include "policy/choice/latency_histogram.h"

#include <math.h>

enum
{
  FIRST_BUCKET_US = 1000,
  /** Responses needed before the distribution is meaningful. */
  MIN_SAMPLES = 12,
  /** Responses added between two updates of `survival`. */
  SURVIVAL_UPDATE_SAMPLES = 16,
};

/* Each response reduces the relative weight of earlier ones by this factor:
   about the last 300 count. */
static const double weight_growth = 1.0033;
static const double max_weight = 1e9;
/* Some responses take several times as long as all others, and few are
   seen. */
static const double min_survival = 0.01;

void
latency_histogram_init (struct latency_histogram *histogram)
{
  *histogram = (struct latency_histogram){ .next_weight = 1 };
  for (uint32_t i = 0; i <= LATENCY_HISTOGRAM_BUCKETS; i++)
    histogram->survival[i] = 1;
}

int64_t
latency_histogram_bucket_start_us (uint32_t bucket)
{
  return (
      int64_t)(FIRST_BUCKET_US
               * exp2 ((double)bucket / LATENCY_HISTOGRAM_BUCKETS_PER_OCTAVE));
}

/* The fractional bucket index of LATENCY_US; 0 is the start of the scale. */
static double
bucket_position (int64_t latency_us)
{
  if (latency_us <= FIRST_BUCKET_US)
    return 0;
  const double position = log2 ((double)latency_us / FIRST_BUCKET_US)
                          * LATENCY_HISTOGRAM_BUCKETS_PER_OCTAVE;
  return position < LATENCY_HISTOGRAM_BUCKETS
             ? position
             : LATENCY_HISTOGRAM_BUCKETS - 0.001;
}

static void
rescale (struct latency_histogram *histogram)
{
  for (uint32_t i = 0; i < LATENCY_HISTOGRAM_BUCKETS; i++)
    histogram->buckets[i] /= histogram->next_weight;
  histogram->total_weight /= histogram->next_weight;
  histogram->next_weight = 1;
}

static void
update_survival (struct latency_histogram *histogram)
{
  double slower = 0;
  histogram->pending = 0;
  histogram->survival[LATENCY_HISTOGRAM_BUCKETS] = 0;
  for (uint32_t i = LATENCY_HISTOGRAM_BUCKETS; i > 0; i--)
    {
      slower += histogram->buckets[i - 1];
      histogram->survival[i - 1] = slower / histogram->total_weight;
    }
}

void
latency_histogram_add (struct latency_histogram *histogram, int64_t latency_us)
{
  histogram->buckets[(uint32_t)bucket_position (latency_us)]
      += histogram->next_weight;
  histogram->total_weight += histogram->next_weight;
  histogram->next_weight *= weight_growth;
  histogram->pending++;
  if (histogram->next_weight > max_weight)
    rescale (histogram);
  if (histogram->pending >= SURVIVAL_UPDATE_SAMPLES
      || histogram->total_weight < MIN_SAMPLES * histogram->next_weight)
    update_survival (histogram);
}

bool
latency_histogram_has_enough (const struct latency_histogram *histogram)
{
  return histogram->total_weight >= MIN_SAMPLES * histogram->next_weight;
}

bool
latency_histogram_is_sparse (const struct latency_histogram *histogram)
{
  return histogram->next_weight > histogram->total_weight * min_survival;
}

double
latency_histogram_survival (const struct latency_histogram *histogram,
                            int64_t age_us)
{
  if (!latency_histogram_has_enough (histogram))
    return 1;
  const double position = bucket_position (age_us);
  const uint32_t bucket = (uint32_t)position;
  const double fraction = position - bucket;
  const double slower = histogram->survival[bucket] * (1 - fraction)
                        + histogram->survival[bucket + 1] * fraction;
  /* With few samples, none above AGE_US doesn't mean that none is possible. */
  const double min_share = histogram->next_weight / histogram->total_weight;
  if (slower > min_survival && slower > min_share)
    return slower;
  return min_share > min_survival ? min_share : min_survival;
}
