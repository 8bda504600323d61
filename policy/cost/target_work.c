#include "policy/cost/target_work.h"

#include <math.h>

enum
{
  HALF_LIFE_US = 10000000,
  /* Samples after which the ratio counts as much as the assumption that the
     target is as fast as the others. */
  PRIOR_SAMPLES = 4,
  /* The mean is over about this many samples. */
  MEAN_SAMPLES = 16,
};

/* Bounds of a sample: requests of one class differ by more than targets. */
static const double max_ratio = 4;
/* Bounds of the result.  Estimates beyond them are errors of measurement, or
   targets that are avoided as slow anyway. */
static const double min_slowness = 0.25;
static const double max_slowness = 8;

void
target_work_observe (struct target_work *work, int64_t now_us, double ratio)
{
  if (!(ratio > 0))
    return;
  if (work->samples > 0)
    ratio = fmin (ratio, work->ratio * max_ratio);
  if (work->samples < MEAN_SAMPLES)
    work->samples++;
  work->ratio += (ratio - work->ratio) / work->samples;
  if (now_us > work->updated_us)
    work->updated_us = now_us;
}

double
target_work_slowness (const struct target_work *work, double median,
                      int64_t now_us)
{
  if (work->samples == 0 || !(median > 0))
    return 1;
  const int64_t age_us
      = now_us > work->updated_us ? now_us - work->updated_us : 0;
  const double weight = work->samples * exp2 (-(double)age_us / HALF_LIFE_US);
  const double slowness = (weight * work->ratio / median + PRIOR_SAMPLES)
                          / (weight + PRIOR_SAMPLES);
  return fmin (fmax (slowness, min_slowness), max_slowness);
}
