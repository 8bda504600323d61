#include "policy/choice/demand_peak.h"

static struct demand_peak
advance (const struct demand_peak *peak, int64_t now_us)
{
  const int64_t window = now_us / DEMAND_WINDOW_US;
  struct demand_peak advanced = *peak;
  if (window <= peak->window)
    return advanced;
  advanced.previous = window == peak->window + 1 ? peak->current : 0;
  advanced.current = 0;
  advanced.window = window;
  return advanced;
}

void
demand_peak_add (struct demand_peak *peak, int64_t now_us, uint32_t wanted)
{
  *peak = advance (peak, now_us);
  if (wanted > peak->current)
    peak->current = wanted;
}

uint32_t
demand_peak_value (const struct demand_peak *peak, int64_t now_us)
{
  const struct demand_peak advanced = advance (peak, now_us);
  return advanced.current > advanced.previous ? advanced.current
                                              : advanced.previous;
}
