#include "policy/choice/target_cost.h"

#include <math.h>
#include <stdlib.h>

/* Mean over about 32 attempts at all targets: it follows a change common to
   all of them before each has run a few. */
static const double recent_ratio_gain = 1 / 32.0;
static const double max_sample_ratio = 4;

void
target_cost_refresh (struct target_set *set)
{
  uint32_t used = 0;
  if (set->cost == NULL)
    return;
  for (uint32_t i = 0; i < set->count; i++)
    {
      const struct target_state *t = &set->targets[i];
      if (target_state_is_eligible (t) && t->work.samples > 0)
        set->scratch[used++] = t->work.ratio;
    }
  set->median_work_ratio = target_outlier_median (set->scratch, used);
}

double
target_cost_slowness (const struct target_set *set,
                      const struct target_state *t, int64_t now_us)
{
  return target_work_slowness (&t->work, set->median_work_ratio, now_us);
}

double
target_cost_own_work_us (const struct target_set *set,
                         const struct target_state *t, int64_t now_us,
                         double unknown_us)
{
  return open_attempts_remaining_us (
      &t->open, cost_model_distribution (set->cost), t->in_flight, unknown_us,
      target_cost_slowness (set, t, now_us), now_us);
}

double
target_cost_remote_work_us (const struct target_state *t, int64_t now_us)
{
  /* A report from after NOW_US is from before a jump of the clock. */
  const int64_t age_us = llabs (now_us - t->remote_work_at_us);
  if (age_us > TARGET_COST_REPORT_TTL_US)
    return 0;
  return fmax (t->remote_work_us - (double)age_us * t->config.slots, 0);
}

/* When all targets become slower, each has attempts from before and after the
   change at other times, so the targets used first would seem slow for as long
   as the model takes to learn.  Ratios are therefore relative to the attempts
   at all targets at that time. */
static void
learn_slowness (struct target_set *set, struct target_state *t, int64_t now_us,
                double ratio)
{
  double recent = set->recent_work_ratio;
  if (!(recent > 0))
    recent = ratio;
  recent += (fmin (ratio, recent * max_sample_ratio) - recent)
            * recent_ratio_gain;
  set->recent_work_ratio = recent;
  target_work_observe (&t->work, now_us, ratio / recent);
}

void
target_cost_learn (struct target_set *set, struct target_state *t,
                   int64_t now_us, const struct policy_outcome *outcome,
                   const uint64_t keys[POLICY_COST_KEYS])
{
  const bool is_censored = outcome->end == ATTEMPT_TIMED_OUT;
  const double own_us
      = (double)outcome->latency_us - 2.0 * t->config.distance_us;
  if (set->cost == NULL || own_us <= 0
      || (outcome->end != ATTEMPT_ANSWERED && !is_censored))
    return;
  const double expected_us = cost_model_expected_us (set->cost, keys);
  /* A timed-out attempt at a target that hangs says nothing about the work of
     the request, so it counts less the more likely the target is unhealthy.
   */
  const struct cost_sample sample = {
    .work_us = own_us / target_cost_slowness (set, t, now_us),
    .is_censored = is_censored,
    .weight = is_censored ? 1 - t->p_unhealthy : 1,
  };
  if (!is_censored && expected_us > 0)
    learn_slowness (set, t, now_us, own_us / expected_us);
  cost_model_observe (set->cost, now_us, keys, &sample);
}
