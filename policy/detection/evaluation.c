#include "policy/detection/evaluation.h"

#include <string.h>

enum
{
  ACTIVE_US = 30000000, /* an observer heard from so lately counts */
  WAIT_US = 5000000,    /* for evidence of other observers */
  HINT_US = 5000000,    /* how long a bad hint matters */
  EXCLUDED_LEAST_US = 10000000,
  EXCLUDED_SILENT_US = 60000000 /* without evidence: try the path again */
};

#define TOUCHED_SHARE 0.1         /* of the threshold: a failure or two */
#define RAISED_SHARE 0.25         /* of the threshold */
#define CONFIRM_SHARE 0.35        /* of the threshold, by other observers */
#define HINT_SHARE 0.1            /* of the threshold, by a bad hint */
#define OTHERS_SAW_IT_WELL (-3.0) /* log-likelihood ratio: 20 to 1 */

/* What one test makes of the observers. */
enum agreement
{
  AGREEMENT_UNCLEAR,
  AGREEMENT_FAULT,
  AGREEMENT_PATH
};

static bool
is_active (const struct detection_observer *observer, int64_t now_us)
{
  return observer->seen_us > 0 && now_us - observer->seen_us <= ACTIVE_US;
}

static bool
dc_excluded (const struct detection_target *target, uint64_t dc_key)
{
  for (size_t i = 0; i < target->observer_count; i++)
    if (target->observers[i].is_dc && target->observers[i].key == dc_key)
      return target->observers[i].excluded;
  return false;
}

/* How the observers of one kind stand on one test. */
struct poll
{
  struct detection_observer *highest; /* NULL: none */
  uint32_t active;                    /* with the excluded ones */
  uint32_t excluded;                  /* of the active ones */
  double others;                      /* scores of all but the highest */
};

static struct poll
poll_observers (struct detection_target *target, int64_t now_us, int test,
                bool is_dc)
{
  struct poll poll = { 0 };
  for (size_t i = 0; i < target->observer_count; i++)
    {
      struct detection_observer *observer = &target->observers[i];
      if (observer->is_dc != is_dc || !is_active (observer, now_us))
        continue;
      poll.active++;
      if (observer->excluded || dc_excluded (target, observer->dc_key))
        {
          poll.excluded++;
          continue;
        }
      poll.others += observer->scores[test];
      if (poll.highest == NULL
          || observer->scores[test] > poll.highest->scores[test])
        poll.highest = observer;
    }
  if (poll.highest != NULL)
    poll.others -= poll.highest->scores[test];
  return poll;
}

/* A fault on the path between one host or dc and the target looks, at the
   owner, like a target that fails a share of its requests.  Ejecting it would
   take it from all who reach it well.  So the highest observer must be
   confirmed by the others, who had the same time to see it; if they saw the
   target well meanwhile, the path is at fault. */
static enum agreement
ask_observers (struct detection_target *target, int64_t now_us, int test,
               bool is_dc, double threshold,
               struct detection_observer **culprit)
{
  struct poll poll = poll_observers (target, now_us, test, is_dc);
  if (poll.active - poll.excluded < 2)
    return AGREEMENT_FAULT;
  if (poll.others >= CONFIRM_SHARE * threshold)
    return AGREEMENT_FAULT;
  struct detection_likelihood others
      = detection_observer_others (poll.highest, test, &target->totals);
  if (others.ratios[test] <= OTHERS_SAW_IT_WELL)
    {
      /* More than half of the observers can't all have bad paths. */
      if ((poll.excluded + 1) * 2 > poll.active)
        return AGREEMENT_FAULT;
      *culprit = poll.highest;
      return AGREEMENT_PATH;
    }
  if (now_us - target->crossed_us < WAIT_US)
    return AGREEMENT_UNCLEAR;
  return others.ratios[test] < 0 ? AGREEMENT_UNCLEAR : AGREEMENT_FAULT;
}

static void
exclude (struct detection_target *target, int64_t now_us,
         struct detection_observer *culprit)
{
  culprit->excluded = true;
  culprit->excluded_us = now_us;
  memset (target->scores, 0, sizeof target->scores);
  target->crossed_us = 0;
}

static bool
includes_again (const struct detection_observer *observer, int64_t now_us,
                const struct detection_tests *tests)
{
  if (now_us - observer->excluded_us < EXCLUDED_LEAST_US)
    return false;
  if (now_us - observer->seen_us >= EXCLUDED_SILENT_US)
    return true;
  return detection_observer_score (observer) < RAISED_SHARE * tests->threshold;
}

/* @return whether a path is still at fault */
static bool
review_excluded (struct detection_target *target, int64_t now_us,
                 const struct detection_tests *tests)
{
  bool any = false;
  for (size_t i = 0; i < target->observer_count; i++)
    {
      struct detection_observer *observer = &target->observers[i];
      if (observer->excluded && includes_again (observer, now_us, tests))
        detection_observer_reset (observer);
      any |= observer->excluded;
    }
  return any;
}

/* An observer whose own score is over the threshold while the others see the
   target well.  Found even where the evidence of all together stays low: one
   blind host of many would else raise what counts as normal, unseen. */
static struct detection_observer *
find_path_fault (struct detection_target *target, int64_t now_us,
                 double threshold)
{
  struct detection_observer *culprit = NULL;
  for (int test = 0; test < DETECTION_TESTS; test++)
    for (int is_dc = 0; is_dc <= 1; is_dc++)
      {
        struct poll poll = poll_observers (target, now_us, test, is_dc != 0);
        if (poll.highest != NULL && poll.highest->scores[test] >= threshold
            && ask_observers (target, now_us, test, is_dc != 0, threshold,
                              &culprit)
                   == AGREEMENT_PATH)
          return culprit;
      }
  return NULL;
}

/* Ask the hosts, then the dcs, on every test over the threshold. */
static enum agreement
agree (struct detection_target *target, int64_t now_us, double needed,
       double threshold, struct detection_observer **culprit)
{
  enum agreement best = AGREEMENT_UNCLEAR;
  for (int test = 0; test < DETECTION_TESTS; test++)
    {
      if (target->scores[test] < needed)
        continue;
      enum agreement hosts
          = ask_observers (target, now_us, test, false, threshold, culprit);
      if (hosts == AGREEMENT_PATH)
        return hosts;
      enum agreement dcs
          = ask_observers (target, now_us, test, true, threshold, culprit);
      if (dcs == AGREEMENT_PATH)
        return dcs;
      if (hosts == AGREEMENT_FAULT && dcs == AGREEMENT_FAULT)
        best = AGREEMENT_FAULT;
    }
  return best;
}

bool
detection_evaluation_residual (const struct detection_target *target,
                               const struct detection_tests *tests)
{
  enum detection_reason reason;
  return detection_target_score (target, &reason)
         >= TOUCHED_SHARE * tests->threshold;
}

bool
detection_evaluation_elevated (const struct detection_target *target,
                               const struct detection_tests *tests)
{
  enum detection_reason reason;
  return detection_target_score (target, &reason)
         >= RAISED_SHARE * tests->threshold;
}

int64_t
detection_evaluation_onset_us (const struct detection_target *target,
                               const struct detection_tests *tests)
{
  int64_t began_us = 0;
  for (int t = 0; t < DETECTION_TESTS; t++)
    if (target->scores[t] >= (1 - HINT_SHARE) * tests->threshold
        && target->run_start_us[t] > began_us)
      began_us = target->run_start_us[t];
  return began_us;
}

static bool
hinted (const struct detection_target *target, int64_t now_us)
{
  return target->hints_bad > 0 && now_us - target->hint_us < HINT_US;
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
  struct detection_observer *blind
      = find_path_fault (target, now_us, tests->threshold);
  if (blind != NULL)
    {
      exclude (target, now_us, blind);
      target->verdict = DETECTION_PATH_FAULT;
      return;
    }
  bool hint = hinted (target, now_us);
  double needed = tests->threshold * (hint ? 1 - HINT_SHARE : 1);
  if (target->score < needed)
    {
      target->crossed_us = 0;
      bool raised = hint || target->score >= RAISED_SHARE * tests->threshold;
      target->verdict = path_fault ? DETECTION_PATH_FAULT
                        : raised   ? DETECTION_SUSPECT
                                   : DETECTION_GOOD;
      return;
    }
  if (target->crossed_us == 0)
    target->crossed_us = now_us;
  struct detection_observer *culprit = NULL;
  enum agreement agreement
      = agree (target, now_us, needed, tests->threshold, &culprit);
  if (agreement == AGREEMENT_PATH)
    exclude (target, now_us, culprit);
  target->verdict = agreement == AGREEMENT_PATH    ? DETECTION_PATH_FAULT
                    : agreement == AGREEMENT_FAULT ? DETECTION_BAD
                                                   : DETECTION_SUSPECT;
}
