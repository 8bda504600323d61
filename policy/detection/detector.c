#include "policy/detection/detector.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "policy/detection/detector_state.h"

/* Log-likelihood ratios h: between two false alarms there are e^h requests or
   more. */
#define THRESHOLD_FEWER_FALSE_EJECTIONS 15.0
#define THRESHOLD_FASTER_DETECTION 12.0

enum
{
  BACKOFF_US = 10000000,
  BACKOFF_MAX_US = 600000000,
  BACKOFF_DECAY_US = 300000000,
  WARM_UP_US = 10000000
};

/* Faulty shares of the tests, or a multiple of the baseline if that is
   higher. */
#define SOME_FAILURES_SHARE 0.1
#define SOME_FAILURES_BASELINE_FACTOR 4.0
#define MANY_FAILURES_SHARE 0.4
#define MANY_FAILURES_BASELINE_FACTOR 3.0
#define SLOW_REQUESTS_SHARE 0.5
#define FAULTY_SHARE_MAX 0.6

static double
faulty_share (double value, double min)
{
  double share = value > min ? value : min;
  return share < FAULTY_SHARE_MAX ? share : FAULTY_SHARE_MAX;
}

void
detection_detector_set_tests (struct detection_detector *detector)
{
  const struct baseline *b = &detector->baseline;
  struct detection_tests *tests = &detector->tests;
  double some = faulty_share (SOME_FAILURES_BASELINE_FACTOR * b->failures,
                              SOME_FAILURES_SHARE);
  double many = faulty_share (MANY_FAILURES_BASELINE_FACTOR * b->failures,
                              MANY_FAILURES_SHARE);
  tests->tests[DETECTION_REASON_SOME_FAILURES]
      = cusum_make (b->failures, some);
  tests->tests[DETECTION_REASON_MANY_FAILURES]
      = cusum_make (b->failures, many);
  tests->tests[DETECTION_REASON_SLOW]
      = cusum_make (b->slow, SLOW_REQUESTS_SHARE);
  tests->slow_bucket = b->slow_bucket;
  tests->ready = b->ready;
  tests->threshold = detector->options.prefer_faster_detection
                         ? THRESHOLD_FASTER_DETECTION
                         : THRESHOLD_FEWER_FALSE_EJECTIONS;
}

static int64_t
or_default (int64_t value, int64_t fallback)
{
  return value > 0 ? value : fallback;
}

void
detection_detector_configure (struct detection_detector *detector,
                              const struct detection_detector_options *options)
{
  detector->options = *options;
  detector->readmission = (struct readmission_options){
    .probe_first = !options->has_repeatable_routes,
    .backoff_us = or_default (options->backoff_us, BACKOFF_US),
    .backoff_max_us = or_default (options->backoff_max_us, BACKOFF_MAX_US),
    .backoff_decay_us
    = or_default (options->backoff_decay_us, BACKOFF_DECAY_US),
    .warm_up_us = or_default (options->warm_up_us, WARM_UP_US),
  };
  detection_detector_set_tests (detector);
}

struct detection_detector *
detection_detector_create (const struct detection_detector_options *options)
{
  struct detection_detector *detector = xcalloc (1, sizeof *detector);
  baseline_init (&detector->baseline);
  detection_detector_configure (detector, options);
  return detector;
}

static void
remove_target (struct detection_detector *detector,
               struct detection_target *target)
{
  HASH_DEL (detector->targets, target);
  detection_target_destroy (target);
}

void
detection_detector_destroy (struct detection_detector *detector)
{
  if (detector == NULL)
    return;
  struct detection_target *target;
  struct detection_target *next;
  HASH_ITER (hh, detector->targets, target, next)
  remove_target (detector, target);
  free (detector->baseline_targets);
  free (detector->order);
  free (detector->eject);
  free (detector->probe);
  free (detector->shares);
  free (detector->reinstate);
  free (detector->paths);
  free (detector);
}

static struct detection_target *
find (const struct detection_detector *detector, uint64_t key)
{
  struct detection_target *target;
  HASH_FIND (hh, detector->targets, &key, sizeof key, target);
  return target;
}

static void
grow_arrays (struct detection_detector *d, size_t count)
{
  if (count <= d->capacity)
    return;
  d->capacity = count;
  /* NOLINTNEXTLINE(bugprone-sizeof-expression): an array of pointers */
  d->baseline_targets
      = xreallocarray (d->baseline_targets, count, sizeof (void *));
  d->order = xreallocarray (d->order, count, sizeof *d->order);
  d->eject = xreallocarray (d->eject, count, sizeof *d->eject);
  d->probe = xreallocarray (d->probe, count, sizeof *d->probe);
  d->shares = xreallocarray (d->shares, count, sizeof *d->shares);
  d->reinstate = xreallocarray (d->reinstate, count, sizeof *d->reinstate);
}

void
detection_detector_set_targets (struct detection_detector *detector,
                                int64_t now_us, const uint64_t *keys,
                                size_t count)
{
  struct detection_target *target;
  struct detection_target *next;
  for (target = detector->targets; target != NULL; target = target->hh.next)
    target->index = SIZE_MAX;
  for (size_t i = 0; i < count; i++)
    {
      target = find (detector, keys[i]);
      if (target == NULL)
        {
          target = detection_target_create (keys[i], now_us);
          HASH_ADD (hh, detector->targets, key, sizeof target->key, target);
        }
      target->index = i;
    }
  HASH_ITER (hh, detector->targets, target, next)
  if (target->index == SIZE_MAX)
    remove_target (detector, target);
  grow_arrays (detector, count);
}

static void
update_trial (struct detection_detector *detector, int64_t now_us,
              struct detection_target *target,
              const struct detection_evidence *evidence)
{
  struct detection_likelihood likelihood = detection_target_likelihood (
      target, now_us, &detector->tests, evidence);
  uint32_t bad = likelihood.failures + likelihood.slow;
  uint32_t good = likelihood.requests > bad ? likelihood.requests - bad : 0;
  readmission_trial_update (&target->readmission, &detector->readmission,
                            now_us, good, likelihood.ratios);
}

void
detection_detector_report (struct detection_detector *detector, int64_t now_us,
                           uint64_t host_key, uint64_t dc_key,
                           const struct detection_report_item *items,
                           size_t count)
{
  for (size_t i = 0; i < count; i++)
    {
      struct detection_target *target = find (detector, items[i].target_key);
      const struct detection_evidence *evidence = &items[i].evidence;
      if (target == NULL || evidence->failures > evidence->requests)
        continue;
      if (target->seen_us == 0)
        target->cold_until_us = now_us + detector->readmission.warm_up_us;
      if (detection_target_serving (target))
        detection_target_add (target, now_us, host_key, dc_key,
                              &detector->tests, evidence);
      else if (target->readmission.state == DETECTION_ON_TRIAL)
        update_trial (detector, now_us, target, evidence);
    }
}

void
detection_detector_hint (struct detection_detector *detector, int64_t now_us,
                         uint64_t target_key, enum detection_hint hint)
{
  struct detection_target *target = find (detector, target_key);
  if (target == NULL)
    return;
  if (hint == DETECTION_HINT_HEALTHY)
    {
      target->hints_bad = 0;
      return;
    }
  target->hint_us = now_us;
  if (target->hints_bad < UINT32_MAX)
    target->hints_bad++;
}

void
detection_detector_probe_result (struct detection_detector *detector,
                                 int64_t now_us, uint64_t target_key, bool ok)
{
  struct detection_target *target = find (detector, target_key);
  if (target != NULL)
    readmission_probe_result (&target->readmission, &detector->readmission,
                              now_us, ok);
}

void
detection_detector_ejected (struct detection_detector *detector,
                            int64_t now_us, uint64_t target_key)
{
  struct detection_target *target = find (detector, target_key);
  if (target == NULL || !detection_target_serving (target))
    return;
  if (target->verdict == DETECTION_BAD)
    target->bad_ejected_us = now_us;
  readmission_eject (&target->readmission, &detector->readmission, now_us);
  detection_target_reset (target);
}

void
detection_detector_reinstated (struct detection_detector *detector,
                               int64_t now_us, uint64_t target_key)
{
  struct detection_target *target = find (detector, target_key);
  if (target == NULL || detection_target_serving (target))
    return;
  readmission_reinstate (&target->readmission, &detector->readmission, now_us);
  detection_target_reset (target);
  target->cold_until_us = now_us + detector->readmission.warm_up_us;
  target->bad_ejected_us = 0;
}

static void
explain_dcs (const struct detection_target *target,
             struct detection_explanation *e)
{
  for (size_t i = 0; i < target->observer_count; i++)
    {
      const struct detection_observer *observer = &target->observers[i];
      if (observer->excluded)
        {
          e->path_dc_key = observer->dc_key;
          e->path_host_key = observer->is_dc ? 0 : observer->key;
        }
      if (!observer->is_dc || e->dc_count == DETECTION_DCS_MAX)
        continue;
      e->dcs[e->dc_count++] = (struct detection_dc_evidence){
        .dc_key = observer->key,
        .requests = (uint32_t)observer->requests,
        .failures = (uint32_t)observer->failures,
        .slow = (uint32_t)observer->slow,
        .score = detection_observer_score (observer),
      };
    }
}

bool
detection_detector_explain (const struct detection_detector *detector,
                            int64_t now_us, uint64_t target_key,
                            struct detection_explanation *explanation)
{
  const struct detection_target *target = find (detector, target_key);
  if (target == NULL)
    return false;
  const struct readmission *r = &target->readmission;
  *explanation = (struct detection_explanation){
    .state = r->state,
    .state_since_us = r->since_us,
    .verdict = target->verdict,
    .reason = target->reason,
    .score = target->score,
    .threshold = detector->tests.threshold,
    .baseline_failures = detector->baseline.failures,
    .slow_us
    = detection_evidence_bucket_min_us (detector->baseline.slow_bucket),
    .baseline_slow = detector->baseline.slow,
    .hints_bad = target->hints_bad,
    .flaps = r->flaps,
    .next_us = r->until_us,
    .share_permille
    = readmission_share_permille (r, &detector->readmission, now_us),
    .good_needed = readmission_good_needed (r),
  };
  explain_dcs (target, explanation);
  return true;
}
