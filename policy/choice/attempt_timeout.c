#include "policy/choice/attempt_timeout.h"

#include "policy/service_policy.h"

enum
{
  /** Covers garbage collection, swapping and new connections, which aren't
   * a sign of hanging at a service that responds in a few milliseconds. */
  MIN_TIMEOUT_US = 250000,
};

/* Value of a response after the goal. */
static const double late_value = 0.5;
/* How much less a response at the deadline is worth than an immediate one. */
static const double delay_penalty = 0.1;
/* Cost of abandoning an attempt: the work that its target has done, one of
   the service's retries, and load on another target. */
static const double abandon_cost = 0.3;

/* Value of a response when the attempt has age AGE_US. */
static double
value_at (const struct attempt_timeout_context *context, int64_t age_us)
{
  const double value = age_us <= context->goal_us ? 1 : late_value;
  return value * (1 - delay_penalty * (double)age_us / context->remaining_us);
}

/* Expected value of another attempt, started when this one has age AGE_US. */
static double
next_attempt_value (const struct latency_histogram *latencies,
                    const struct attempt_timeout_context *context,
                    int64_t age_us)
{
  const int64_t remaining_us = context->remaining_us - age_us;
  const int64_t goal_us = context->goal_us - age_us;
  const double p_past_deadline
      = latency_histogram_survival (latencies, remaining_us);
  const double p_past_goal
      = goal_us > 0 ? latency_histogram_survival (latencies, goal_us) : 1;
  const double p_not_in_time
      = p_past_goal > p_past_deadline ? p_past_goal : p_past_deadline;
  const double value
      = (1 - p_not_in_time) + late_value * (p_not_in_time - p_past_deadline);
  const double delay_cost
      = delay_penalty * (double)age_us / context->remaining_us;
  return (1 - context->p_next_hang) * value * (1 - delay_cost) - abandon_cost;
}

int64_t
attempt_timeout_us (const struct latency_histogram *latencies,
                    const struct attempt_timeout_context *context)
{
  if (context->remaining_attempts == 0 || context->remaining_us / 2 <= 0)
    return ATTEMPT_NO_TIMEOUT;
  if (!latency_histogram_has_enough (latencies))
    return context->remaining_us / 2;
  int64_t best_us = ATTEMPT_NO_TIMEOUT;
  /* Expected value with the best timeout so far. */
  double best_value = 0;
  /* Expected value of the responses that arrive before this bucket. */
  double value_so_far = 0;
  double p_slower = 1;
  const double p_responds = 1 - context->p_hang;
  for (uint32_t bucket = 1; bucket < LATENCY_HISTOGRAM_BUCKETS; bucket++)
    {
      const int64_t age_us = latency_histogram_bucket_start_us (bucket);
      if (age_us >= context->remaining_us)
        break;
      const double p_still_slower
          = latency_histogram_survival (latencies, age_us);
      value_so_far += p_responds * (p_slower - p_still_slower)
                      * value_at (context, age_us);
      p_slower = p_still_slower;
      if (age_us < MIN_TIMEOUT_US)
        continue;
      const double p_open = p_responds * p_still_slower + context->p_hang;
      const double value
          = value_so_far
            + p_open * next_attempt_value (latencies, context, age_us);
      if (value > best_value)
        {
          best_value = value;
          best_us = age_us;
        }
    }
  /* Assumes that responses slower than all before do arrive, as when all
     targets become slow at once; otherwise valid attempts would be
     abandoned. */
  value_so_far += p_responds * p_slower * (1 - delay_penalty);
  if (best_value > value_so_far)
    return best_us;
  /* With few responses it is unknown how many slower ones may follow.
     Without a timeout, a request whose target hangs soon after the start
     would then wait until its deadline. */
  return latency_histogram_is_sparse (latencies) ? context->remaining_us / 2
                                                 : ATTEMPT_NO_TIMEOUT;
}

bool
attempt_timeout_is_deadline_unlikely (
    const struct latency_histogram *latencies, int64_t remaining_us)
{
  return latency_histogram_has_enough (latencies)
         && latency_histogram_survival (latencies, remaining_us) > 0.5;
}
