#include "policy/detection/detector.h"

#include <stdlib.h>

#include "base/xmalloc.h"
#include "policy/detection/detector_state.h"
#include "policy/detection/evaluation.h"

enum
{
  LEARN_INTERVAL_US = 1000000,
  PEER_EVIDENCE_WAIT_US = 5000000, /* maximum wait */
  UPSTREAM_HOLD_US = 5000000,      /* after most targets were last elevated */
  RECENT_MAX_AGE_US = 30000000     /* of evidence and ejections */
};

/* Learns the baseline from the targets in service and decays their history. */
static void
update_baseline (struct detection_detector *detector, int64_t now_us)
{
  int64_t elapsed_us = now_us - detector->decayed_us;
  if (detector->decayed_us != 0 && elapsed_us < LEARN_INTERVAL_US)
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
is_recent (int64_t then_us, int64_t now_us)
{
  return then_us > 0 && now_us - then_us <= RECENT_MAX_AGE_US;
}

/* Numbers of targets with recent evidence and of those affected by a fault. */
struct target_summary
{
  size_t reporting;
  size_t elevated;
  size_t healthy; /* reported since a given time, with no residual score */
  size_t bad;
};

static void
evaluate_all (struct detection_detector *detector, int64_t now_us)
{
  for (struct detection_target *target = detector->targets; target != NULL;
       target = target->hh.next)
    {
      readmission_tick (&target->readmission, &detector->readmission, now_us);
      if (detection_target_serving (target))
        detection_evaluate (target, now_us, &detector->tests);
    }
}

static struct target_summary
count_targets (const struct detection_detector *detector, int64_t now_us,
               int64_t then_us)
{
  struct target_summary summary = { 0 };
  for (const struct detection_target *target = detector->targets;
       target != NULL; target = target->hh.next)
    {
      if (!detection_target_serving (target))
        {
          bool recent = is_recent (target->bad_ejected_us, now_us);
          summary.reporting += recent;
          summary.elevated += recent;
          continue;
        }
      bool elevated = detection_evaluation_elevated (target, &detector->tests);
      summary.reporting += is_recent (target->seen_us, now_us);
      summary.elevated += elevated;
      summary.healthy
          += !detection_evaluation_residual (target, &detector->tests)
             && detection_target_reported_since (target, then_us);
      summary.bad += target->verdict == DETECTION_BAD;
    }
  return summary;
}

/* If an upstream of the targets fails, or the requests themselves are bad, all
   targets show it at once; ejecting some would only load the rest.  Scores
   cross the threshold one after the other, so the first target to cross is
   compared with the others: half of them must have been observed as healthy
   since its fault began.  The verdict waits for reports on that many, but only
   for a limited time.  A single target has no peers to compare it with.
   @return whether most of the others are elevated, too */
static bool
compare_with_peers (const struct detection_detector *detector, int64_t now_us,
                    struct detection_target *target)
{
  int64_t onset_us = detection_evaluation_onset_us (target, &detector->tests);
  struct target_summary summary = count_targets (detector, now_us, onset_us);
  size_t peers = summary.reporting > 0 ? summary.reporting - 1 : 0;
  size_t elevated = summary.elevated > 0 ? summary.elevated - 1 : 0;
  if (peers == 0 || elevated * 2 > peers)
    return true;
  if (summary.healthy * 2 < peers
      && now_us - target->crossed_us < PEER_EVIDENCE_WAIT_US)
    target->verdict = DETECTION_SUSPECT;
  return false;
}

static bool
is_upstream (const struct detection_detector *detector, int64_t now_us)
{
  struct target_summary summary = count_targets (detector, now_us, now_us);
  if (summary.bad == 0)
    return now_us < detector->upstream_until_us
           && summary.elevated * 2 > summary.reporting;
  for (struct detection_target *target = detector->targets; target != NULL;
       target = target->hh.next)
    if (detection_target_serving (target) && target->verdict == DETECTION_BAD
        && compare_with_peers (detector, now_us, target))
      return true;
  return false;
}

/* During an upstream fault, scores are limited so that each target must show
   new failures afterwards: one that recovers last is not ejected for the fault
   common to all. */
static void
cap_scores (struct detection_detector *detector)
{
  double max_score = detector->tests.threshold / 2;
  for (struct detection_target *target = detector->targets; target != NULL;
       target = target->hh.next)
    {
      if (!detection_target_serving (target))
        continue;
      for (int t = 0; t < DETECTION_TESTS; t++)
        if (target->scores[t] > max_score)
          target->scores[t] = max_score;
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
  update_baseline (detector, now_us);
  evaluate_all (detector, now_us);
  if (is_upstream (detector, now_us))
    detector->upstream_until_us = now_us + UPSTREAM_HOLD_US;
  struct detection_decisions decisions = {
    .upstream_fault = now_us < detector->upstream_until_us,
  };
  if (decisions.upstream_fault)
    cap_scores (detector);
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
