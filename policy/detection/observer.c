#include "policy/detection/observer.h"

#include <math.h>
#include <string.h>

#include "policy/detection/cusum.h"

#define DECAY_TIME_CONSTANT_US 30e6

static void
decay (struct detection_observer *observer, int64_t now_us)
{
  if (now_us <= observer->seen_us)
    return;
  double factor
      = exp (-(double)(now_us - observer->seen_us) / DECAY_TIME_CONSTANT_US);
  observer->requests *= factor;
  observer->failures *= factor;
  observer->slow *= factor;
}

void
detection_observer_add (struct detection_observer *observer, int64_t now_us,
                        const struct detection_likelihood *likelihood,
                        const struct detection_totals *all, double max_score)
{
  decay (observer, now_us);
  observer->seen_us = now_us;
  observer->requests += likelihood->requests;
  observer->failures += likelihood->failures;
  observer->slow += likelihood->slow;
  for (int t = 0; t < DETECTION_TESTS; t++)
    {
      if (observer->scores[t] <= 0)
        observer->runs[t] = (struct detection_run){
          .own_requests = observer->totals.requests,
          .all_requests = all->requests,
          .own_ratio = observer->totals.ratios[t],
          .all_ratio = all->ratios[t],
        };
      observer->scores[t] = cusum_update (observer->scores[t],
                                          likelihood->ratios[t], max_score);
      observer->totals.ratios[t] += likelihood->ratios[t];
    }
  observer->totals.requests += likelihood->requests;
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
  uint64_t total = all->requests - run->all_requests;
  uint64_t own = observer->totals.requests - run->own_requests;
  struct detection_likelihood others = { 0 };
  others.requests = total > own ? (uint32_t)(total - own) : 0;
  others.ratios[test] = (all->ratios[test] - run->all_ratio)
                        - (observer->totals.ratios[test] - run->own_ratio);
  return others;
}

double
detection_observer_score (const struct detection_observer *observer)
{
  double highest = 0;
  for (int t = 0; t < DETECTION_TESTS; t++)
    if (observer->scores[t] > highest)
      highest = observer->scores[t];
  return highest;
}
