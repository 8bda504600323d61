#include "policy/choice/open_attempts.h"

#include <math.h>
#include <stdlib.h>

#include "policy/choice/target_estimate.h"

enum
{
  /** Maximum time between the choice of a target and the first byte sent to
   * it. */
  START_SKEW_MAX_US = 50000,
};

void
open_attempts_add (struct open_attempts *open, int64_t now_us)
{
  if (open->count == OPEN_ATTEMPTS_MAX)
    return;
  open->work_us[open->count] = 0;
  open->started_us[open->count++] = now_us;
}

void
open_attempts_set_work (struct open_attempts *open, int64_t started_us,
                        double work_us)
{
  const uint32_t last = open->count - 1;
  if (open->count > 0 && open->started_us[last] == started_us
      && open->work_us[last] == 0)
    open->work_us[last] = work_us;
}

double
open_attempts_remaining_us (const struct open_attempts *open,
                            const struct work_distribution *distribution,
                            uint32_t count, double unknown_us, double slowness,
                            int64_t now_us)
{
  double sum_us = 0;
  for (uint32_t i = 0; i < open->count && i < count; i++)
    {
      const double work_us
          = open->work_us[i] > 0 ? open->work_us[i] : unknown_us;
      const double age_us = (double)(now_us - open->started_us[i]);
      sum_us += work_us
                * work_distribution_remaining (distribution,
                                               age_us / (work_us * slowness));
    }
  if (count > open->count)
    sum_us += (count - open->count) * unknown_us;
  return sum_us;
}

void
open_attempts_remove (struct open_attempts *open, int64_t started_us)
{
  uint32_t nearest = OPEN_ATTEMPTS_MAX;
  int64_t nearest_us = INT64_MAX;
  for (uint32_t i = 0; i < open->count; i++)
    {
      const int64_t distance_us = llabs (open->started_us[i] - started_us);
      if (distance_us < nearest_us)
        {
          nearest_us = distance_us;
          nearest = i;
        }
    }
  /* An attempt that started while the list was full isn't in it. */
  if (nearest == OPEN_ATTEMPTS_MAX
      || (open->count == OPEN_ATTEMPTS_MAX && nearest_us > START_SKEW_MAX_US))
    return;
  open->count--;
  for (uint32_t i = nearest; i < open->count; i++)
    {
      open->started_us[i] = open->started_us[i + 1];
      open->work_us[i] = open->work_us[i + 1];
    }
}

/* Probability that an attempt is still open: it hangs or is just slow. */
static double
p_open (double failure_rate, double hang_share, double p_slower)
{
  return failure_rate * hang_share + (1 - failure_rate) * p_slower;
}

double
open_attempts_odds_factor (const struct open_attempts *open,
                           const struct open_attempts_context *context,
                           int64_t now_us)
{
  double odds = 1;
  for (uint32_t i = 0; i < open->count; i++)
    {
      const int64_t age_us = now_us - open->started_us[i];
      const double p_slower = latency_histogram_survival (
          context->latencies, (int64_t)((double)age_us / context->slowdown));
      const double ratio = p_open (ESTIMATE_UNHEALTHY_FAILURE_RATE,
                                   context->hang_share, p_slower)
                           / p_open (ESTIMATE_HEALTHY_FAILURE_RATE,
                                     context->hang_share, p_slower);
      /* Young attempts are no evidence of health: failures that don't hang
         take a while too. */
      if (ratio > 1)
        odds *= pow (ratio, exp (-(double)age_us / context->decay_us));
    }
  return odds;
}
