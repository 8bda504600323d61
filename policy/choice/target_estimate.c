#include "policy/choice/target_estimate.h"

#include <math.h>
#include <stdbool.h>

static const double latency_ewma_gain
    = 1.0 / (1 << ESTIMATE_LATENCY_EWMA_SHIFT);

/* Bounds on the probability; at 0 or 1 no outcome could change it any more. */
static const double min_p_unhealthy = 0.02;
static const double max_p_unhealthy = 0.999;

static double
clamped (double p_unhealthy)
{
  return fmin (fmax (p_unhealthy, min_p_unhealthy), max_p_unhealthy);
}

double
target_estimate_failure_rate (double p_unhealthy)
{
  return p_unhealthy * ESTIMATE_UNHEALTHY_FAILURE_RATE
         + (1 - p_unhealthy) * ESTIMATE_HEALTHY_FAILURE_RATE;
}

double
target_estimate_p_unhealthy (const struct target_estimate *e, double odds)
{
  const double p_unhealthy = e->p_unhealthy * odds;
  return clamped (p_unhealthy / (p_unhealthy + 1 - e->p_unhealthy));
}

static void
set_p_unhealthy (struct target_estimate *e, double p_unhealthy)
{
  e->p_unhealthy = clamped (p_unhealthy);
  e->failure_rate = target_estimate_failure_rate (e->p_unhealthy);
}

void
target_estimate_init (struct target_estimate *e, int64_t now_us,
                      double p_unhealthy)
{
  *e = (struct target_estimate){ .updated_us = now_us };
  set_p_unhealthy (e, p_unhealthy);
}

void
target_estimate_advance (struct target_estimate *e, int64_t now_us,
                         double peers_latency_us, double p_unhealthy)
{
  const int64_t elapsed_us = now_us - e->updated_us;
  if (elapsed_us <= 0)
    return;
  e->updated_us = now_us;
  const double kept_state
      = exp (-(double)elapsed_us / ESTIMATE_STATE_DECAY_US);
  set_p_unhealthy (e,
                   p_unhealthy + (e->p_unhealthy - p_unhealthy) * kept_state);
  if (e->latency_samples == 0 || peers_latency_us <= 0)
    return;
  const double kept = exp2 (-(double)elapsed_us / ESTIMATE_HALF_LIFE_US);
  e->latency_us = peers_latency_us + (e->latency_us - peers_latency_us) * kept;
}

/** Probability of an outcome at a healthy and at an unhealthy target. */
struct likelihood
{
  double healthy;
  double unhealthy;
};

/* A target that sheds load is usually just busy.  But one that does nothing
   else would look idle and fast, and attract all traffic. */
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

/* An incomplete response seen by another host may be caused by that host's
   network path. */
static struct likelihood
remote_likelihood_of (enum attempt_end end)
{
  if (end == ATTEMPT_CUT || end == ATTEMPT_TIMED_OUT
      || end == ATTEMPT_NOT_SENT)
    return (struct likelihood){ 0.1, 0.4 };
  return likelihood_of (end);
}

static void
update_state (struct target_estimate *e, struct likelihood l)
{
  const double p_unhealthy = e->p_unhealthy * l.unhealthy;
  e->samples++;
  set_p_unhealthy (e, p_unhealthy
                          / (p_unhealthy + (1 - e->p_unhealthy) * l.healthy));
}

void
target_estimate_observe_remote (struct target_estimate *e,
                                enum attempt_end end)
{
  if (end != ATTEMPT_CANCELLED)
    update_state (e, remote_likelihood_of (end));
}

static void
observe_latency (struct target_estimate *e, double latency_us)
{
  if (e->latency_samples == 0)
    e->latency_us = latency_us;
  else
    e->latency_us += latency_ewma_gain * (latency_us - e->latency_us);
  e->latency_samples++;
}

void
target_estimate_observe (struct target_estimate *e, enum attempt_end end,
                         int64_t latency_us)
{
  if (end == ATTEMPT_CANCELLED)
    return;
  update_state (e, likelihood_of (end));
  /* A quick failure must not make the target look fast: a failed attempt
     only gives a lower bound on the response time.  Before any response
     that is no information, unless the attempt ran to its timeout. */
  const bool is_known = e->latency_samples > 0 || end == ATTEMPT_TIMED_OUT;
  if (end == ATTEMPT_ANSWERED
      || (is_known && (double)latency_us > e->latency_us))
    observe_latency (e, (double)latency_us);
}
