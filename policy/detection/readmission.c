#include "policy/detection/readmission.h"

#include <string.h>

enum
{
  PROBES_TO_PASS = 3,           /* consecutive successes */
  TRIAL_GOOD_TO_PASS = 30,      /* successful requests */
  TRIAL_GOOD_AFTER_PROBES = 10, /* each risks an unrepeatable request */
  TRIAL_SHARE_MIN_PERMILLE = 50,
  TRIAL_SHARE_MAX_PERMILLE = 400,
  TRIAL_SHARE_DOUBLING_GOOD = 8, /* successful requests */
  PROBED_TRIAL_SHARE_PERMILLE = 20,
  FULL_SHARE_PERMILLE = 1000,
  FLAPS_MAX = 30
};

#define TRIAL_FAIL_SCORE 6.0
#define TRIAL_PASS_SCORE_LIMIT 1.5

void
readmission_init (struct readmission *r, int64_t now_us)
{
  *r = (struct readmission){
    .state = DETECTION_IN_SERVICE,
    .since_us = now_us,
    .flap_decay_us = now_us,
  };
}

static void
set_state (struct readmission *r, enum detection_state state, int64_t now_us)
{
  r->state = state;
  r->since_us = now_us;
  r->until_us = 0;
}

static int64_t
backoff (const struct readmission *r,
         const struct readmission_options *options)
{
  int64_t wait = options->backoff_us;
  for (uint32_t i = 1; i < r->flaps && wait < options->backoff_max_us; i++)
    wait *= 2;
  return wait < options->backoff_max_us ? wait : options->backoff_max_us;
}

void
readmission_eject (struct readmission *r,
                   const struct readmission_options *options, int64_t now_us)
{
  if (r->state != DETECTION_IN_SERVICE && r->state != DETECTION_WARMING)
    return;
  if (r->flaps < FLAPS_MAX)
    r->flaps++;
  set_state (r, DETECTION_EJECTED, now_us);
  r->until_us = now_us + backoff (r, options);
}

void
readmission_reinstate (struct readmission *r,
                       const struct readmission_options *options,
                       int64_t now_us)
{
  if (r->state == DETECTION_IN_SERVICE || r->state == DETECTION_WARMING)
    return;
  set_state (r, DETECTION_WARMING, now_us);
  r->until_us = now_us + options->warm_up_us;
  r->flap_decay_us = now_us;
}

static void
start_trial (struct readmission *r, const struct readmission_options *options,
             int64_t now_us)
{
  set_state (r, DETECTION_ON_TRIAL, now_us);
  r->trial_good = 0;
  r->trial_needed
      = options->probe_first ? TRIAL_GOOD_AFTER_PROBES : TRIAL_GOOD_TO_PASS;
  memset (r->trial_scores, 0, sizeof r->trial_scores);
}

static void
end_backoff (struct readmission *r, const struct readmission_options *options,
             int64_t now_us)
{
  if (!options->probe_first)
    {
      start_trial (r, options, now_us);
      return;
    }
  set_state (r, DETECTION_PROBING, now_us);
  r->probes_good = 0;
}

static void
decay_flaps (struct readmission *r, const struct readmission_options *options,
             int64_t now_us)
{
  while (r->flaps > 0
         && now_us - r->flap_decay_us >= options->backoff_decay_us)
    {
      r->flaps--;
      r->flap_decay_us += options->backoff_decay_us;
    }
}

void
readmission_tick (struct readmission *r,
                  const struct readmission_options *options, int64_t now_us)
{
  if (r->state == DETECTION_EJECTED && now_us >= r->until_us)
    end_backoff (r, options, now_us);
  else if (r->state == DETECTION_WARMING && now_us >= r->until_us)
    set_state (r, DETECTION_IN_SERVICE, now_us);
  if (r->state == DETECTION_IN_SERVICE)
    decay_flaps (r, options, now_us);
}

void
readmission_probe_result (struct readmission *r,
                          const struct readmission_options *options,
                          int64_t now_us, bool ok)
{
  if (r->state != DETECTION_PROBING)
    return;
  r->probes_good = ok ? r->probes_good + 1 : 0;
  if (r->probes_good >= PROBES_TO_PASS)
    start_trial (r, options, now_us);
}

static void
fail_trial (struct readmission *r, const struct readmission_options *options,
            int64_t now_us)
{
  if (r->flaps < FLAPS_MAX)
    r->flaps++;
  set_state (r, DETECTION_EJECTED, now_us);
  r->until_us = now_us + backoff (r, options);
}

bool
readmission_trial_update (struct readmission *r,
                          const struct readmission_options *options,
                          int64_t now_us, uint32_t good,
                          const double ratios[DETECTION_TESTS])
{
  if (r->state != DETECTION_ON_TRIAL)
    return false;
  r->trial_good += good;
  bool failed = false;
  for (int t = 0; t < DETECTION_TESTS; t++)
    {
      double sum = r->trial_scores[t] + ratios[t];
      r->trial_scores[t] = sum > 0 ? sum : 0;
      failed |= sum >= TRIAL_FAIL_SCORE;
    }
  if (failed)
    fail_trial (r, options, now_us);
  return failed;
}

bool
readmission_trial_passed (const struct readmission *r)
{
  if (r->state != DETECTION_ON_TRIAL || r->trial_good < r->trial_needed)
    return false;
  for (int t = 0; t < DETECTION_TESTS; t++)
    if (r->trial_scores[t] >= TRIAL_PASS_SCORE_LIMIT)
      return false;
  return true;
}

uint32_t
readmission_good_needed (const struct readmission *r)
{
  if (r->state != DETECTION_ON_TRIAL || r->trial_good >= r->trial_needed)
    return 0;
  return r->trial_needed - r->trial_good;
}

static uint32_t
trial_share (const struct readmission *r,
             const struct readmission_options *options)
{
  if (options->probe_first)
    return PROBED_TRIAL_SHARE_PERMILLE;
  uint32_t share = TRIAL_SHARE_MIN_PERMILLE;
  for (uint32_t good = TRIAL_SHARE_DOUBLING_GOOD;
       good <= r->trial_good && share < TRIAL_SHARE_MAX_PERMILLE;
       good += TRIAL_SHARE_DOUBLING_GOOD)
    share *= 2;
  return share;
}

static uint32_t
warm_up_share (const struct readmission *r,
               const struct readmission_options *options, int64_t now_us)
{
  int64_t length = r->until_us - r->since_us;
  if (length <= 0 || now_us >= r->until_us)
    return FULL_SHARE_PERMILLE;
  uint32_t first = options->probe_first ? PROBED_TRIAL_SHARE_PERMILLE
                                        : TRIAL_SHARE_MAX_PERMILLE;
  return first
         + (uint32_t)((FULL_SHARE_PERMILLE - first) * (now_us - r->since_us)
                      / length);
}

uint32_t
readmission_share_permille (const struct readmission *r,
                            const struct readmission_options *options,
                            int64_t now_us)
{
  switch (r->state)
    {
    case DETECTION_EJECTED:
    case DETECTION_PROBING:
      return 0;
    case DETECTION_ON_TRIAL:
      return trial_share (r, options);
    case DETECTION_WARMING:
      return warm_up_share (r, options, now_us);
    case DETECTION_IN_SERVICE:
      break;
    }
  return FULL_SHARE_PERMILLE;
}
