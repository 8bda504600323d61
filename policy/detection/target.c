#include "policy/detection/target.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

/* Maximum score, in thresholds.  It bounds how long the score of a recovered
   target stays above the threshold. */
#define SCORE_MAX_THRESHOLDS 1.5

struct detection_target *
detection_target_create (uint64_t key, int64_t now_us)
{
  struct detection_target *target = xcalloc (1, sizeof *target);
  target->key = key;
  target->reason = DETECTION_REASON_NONE;
  readmission_init (&target->readmission, now_us);
  return target;
}

void
detection_target_destroy (struct detection_target *target)
{
  if (target == NULL)
    return;
  free (target->observers);
  free (target);
}

bool
detection_target_serving (const struct detection_target *target)
{
  return target->readmission.state == DETECTION_IN_SERVICE
         || target->readmission.state == DETECTION_WARMING;
}

void
detection_target_reset (struct detection_target *target)
{
  memset (target->scores, 0, sizeof target->scores);
  memset (&target->history, 0, sizeof target->history);
  target->crossed_us = 0;
  for (size_t i = 0; i < target->observer_count; i++)
    detection_observer_reset (&target->observers[i]);
}

/* Returns the index of an observer, adding it if needed.  Hosts beyond the
   maximum share entries: they count as one observer, which gives their
   evidence less weight, never more. */
static size_t
find_observer (struct detection_target *target, uint64_t key, uint64_t dc_key,
               bool is_dc)
{
  size_t same_kind = 0;
  size_t shared = 0;
  size_t max_observers = is_dc ? DETECTION_DCS_MAX : DETECTION_HOSTS_MAX;
  for (size_t i = 0; i < target->observer_count; i++)
    {
      const struct detection_observer *observer = &target->observers[i];
      if (observer->is_dc != is_dc)
        continue;
      if (observer->key == key)
        return i;
      if (same_kind++ == key % max_observers)
        shared = i;
    }
  if (same_kind == max_observers)
    return shared;
  target->observers
      = xreallocarray (target->observers, target->observer_count + 1,
                       sizeof *target->observers);
  target->observers[target->observer_count] = (struct detection_observer){
    .key = key,
    .dc_key = dc_key,
    .is_dc = is_dc,
  };
  return target->observer_count++;
}

struct detection_likelihood
detection_target_likelihood (const struct detection_target *target,
                             int64_t now_us,
                             const struct detection_tests *tests,
                             const struct detection_evidence *evidence)
{
  struct detection_likelihood likelihood = {
    .requests = evidence->requests,
    .failures = evidence->failures,
    .slow = detection_evidence_slow (evidence, tests->slow_bucket),
  };
  uint32_t good = evidence->requests - evidence->failures;
  for (int t = 0; t < DETECTION_REASON_SLOW; t++)
    likelihood.ratios[t]
        = cusum_ratio (&tests->tests[t], evidence->failures, good);
  uint32_t latencies = detection_evidence_latencies (evidence);
  if (now_us >= target->cold_until_us)
    likelihood.ratios[DETECTION_REASON_SLOW]
        = cusum_ratio (&tests->tests[DETECTION_REASON_SLOW], likelihood.slow,
                       latencies - likelihood.slow);
  return likelihood;
}

static void
record_report_times (struct detection_target *target, int64_t now_us,
                     uint32_t requests)
{
  enum
  {
    KEPT_REQUESTS = DETECTION_REFERENCE_REQUESTS
  };
  int64_t *times = target->reported_us;
  uint32_t added = requests < KEPT_REQUESTS ? requests : KEPT_REQUESTS;
  memmove (times + added, times, (KEPT_REQUESTS - added) * sizeof *times);
  for (uint32_t i = 0; i < added; i++)
    times[i] = now_us;
}

bool
detection_target_reported_since (const struct detection_target *target,
                                 int64_t then_us)
{
  return target->reported_us[DETECTION_REFERENCE_REQUESTS - 1] >= then_us;
}

void
detection_target_add (struct detection_target *target, int64_t now_us,
                      uint64_t host_key, uint64_t dc_key,
                      const struct detection_tests *tests,
                      const struct detection_evidence *evidence)
{
  size_t host = find_observer (target, host_key, dc_key, false);
  size_t dc = find_observer (target, dc_key, dc_key, true);
  bool excluded
      = target->observers[host].excluded || target->observers[dc].excluded;
  target->seen_us = now_us;
  if (!excluded)
    baseline_target_add (&target->history, evidence);
  if (!tests->ready)
    return;
  struct detection_likelihood likelihood
      = detection_target_likelihood (target, now_us, tests, evidence);
  double max_score = SCORE_MAX_THRESHOLDS * tests->threshold;
  detection_observer_add (&target->observers[host], now_us, &likelihood,
                          &target->totals, max_score);
  detection_observer_add (&target->observers[dc], now_us, &likelihood,
                          &target->totals, max_score);
  if (excluded)
    return;
  record_report_times (target, now_us, likelihood.requests);
  target->totals.requests += likelihood.requests;
  for (int t = 0; t < DETECTION_TESTS; t++)
    {
      target->totals.ratios[t] += likelihood.ratios[t];
      if (target->scores[t] <= 0)
        target->run_start_us[t] = now_us;
      target->scores[t]
          = cusum_update (target->scores[t], likelihood.ratios[t], max_score);
    }
}

double
detection_target_score (const struct detection_target *target,
                        enum detection_reason *reason)
{
  double highest = 0;
  *reason = DETECTION_REASON_NONE;
  for (int t = 0; t < DETECTION_TESTS; t++)
    if (target->scores[t] > highest)
      {
        highest = target->scores[t];
        *reason = (enum detection_reason)t;
      }
  return highest;
}
