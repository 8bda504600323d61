#include "policy/choice/target_outlier.h"

#include <math.h>

enum
{
  /* Covers several failure episodes of one target, and many over all
     targets. */
  UNHEALTHY_SHARE_DECAY_US = 10000000,
  SLOW_MIN_SAMPLES = 4, /* one slow response says little about a target */
  SLOW_SLACK_US = 1000, /* smaller differences are network noise */
};

static const double failing_enter = 0.5;
static const double failing_enter_faster = 0.4;
static const double failing_leave = 0.35;
static const double min_unhealthy_share = 0.02;
static const double max_unhealthy_share = 0.4;
static const double slow_enter = 3.0;
static const double slow_leave = 2.0;

static void
swap (double *a, double *b)
{
  const double kept = *a;
  *a = *b;
  *b = kept;
}

/* Hoare's selection algorithm: the values before `middle` end up no greater
   than the one there. */
double
target_outlier_median (double *values, uint32_t count)
{
  if (count == 0)
    return 0;
  const int64_t middle = (count - 1) / 2;
  int64_t low = 0;
  int64_t high = (int64_t)count - 1;
  while (low < high)
    {
      const double pivot = values[low + (high - low) / 2];
      int64_t i = low;
      int64_t j = high;
      while (i <= j)
        {
          while (values[i] < pivot)
            i++;
          while (values[j] > pivot)
            j--;
          if (i <= j)
            swap (&values[i++], &values[j--]);
        }
      if (middle <= j)
        high = j;
      else if (middle >= i)
        low = i;
      else
        break;
    }
  return values[middle];
}

bool
target_outlier_is_failing (double p_unhealthy, bool was_failing, bool faster)
{
  const double enter = faster ? failing_enter_faster : failing_enter;
  return p_unhealthy > (was_failing ? failing_leave : enter);
}

double
target_outlier_learn_unhealthy_share (double unhealthy_share, double share,
                                      int64_t elapsed_us)
{
  const double kept = exp (-(double)elapsed_us / UNHEALTHY_SHARE_DECAY_US);
  const double learned = share + (unhealthy_share - share) * kept;
  return fmin (fmax (learned, min_unhealthy_share), max_unhealthy_share);
}

double
target_outlier_own_latency_us (const struct target_estimate *e,
                               uint32_t distance_us)
{
  const double own_us = e->latency_us - 2.0 * distance_us;
  return own_us > 0 ? own_us : 0;
}

bool
target_outlier_is_slow (const struct target_estimate *e,
                        const struct peer_baseline *baseline, bool was_slow,
                        uint32_t distance_us)
{
  if (e->latency_samples < SLOW_MIN_SAMPLES || baseline->latency_us <= 0)
    return false;
  const double own_us = target_outlier_own_latency_us (e, distance_us);
  const double ratio = was_slow ? slow_leave : slow_enter;
  return own_us > ratio * baseline->latency_us + SLOW_SLACK_US;
}
