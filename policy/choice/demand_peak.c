#include "policy/choice/demand_peak.h"

static struct demand_peak
advance (const struct demand_peak *peak, int64_t now_us)
{
  const int64_t window = now_us / DEMAND_WINDOW_US;
  struct demand_peak moved = *peak;
  if (window <= peak->window)
    return moved;
  moved.previous = window == peak->window + 1 ? peak->current : 0;
  moved.current = 0;
  moved.window = window;
  return moved;
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
  const struct demand_peak moved = advance (peak, now_us);
  return moved.current > moved.previous ? moved.current : moved.previous;
}
