#include "policy/choice/slot_limit.h"

#include <math.h>

/* A queue at the target shows within a few responses. */
static const double ewma_gain = 0.25;

/* Ratios to the usual latency, above which the limit falls and below which it
   rises. */
static const double slow_ratio = 1.5;
static const double fast_ratio = 1.2;

/* Changes per response.  The limit falls faster than it rises, since the queue
   of a target that is over its slots grows with each request. */
static const double decrease_slots = 0.5;
static const double increase_slots = 0.05;

static double
reduction_max (const struct slot_bounds *bounds)
{
  return bounds->fair < bounds->max ? bounds->max - bounds->fair : 0;
}

uint32_t
slot_limit_fair_share (uint32_t slots, uint32_t hosts)
{
  if (hosts == 0)
    return slots;
  return (slots + hosts - 1) / hosts;
}

void
slot_limit_observe (struct slot_limit *limit, const struct slot_bounds *bounds,
                    const struct slot_response *response)
{
  if (limit->latency_us <= 0)
    limit->latency_us = response->latency_us;
  else
    limit->latency_us
        += ewma_gain * (response->latency_us - limit->latency_us);
  if (response->usual_us <= 0)
    return;
  const double ratio = limit->latency_us / response->usual_us;
  double reduction = limit->reduction;
  if (response->is_busy && response->in_flight > bounds->fair
      && ratio > slow_ratio)
    reduction += decrease_slots;
  else if (!response->is_busy || ratio < fast_ratio)
    reduction -= increase_slots;
  limit->reduction = fmin (fmax (reduction, 0), reduction_max (bounds));
}

uint32_t
slot_limit_value (const struct slot_limit *limit,
                  const struct slot_bounds *bounds)
{
  const double reduction = fmin (limit->reduction, reduction_max (bounds));
  return bounds->max - (uint32_t)reduction;
}
