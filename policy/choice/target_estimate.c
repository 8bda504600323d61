#include "policy/choice/target_estimate.h"

#include <math.h>

static const double failure_gain = 1.0 / (1 << ESTIMATE_FAILURE_SHIFT);
static const double latency_gain = 1.0 / (1 << ESTIMATE_LATENCY_SHIFT);

void
target_estimate_init (struct target_estimate *e, int64_t now_us)
{
  *e = (struct target_estimate){ .updated_us = now_us };
}

void
target_estimate_advance (struct target_estimate *e, int64_t now_us,
                         double peers_latency_us)
{
  const int64_t passed_us = now_us - e->updated_us;
  if (passed_us <= 0)
    return;
  e->updated_us = now_us;
  const double kept = exp2 (-(double)passed_us / ESTIMATE_HALF_LIFE_US);
  e->failure *= kept;
  if (e->latency_samples == 0 || peers_latency_us <= 0)
    return;
  e->latency_us = peers_latency_us + (e->latency_us - peers_latency_us) * kept;
}

/* A target that sheds is busy, not broken; but one that does nothing else
 * would look idle and fast, and draw all traffic. */
static double
failure_of (enum attempt_end end)
{
  switch (end)
    {
    case ATTEMPT_ANSWERED:
      return 0;
    case ATTEMPT_SHED:
      return 0.5;
    default:
      return 1;
    }
}

static void
observe_latency (struct target_estimate *e, double latency_us)
{
  if (e->latency_samples == 0)
    e->latency_us = latency_us;
  else
    e->latency_us += latency_gain * (latency_us - e->latency_us);
  e->latency_samples++;
}

void
target_estimate_observe (struct target_estimate *e, enum attempt_end end,
                         int64_t latency_us)
{
  if (end == ATTEMPT_CANCELLED)
    return;
  e->samples++;
  e->failure += failure_gain * (failure_of (end) - e->failure);
  /* A quick failure must not make the target look fast: an end without an
   * answer only says that an answer takes at least as long. */
  if (end == ATTEMPT_ANSWERED || (double)latency_us > e->latency_us)
    observe_latency (e, (double)latency_us);
}
