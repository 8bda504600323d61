#include "policy/choice/attempt_timeout.h"

#include "policy/service_policy.h"

enum
{
  /** Collections, swapping and new connections pass within it, and say nothing
   * of a service that answers in a few milliseconds. */
  TIMEOUT_LEAST_US = 250000,
};

/* What an answer is worth after the goal. */
static const double late_worth = 0.5;
/* What an answer at the deadline is worth less than one at once. */
static const double impatience = 0.1;
/* What is lost with an attempt that is left: work that its target has done, a
   retry of those that the service may have, and load on another target. */
static const double leaving_costs = 0.3;

/* What an answer at AGE_US of the attempt is worth. */
static double
worth_at (const struct attempt_timeout_context *outlook, int64_t age_us)
{
  const double in_time = age_us <= outlook->goal_us ? 1 : late_worth;
  return in_time * (1 - impatience * (double)age_us / outlook->remaining_us);
}

/* What another attempt promises that begins at AGE_US of this one. */
static double
other_promises (const struct latency_histogram *times,
                const struct attempt_timeout_context *outlook, int64_t age_us)
{
  const int64_t left_us = outlook->remaining_us - age_us;
  const int64_t goal_us = outlook->goal_us - age_us;
  const double past_end = latency_histogram_survival (times, left_us);
  const double past_goal
      = goal_us > 0 ? latency_histogram_survival (times, goal_us) : 1;
  const double in_time = past_goal > past_end ? past_goal : past_end;
  const double share = (1 - in_time) + late_worth * (in_time - past_end);
  const double waited = impatience * (double)age_us / outlook->remaining_us;
  return (1 - outlook->p_next_hang) * share * (1 - waited) - leaving_costs;
}

int64_t
attempt_timeout_us (const struct latency_histogram *times,
                    const struct attempt_timeout_context *outlook)
{
  if (outlook->attempts_left == 0 || outlook->remaining_us / 2 <= 0)
    return ATTEMPT_NO_TIMEOUT;
  if (!latency_histogram_has_enough (times))
    return outlook->remaining_us / 2;
  int64_t best_us = ATTEMPT_NO_TIMEOUT;
  double best = 0; /* beyond what has come by then */
  double come = 0; /* what has come by the step's beginning */
  double longer = 1;
  const double answers = 1 - outlook->p_hang;
  for (uint32_t step = 1; step < LATENCY_HISTOGRAM_BUCKETS; step++)
    {
      const int64_t age_us = latency_histogram_bucket_start_us (step);
      if (age_us >= outlook->remaining_us)
        break;
      const double still = latency_histogram_survival (times, age_us);
      come += answers * (longer - still) * worth_at (outlook, age_us);
      longer = still;
      if (age_us < TIMEOUT_LEAST_US)
        continue;
      const double open = answers * still + outlook->p_hang;
      const double promised
          = come + open * other_promises (times, outlook, age_us);
      if (promised > best)
        {
          best = promised;
          best_us = age_us;
        }
    }
  /* Guards honest answers that take longer than all before, as when all
     targets become slow at once: they are taken to come. */
  come += answers * longer * (1 - impatience);
  if (best > come)
    return best_us;
  /* Guards a request whose target hangs soon after the start: while answers
     are few, many longer ones may come for all that is known, and it would
     wait to its deadline. */
  return latency_histogram_is_sparse (times) ? outlook->remaining_us / 2
                                             : ATTEMPT_NO_TIMEOUT;
}

bool
attempt_timeout_is_deadline_unlikely (const struct latency_histogram *times,
                                      int64_t left_us)
{
  return latency_histogram_has_enough (times)
         && latency_histogram_survival (times, left_us) > 0.5;
}
