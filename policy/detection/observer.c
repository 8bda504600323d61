#include "policy/detection/observer.h"

#include <math.h>
#include <string.h>

#include "policy/detection/cusum.h"

#define FADE_US 30e6

static void
fade (struct detection_observer *observer, int64_t now_us)
{
  if (now_us <= observer->seen_us)
    return;
  double factor = exp (-(double)(now_us - observer->seen_us) / FADE_US);
  observer->requests *= factor;
  observer->failures *= factor;
  observer->slow *= factor;
}

void
detection_observer_add (struct detection_observer *observer, int64_t now_us,
                        const struct detection_likelihood *weighed,
                        const struct detection_totals *all, double most)
{
  fade (observer, now_us);
  observer->seen_us = now_us;
  observer->requests += weighed->requests;
  observer->failures += weighed->failures;
  observer->slow += weighed->slow;
  for (int t = 0; t < DETECTION_TESTS; t++)
    {
      if (observer->scores[t] <= 0)
        observer->runs[t] = (struct detection_run){
          .own_requests = observer->totals.requests,
          .all_requests = all->requests,
          .own_ratio = observer->totals.ratios[t],
          .all_ratio = all->ratios[t],
        };
      observer->scores[t]
          = cusum_update (observer->scores[t], weighed->ratios[t], most);
      observer->totals.ratios[t] += weighed->ratios[t];
    }
  observer->totals.requests += weighed->requests;
}

void
detection_observer_reset (struct detection_observer *observer)
{
  memset (observer->scores, 0, sizeof observer->scores);
  observer->excluded = false;
}

struct detection_likelihood
detection_observer_others (const struct detection_observer *observer, int test,
                           const struct detection_totals *all)
{
  const struct detection_run *run = &observer->runs[test];
  uint64_t seen = all->requests - run->all_requests;
  uint64_t own = observer->totals.requests - run->own_requests;
  struct detection_likelihood others = { 0 };
  others.requests = seen > own ? (uint32_t)(seen - own) : 0;
  others.ratios[test] = (all->ratios[test] - run->all_ratio)
                        - (observer->totals.ratios[test] - run->own_ratio);
  return others;
}

double
detection_observer_score (const struct detection_observer *observer)
{
  double most = 0;
  for (int t = 0; t < DETECTION_TESTS; t++)
    if (observer->scores[t] > most)
      most = observer->scores[t];
  return most;
}
