#include "policy/choice/usual_latency.h"

#include <math.h>

enum
{
  RISE_US = 30000000,
  FALL_US = 2000000,
};

void
usual_latency_update (struct usual_latency *usual, double latency_us,
                      int64_t elapsed_us)
{
  if (latency_us <= 0)
    return;
  if (usual->latency_us <= 0)
    {
      usual->latency_us = latency_us;
      return;
    }
  const double time_us = latency_us > usual->latency_us ? RISE_US : FALL_US;
  usual->latency_us += (latency_us - usual->latency_us)
                       * (1 - exp (-(double)elapsed_us / time_us));
}
