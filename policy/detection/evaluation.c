#include "policy/detection/evaluation.h"

#include <string.h>

enum
{
  OBSERVER_ACTIVE_US = 30000000,   /* maximum age of the latest evidence */
  CORROBORATION_WAIT_US = 5000000, /* for other observers */
  /* How long a hint other than HEALTHY applies. */
  HINT_VALID_US = 5000000,
  EXCLUSION_MIN_US = 10000000,
  EXCLUSION_SILENT_MAX_US = 60000000 /* then the path is used again */
};

#define RESIDUAL_THRESHOLD_SHARE 0.1 /* reached by one or two failures */
#define ELEVATED_THRESHOLD_SHARE 0.25
#define CORROBORATION_THRESHOLD_SHARE 0.35 /* of the other observers */
#define HINT_THRESHOLD_DISCOUNT 0.1        /* by such a hint */
#define OTHERS_HEALTHY_RATIO (-3.0)        /* log-likelihood ratio: 20 to 1 */

/* Whether the observers agree by one test. */
enum agreement
{
  AGREEMENT_UNDECIDED,
  AGREEMENT_TARGET_FAULT,
  AGREEMENT_PATH_FAULT
};

static bool
is_active (const struct detection_observer *observer, int64_t now_us)
{
  return observer->seen_us > 0
         && now_us - observer->seen_us <= OBSERVER_ACTIVE_US;
}

static bool
dc_excluded (const struct detection_target *target, uint64_t dc_key)
{
  for (size_t i = 0; i < target->observer_count; i++)
    if (target->observers[i].is_dc && target->observers[i].key == dc_key)
      return target->observers[i].excluded;
  return false;
}

/* Scores of the hosts or of the dcs by one test. */
struct observer_summary
{
  struct detection_observer *highest; /* NULL: none */
  uint32_t active;                    /* including the excluded ones */
  uint32_t excluded;                  /* of the active ones */
  double others_score;                /* sum of all scores but the highest */
};

static struct observer_summary
summarize_observers (struct detection_target *target, int64_t now_us, int test,
                     bool is_dc)
{
  struct observer_summary summary = { 0 };
  for (size_t i = 0; i < target->observer_count; i++)
    {
      struct detection_observer *observer = &target->observers[i];
      if (observer->is_dc != is_dc || !is_active (observer, now_us))
        continue;
      summary.active++;
      if (observer->excluded || dc_excluded (target, observer->dc_key))
        {
          summary.excluded++;
          continue;
        }
      summary.others_score += observer->scores[test];
      if (summary.highest == NULL
          || observer->scores[test] > summary.highest->scores[test])
        summary.highest = observer;
    }
  if (summary.highest != NULL)
    summary.others_score -= summary.highest->scores[test];
  return summary;
}

/* At the owner, a fault on the path between one host or dc and the target
   looks like a target that fails a share of its requests.  Ejecting it would
   take it from all hosts that reach it.  So the observer with the highest
   score must be confirmed by the others, which had the same time to observe
   the fault; if they observed the target as healthy meanwhile, the path is at
   fault. */
static enum agreement
check_corroboration (struct detection_target *target, int64_t now_us, int test,
                     bool is_dc, double threshold,
                     struct detection_observer **outlier)
{
  struct observer_summary summary
      = summarize_observers (target, now_us, test, is_dc);
  if (summary.active - summary.excluded < 2)
    return AGREEMENT_TARGET_FAULT;
  if (summary.others_score >= CORROBORATION_THRESHOLD_SHARE * threshold)
    return AGREEMENT_TARGET_FAULT;
  struct detection_likelihood others
      = detection_observer_others (summary.highest, test, &target->totals);
  if (others.ratios[test] <= OTHERS_HEALTHY_RATIO)
    {
      /* More than half of the observers can't all have faulty paths. */
      if ((summary.excluded + 1) * 2 > summary.active)
        return AGREEMENT_TARGET_FAULT;
      *outlier = summary.highest;
      return AGREEMENT_PATH_FAULT;
    }
  if (now_us - target->crossed_us < CORROBORATION_WAIT_US)
    return AGREEMENT_UNDECIDED;
  return others.ratios[test] < 0 ? AGREEMENT_UNDECIDED
                                 : AGREEMENT_TARGET_FAULT;
}

static void
exclude (struct detection_target *target, int64_t now_us,
         struct detection_observer *outlier)
{
  outlier->excluded = true;
  outlier->excluded_us = now_us;
  memset (target->scores, 0, sizeof target->scores);
  target->crossed_us = 0;
}

static bool
exclusion_ends (const struct detection_observer *observer, int64_t now_us,
                const struct detection_tests *tests)
{
  if (now_us - observer->excluded_us < EXCLUSION_MIN_US)
    return false;
  if (now_us - observer->seen_us >= EXCLUSION_SILENT_MAX_US)
    return true;
  return detection_observer_score (observer)
         < ELEVATED_THRESHOLD_SHARE * tests->threshold;
}

/* Ends the exclusions that are due and returns whether a path is still at
   fault. */
static bool
review_excluded (struct detection_target *target, int64_t now_us,
                 const struct detection_tests *tests)
{
  bool any = false;
  for (size_t i = 0; i < target->observer_count; i++)
    {
      struct detection_observer *observer = &target->observers[i];
      if (observer->excluded && exclusion_ends (observer, now_us, tests))
        detection_observer_reset (observer);
      any |= observer->excluded;
    }
  return any;
}

/* Finds an observer whose own score reaches the threshold while the others
   observe the target as healthy.  It is found even if the total score stays
   low; otherwise a single host with a faulty path would raise the baseline
   unnoticed. */
static struct detection_observer *
find_path_fault (struct detection_target *target, int64_t now_us,
                 double threshold)
{
  struct detection_observer *outlier = NULL;
  for (int test = 0; test < DETECTION_TESTS; test++)
    for (int is_dc = 0; is_dc <= 1; is_dc++)
      {
        struct observer_summary summary
            = summarize_observers (target, now_us, test, is_dc != 0);
        if (summary.highest != NULL
            && summary.highest->scores[test] >= threshold
            && check_corroboration (target, now_us, test, is_dc != 0,
                                    threshold, &outlier)
                   == AGREEMENT_PATH_FAULT)
          return outlier;
      }
  return NULL;
}

/* Checks the hosts, then the dcs, by every test over the threshold. */
static enum agreement
corroborate (struct detection_target *target, int64_t now_us, double needed,
             double threshold, struct detection_observer **outlier)
{
  enum agreement best = AGREEMENT_UNDECIDED;
  for (int test = 0; test < DETECTION_TESTS; test++)
    {
      if (target->scores[test] < needed)
        continue;
      enum agreement hosts = check_corroboration (target, now_us, test, false,
                                                  threshold, outlier);
      if (hosts == AGREEMENT_PATH_FAULT)
        return hosts;
      enum agreement dcs = check_corroboration (target, now_us, test, true,
                                                threshold, outlier);
      if (dcs == AGREEMENT_PATH_FAULT)
        return dcs;
      if (hosts == AGREEMENT_TARGET_FAULT && dcs == AGREEMENT_TARGET_FAULT)
        best = AGREEMENT_TARGET_FAULT;
    }
  return best;
}

bool
detection_evaluation_residual (const struct detection_target *target,
                               const struct detection_tests *tests)
{
  enum detection_reason reason;
  return detection_target_score (target, &reason)
         >= RESIDUAL_THRESHOLD_SHARE * tests->threshold;
}

bool
detection_evaluation_elevated (const struct detection_target *target,
                               const struct detection_tests *tests)
{
  enum detection_reason reason;
  return detection_target_score (target, &reason)
         >= ELEVATED_THRESHOLD_SHARE * tests->threshold;
}

int64_t
detection_evaluation_onset_us (const struct detection_target *target,
                               const struct detection_tests *tests)
{
  int64_t onset_us = 0;
  for (int t = 0; t < DETECTION_TESTS; t++)
    if (target->scores[t] >= (1 - HINT_THRESHOLD_DISCOUNT) * tests->threshold
        && target->run_start_us[t] > onset_us)
      onset_us = target->run_start_us[t];
  return onset_us;
}

static bool
has_recent_hint (const struct detection_target *target, int64_t now_us)
{
  return target->hints_bad > 0 && now_us - target->hint_us < HINT_VALID_US;
}

void
detection_evaluate (struct detection_target *target, int64_t now_us,
                    const struct detection_tests *tests)
{
  bool path_fault = review_excluded (target, now_us, tests);
  target->score = detection_target_score (target, &target->reason);
  if (!tests->ready)
    {
      target->verdict = DETECTION_LEARNING;
      return;
    }
  struct detection_observer *path_outlier
      = find_path_fault (target, now_us, tests->threshold);
  if (path_outlier != NULL)
    {
      exclude (target, now_us, path_outlier);
      target->verdict = DETECTION_PATH_FAULT;
      return;
    }
  bool hint = has_recent_hint (target, now_us);
  double needed = tests->threshold * (hint ? 1 - HINT_THRESHOLD_DISCOUNT : 1);
  if (target->score < needed)
    {
      target->crossed_us = 0;
      bool elevated
          = hint
            || target->score >= ELEVATED_THRESHOLD_SHARE * tests->threshold;
      target->verdict = path_fault ? DETECTION_PATH_FAULT
                        : elevated ? DETECTION_SUSPECT
                                   : DETECTION_GOOD;
      return;
    }
  if (target->crossed_us == 0)
    target->crossed_us = now_us;
  struct detection_observer *outlier = NULL;
  enum agreement agreement
      = corroborate (target, now_us, needed, tests->threshold, &outlier);
  if (agreement == AGREEMENT_PATH_FAULT)
    exclude (target, now_us, outlier);
  target->verdict = agreement == AGREEMENT_PATH_FAULT ? DETECTION_PATH_FAULT
                    : agreement == AGREEMENT_TARGET_FAULT ? DETECTION_BAD
                                                          : DETECTION_SUSPECT;
}
