#include "policy/detection/detector.h"

#include <stdlib.h>

#include "base/xmalloc.h"
#include "policy/detection/detector_state.h"
#include "policy/detection/evaluation.h"

enum
{
  LEARN_EVERY_US = 1000000,
  OTHERS_WAIT_US = 5000000,   /* most wait for news of other targets */
  UPSTREAM_HOLD_US = 5000000, /* after most targets last looked bad */
  LATE_US = 30000000 /* evidence and convictions so new speak of now */
};

/* Let the memories fade and learn from the targets in service. */
static void
learn (struct detection_detector *detector, int64_t now_us)
{
  int64_t elapsed_us = now_us - detector->decayed_us;
  if (detector->decayed_us != 0 && elapsed_us < LEARN_EVERY_US)
    return;
  size_t count = 0;
  for (struct detection_target *target = detector->targets; target != NULL;
       target = target->hh.next)
    {
      if (!detection_target_serving (target))
        continue;
      detector->baseline_targets[count++] = &target->history;
    }
  if (count > 0)
    baseline_learn (&detector->baseline, now_us, detector->baseline_targets,
                    count, detector->order);
  if (detector->decayed_us != 0)
    for (struct detection_target *target = detector->targets; target != NULL;
         target = target->hh.next)
      baseline_target_decay (&target->history, elapsed_us);
  detector->decayed_us = now_us;
  detection_detector_set_tests (detector);
}

static bool
is_late (int64_t then_us, int64_t now_us)
{
  return then_us > 0 && now_us - then_us <= LATE_US;
}

/* How many targets there is news of, and how many of them look bad. */
struct census
{
  size_t heard;
  size_t raised;
  size_t cleared; /* heard of since a given time, with no failure left */
  size_t bad;
};

static void
judge_all (struct detection_detector *detector, int64_t now_us)
{
  for (struct detection_target *target = detector->targets; target != NULL;
       target = target->hh.next)
    {
      readmission_tick (&target->readmission, &detector->readmission, now_us);
      if (detection_target_serving (target))
        detection_evaluate (target, now_us, &detector->tests);
    }
}

static struct census
count_targets (const struct detection_detector *detector, int64_t now_us,
               int64_t then_us)
{
  struct census census = { 0 };
  for (const struct detection_target *target = detector->targets;
       target != NULL; target = target->hh.next)
    {
      if (!detection_target_serving (target))
        {
          bool late = is_late (target->bad_ejected_us, now_us);
          census.heard += late;
          census.raised += late;
          continue;
        }
      bool raised = detection_evaluation_elevated (target, &detector->tests);
      census.heard += is_late (target->seen_us, now_us);
      census.raised += raised;
      census.cleared
          += !detection_evaluation_residual (target, &detector->tests)
             && detection_target_reported_since (target, then_us);
      census.bad += target->verdict == DETECTION_BAD;
    }
  return census;
}

/* When what is behind the targets fails, or the requests are bad, all look
   bad together; taking some out would only load the rest.  Scores cross the
   threshold one after the other, so the first to cross is held against the
   others: half of them must have been seen well since its fault began.  Until
   as many have been heard of, it waits, but not for long.  A lone target has
   nothing to be compared with.
   @return whether most of the others look bad, too */
static bool
compare_with_others (const struct detection_detector *detector, int64_t now_us,
                     struct detection_target *target)
{
  int64_t began_us = detection_evaluation_onset_us (target, &detector->tests);
  struct census census = count_targets (detector, now_us, began_us);
  size_t others = census.heard > 0 ? census.heard - 1 : 0;
  size_t raised = census.raised > 0 ? census.raised - 1 : 0;
  if (others == 0 || raised * 2 > others)
    return true;
  if (census.cleared * 2 < others
      && now_us - target->crossed_us < OTHERS_WAIT_US)
    target->verdict = DETECTION_SUSPECT;
  return false;
}

static bool
is_upstream (const struct detection_detector *detector, int64_t now_us)
{
  struct census census = count_targets (detector, now_us, now_us);
  if (census.bad == 0)
    return now_us < detector->upstream_until_us
           && census.raised * 2 > census.heard;
  for (struct detection_target *target = detector->targets; target != NULL;
       target = target->hh.next)
    if (detection_target_serving (target) && target->verdict == DETECTION_BAD
        && compare_with_others (detector, now_us, target))
      return true;
  return false;
}

/* While the fault is upstream, scores stay low enough that each target must
   be seen failing afresh afterwards: one that recovers last isn't ejected
   for what was common to all. */
static void
excuse_all (struct detection_detector *detector)
{
  double most = detector->tests.threshold / 2;
  for (struct detection_target *target = detector->targets; target != NULL;
       target = target->hh.next)
    {
      if (!detection_target_serving (target))
        continue;
      for (int t = 0; t < DETECTION_TESTS; t++)
        if (target->scores[t] > most)
          target->scores[t] = most;
      target->crossed_us = 0;
      if (detection_evaluation_elevated (target, &detector->tests))
        target->verdict = DETECTION_UPSTREAM_FAULT;
    }
}

static int
compare_ejections (const void *a, const void *b)
{
  const struct detection_ejection *first = a;
  const struct detection_ejection *second = b;
  if (first->score != second->score)
    return first->score > second->score ? -1 : 1;
  return first->target_key < second->target_key ? -1 : 1;
}

static void
add_path (struct detection_detector *detector,
          struct detection_decisions *decisions,
          const struct detection_path *path)
{
  if (decisions->path_count == detector->path_capacity)
    {
      detector->path_capacity = 2 * detector->path_capacity + 8;
      detector->paths = xreallocarray (
          detector->paths, detector->path_capacity, sizeof *detector->paths);
    }
  detector->paths[decisions->path_count++] = *path;
}

static void
collect_paths (struct detection_detector *detector,
               const struct detection_target *target,
               struct detection_decisions *decisions)
{
  for (size_t i = 0; i < target->observer_count; i++)
    {
      const struct detection_observer *observer = &target->observers[i];
      if (!observer->excluded)
        continue;
      struct detection_path path = {
        .target_key = target->key,
        .dc_key = observer->dc_key,
        .host_key = observer->is_dc ? 0 : observer->key,
      };
      add_path (detector, decisions, &path);
    }
}

static void
collect (struct detection_detector *detector, int64_t now_us,
         const struct detection_target *target,
         struct detection_decisions *decisions)
{
  const struct readmission *r = &target->readmission;
  if (detection_target_serving (target) && target->verdict == DETECTION_BAD)
    detector->eject[decisions->eject_count++] = (struct detection_ejection){
      .target_key = target->key,
      .reason = target->reason,
      .score = target->score,
      .threshold = detector->tests.threshold,
    };
  if (r->state == DETECTION_PROBING)
    detector->probe[decisions->probe_count++] = target->key;
  if (r->state == DETECTION_ON_TRIAL || r->state == DETECTION_WARMING)
    detector->shares[decisions->share_count++] = (struct detection_share){
      .target_key = target->key,
      .state = r->state,
      .share_permille
      = readmission_share_permille (r, &detector->readmission, now_us),
    };
  if (readmission_trial_passed (r))
    detector->reinstate[decisions->reinstate_count++] = target->key;
  collect_paths (detector, target, decisions);
}

struct detection_decisions
detection_detector_step (struct detection_detector *detector, int64_t now_us)
{
  learn (detector, now_us);
  judge_all (detector, now_us);
  if (is_upstream (detector, now_us))
    detector->upstream_until_us = now_us + UPSTREAM_HOLD_US;
  struct detection_decisions decisions = {
    .upstream_fault = now_us < detector->upstream_until_us,
  };
  if (decisions.upstream_fault)
    excuse_all (detector);
  for (const struct detection_target *target = detector->targets;
       target != NULL; target = target->hh.next)
    collect (detector, now_us, target, &decisions);
  qsort (detector->eject, decisions.eject_count, sizeof *detector->eject,
         compare_ejections);
  decisions.eject = detector->eject;
  decisions.probe = detector->probe;
  decisions.shares = detector->shares;
  decisions.reinstate = detector->reinstate;
  decisions.paths = detector->paths;
  return decisions;
}
