#include "policy/choice/target_estimate.h"

#include <math.h>
#include <stdbool.h>

static const double latency_gain = 1.0 / (1 << ESTIMATE_LATENCY_EWMA_SHIFT);

/* Nothing is ever certain, else no outcome could change it any more. */
static const double ill_least = 0.02;
static const double ill_most = 0.999;

static double
bounded (double ill)
{
  return fmin (fmax (ill, ill_least), ill_most);
}

double
target_estimate_failure_rate (double ill)
{
  return ill * ESTIMATE_UNHEALTHY_FAILURE_RATE
         + (1 - ill) * ESTIMATE_HEALTHY_FAILURE_RATE;
}

double
target_estimate_p_unhealthy (const struct target_estimate *e, double odds)
{
  const double ill = e->p_unhealthy * odds;
  return bounded (ill / (ill + 1 - e->p_unhealthy));
}

static void
set_ill (struct target_estimate *e, double ill)
{
  e->p_unhealthy = bounded (ill);
  e->failure_rate = target_estimate_failure_rate (e->p_unhealthy);
}

void
target_estimate_init (struct target_estimate *e, int64_t now_us, double ill)
{
  *e = (struct target_estimate){ .updated_us = now_us };
  set_ill (e, ill);
}

void
target_estimate_advance (struct target_estimate *e, int64_t now_us,
                         double peers_latency_us, double ill)
{
  const int64_t passed_us = now_us - e->updated_us;
  if (passed_us <= 0)
    return;
  e->updated_us = now_us;
  const double known = exp (-(double)passed_us / ESTIMATE_STATE_DECAY_US);
  set_ill (e, ill + (e->p_unhealthy - ill) * known);
  if (e->latency_samples == 0 || peers_latency_us <= 0)
    return;
  const double kept = exp2 (-(double)passed_us / ESTIMATE_HALF_LIFE_US);
  e->latency_us = peers_latency_us + (e->latency_us - peers_latency_us) * kept;
}

/** How likely an end is at a target that is well, and at one that is ill. */
struct likelihood
{
  double well;
  double ill;
};

/* A target that sheds is mostly busy; but one that does nothing else would
 * look idle and fast, and draw all traffic. */
static struct likelihood
likelihood_of (enum attempt_end end)
{
  switch (end)
    {
    case ATTEMPT_ANSWERED:
      return (struct likelihood){ 1 - ESTIMATE_HEALTHY_FAILURE_RATE,
                                  1 - ESTIMATE_UNHEALTHY_FAILURE_RATE };
    case ATTEMPT_SHED:
      return (struct likelihood){ 0.1, 0.25 };
    default:
      return (struct likelihood){ ESTIMATE_HEALTHY_FAILURE_RATE,
                                  ESTIMATE_UNHEALTHY_FAILURE_RATE };
    }
}

/* What another host saw without a whole answer may be its own path's fault. */
static struct likelihood
likelihood_heard (enum attempt_end end)
{
  if (end == ATTEMPT_CUT || end == ATTEMPT_TIMED_OUT
      || end == ATTEMPT_NOT_SENT)
    return (struct likelihood){ 0.1, 0.4 };
  return likelihood_of (end);
}

static void
learn (struct target_estimate *e, struct likelihood l)
{
  const double ill = e->p_unhealthy * l.ill;
  e->samples++;
  set_ill (e, ill / (ill + (1 - e->p_unhealthy) * l.well));
}

void
target_estimate_observe_remote (struct target_estimate *e,
                                enum attempt_end end)
{
  if (end != ATTEMPT_CANCELLED)
    learn (e, likelihood_heard (end));
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
  learn (e, likelihood_of (end));
  /* A quick failure must not make the target look fast: an end without an
   * answer only says that an answer takes at least as long.  Before any answer
   * that is nothing, unless the attempt had all of its time. */
  const bool is_known = e->latency_samples > 0 || end == ATTEMPT_TIMED_OUT;
  if (end == ATTEMPT_ANSWERED
      || (is_known && (double)latency_us > e->latency_us))
    observe_latency (e, (double)latency_us);
}
