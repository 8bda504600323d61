#include "policy/choice/service_rate.h"

enum
{
  RATE_MIN_SAMPLES = 8,
  /* Samples from before a gap of this length aren't used: they are from
     another period of load. */
  RATE_STALE_US = 5000000,
  DEFAULT_LATENCY_US = 10000,
  STALL_INTERVALS = 8, /* a gap of this many mean intervals is hardly chance
                          (e^-8) */
};

static const double ewma_gain = 1.0 / 32;

void
service_rate_init (struct service_rate *rate)
{
  *rate = (struct service_rate){ 0 };
}

void
service_rate_note_release (struct service_rate *rate, int64_t now_us,
                           bool waiting)
{
  const int64_t elapsed_us = now_us - rate->last_end_us;
  if (elapsed_us >= RATE_STALE_US)
    rate->samples = 0;
  if (rate->had_waiting && waiting)
    {
      if (rate->samples == 0)
        rate->interval_us = (double)elapsed_us;
      else
        rate->interval_us
            += ewma_gain * ((double)elapsed_us - rate->interval_us);
      rate->samples++;
    }
  rate->had_waiting = waiting;
  rate->last_end_us = now_us;
}

double
service_rate_interval_us (const struct service_rate *rate, int64_t now_us,
                          uint32_t in_flight, double latency_us)
{
  const double since_us = (double)(now_us - rate->last_end_us);
  const bool stale = since_us >= RATE_STALE_US;
  const double gap_us = rate->had_waiting ? since_us / STALL_INTERVALS : 0;
  if (rate->samples >= RATE_MIN_SAMPLES && !stale)
    return gap_us > rate->interval_us ? gap_us : rate->interval_us;
  const double known_us = latency_us > 0 ? latency_us : DEFAULT_LATENCY_US;
  return known_us / (in_flight > 0 ? in_flight : 1);
}
