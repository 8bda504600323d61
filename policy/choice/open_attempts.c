#include "policy/choice/open_attempts.h"

#include <math.h>
#include <stdlib.h>

#include "policy/choice/target_estimate.h"

enum
{
  /** Between the choice of a target and the first byte to it. */
  BEGINS_WITHIN_US = 50000,
};

void
open_attempts_add (struct open_attempts *open, int64_t now_us)
{
  if (open->count < OPEN_ATTEMPTS_MAX)
    open->started_us[open->count++] = now_us;
}

void
open_attempts_remove (struct open_attempts *open, int64_t begun_us)
{
  uint32_t nearest = OPEN_ATTEMPTS_MAX;
  int64_t least_us = INT64_MAX;
  for (uint32_t i = 0; i < open->count; i++)
    {
      const int64_t off_us = llabs (open->started_us[i] - begun_us);
      if (off_us < least_us)
        {
          least_us = off_us;
          nearest = i;
        }
    }
  /* One that came when the list was full isn't in it. */
  if (nearest == OPEN_ATTEMPTS_MAX
      || (open->count == OPEN_ATTEMPTS_MAX && least_us > BEGINS_WITHIN_US))
    return;
  open->count--;
  for (uint32_t i = nearest; i < open->count; i++)
    open->started_us[i] = open->started_us[i + 1];
}

/* How likely an attempt has no answer after its time: it hangs, or LONGER. */
static double
stays_open (double fails, double hung, double longer)
{
  return fails * hung + (1 - fails) * longer;
}

double
open_attempts_odds_factor (const struct open_attempts *open,
                           const struct open_attempts_context *evidence,
                           int64_t now_us)
{
  double odds = 1;
  for (uint32_t i = 0; i < open->count; i++)
    {
      const int64_t age_us = now_us - open->started_us[i];
      const double longer = latency_histogram_survival (
          evidence->latencies, (int64_t)((double)age_us / evidence->slowdown));
      const double ratio = stays_open (ESTIMATE_UNHEALTHY_FAILURE_RATE,
                                       evidence->hang_share, longer)
                           / stays_open (ESTIMATE_HEALTHY_FAILURE_RATE,
                                         evidence->hang_share, longer);
      /* A young one says nothing: failures that don't hang take a while. */
      if (ratio > 1)
        odds *= pow (ratio, exp (-(double)age_us / evidence->decay_us));
    }
  return odds;
}
