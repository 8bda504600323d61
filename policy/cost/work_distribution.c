#include "policy/cost/work_distribution.h"

#include <math.h>

enum
{
  /* Samples added between two updates of `remaining`. */
  UPDATE_SAMPLES = 64,
};

/* Each sample reduces the relative weight of earlier ones by this factor:
   about the last thousand count, of which a few dozen are in the tail. */
static const double weight_growth = 1.001;
static const double max_weight = 1e9;
/* Of an attempt that is older than all samples, and of each attempt before
   there are samples. */
static const double min_remaining = 0.5;

void
work_distribution_init (struct work_distribution *d)
{
  *d = (struct work_distribution){ .next_weight = 1 };
  for (int i = 0; i <= WORK_DISTRIBUTION_BUCKETS; i++)
    d->remaining[i] = fmax (1 - (double)i / WORK_DISTRIBUTION_BUCKETS_PER_UNIT,
                            min_remaining);
}

static void
rescale (struct work_distribution *d)
{
  for (int i = 0; i < WORK_DISTRIBUTION_BUCKETS; i++)
    d->buckets[i] /= d->next_weight;
  d->total_weight /= d->next_weight;
  d->next_weight = 1;
}

/* Sums from the tail.  A sample counts as the middle of its bucket. */
static void
update_remaining (struct work_distribution *d)
{
  const double width = 1.0 / WORK_DISTRIBUTION_BUCKETS_PER_UNIT;
  double longer = 0;
  double sum = 0;
  d->pending = 0;
  d->remaining[WORK_DISTRIBUTION_BUCKETS] = min_remaining;
  for (int i = WORK_DISTRIBUTION_BUCKETS - 1; i >= 0; i--)
    {
      longer += d->buckets[i];
      sum += d->buckets[i] * (i + 0.5) * width;
      /* Fewer than about one sample are longer: nothing is known. */
      d->remaining[i] = longer >= d->next_weight ? sum / longer - i * width
                                                 : min_remaining;
    }
}

void
work_distribution_add (struct work_distribution *d, double ratio)
{
  const double position = ratio * WORK_DISTRIBUTION_BUCKETS_PER_UNIT;
  uint32_t bucket = WORK_DISTRIBUTION_BUCKETS - 1;
  if (!(position > 0))
    bucket = 0;
  else if (position < bucket)
    bucket = (uint32_t)position;
  d->buckets[bucket] += d->next_weight;
  d->total_weight += d->next_weight;
  d->next_weight *= weight_growth;
  d->pending++;
  if (d->next_weight > max_weight)
    rescale (d);
  if (d->pending >= UPDATE_SAMPLES)
    update_remaining (d);
}

double
work_distribution_remaining (const struct work_distribution *d, double age)
{
  if (!(age > 0))
    return d->remaining[0];
  const double position = age * WORK_DISTRIBUTION_BUCKETS_PER_UNIT;
  if (position >= WORK_DISTRIBUTION_BUCKETS)
    return d->remaining[WORK_DISTRIBUTION_BUCKETS];
  return d->remaining[(uint32_t)position];
}
