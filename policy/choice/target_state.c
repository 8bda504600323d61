#include "policy/choice/target_state.h"

#include <math.h>

#include "policy/limit/limit_share.h"

static const double min_warm_up_factor = 0.1;
/* A target that reports its warm-up time is slower by about this factor. */
static const double declared_min_warm_up_factor = 0.5;

/* A target that has joined is assumed healthy until it has an outcome.
   Otherwise it would always be the worse choice compared with one that has
   just responded, and would never be tried.  The symptom is that added
   targets get no work while the others are full. */
#define NEW_TARGET_P_UNHEALTHY 0.0

struct target_state
target_state_initial (const struct policy_target *config,
                      int64_t warm_up_start_us, int64_t now_us,
                      double p_unhealthy)
{
  struct target_state t = {
    .config = *config,
    .warm_up_start_us = warm_up_start_us,
    .joined_us = now_us,
    .failed_us = INT64_MIN / 2,
    .unsent_us = INT64_MIN / 2,
    .unreachable_us = now_us - TARGET_UNREACHABLE_TTL_US,
    .refilled_us = now_us,
  };
  t.is_new = warm_up_start_us != INT64_MIN;
  target_estimate_init (&t.estimate, now_us,
                        t.is_new ? NEW_TARGET_P_UNHEALTHY : p_unhealthy);
  t.p_unhealthy = t.estimate.p_unhealthy;
  t.failure_rate = t.estimate.failure_rate;
  return t;
}

struct target_state
target_state_with_config (const struct target_state *old,
                          const struct policy_target *config, int64_t now_us)
{
  struct target_state t = *old;
  if (target_state_warm_up_factor (&t, now_us) >= 1)
    t.warm_up_start_us = INT64_MIN;
  if (config->accepts_work && !old->config.accepts_work)
    t.warm_up_start_us = now_us;
  const int64_t warm_up_us = t.config.warm_up_us;
  t.config = *config;
  /* The remaining warm-up time was reported when the target joined, and
     counts from then. */
  if (t.warm_up_start_us != INT64_MIN && warm_up_us >= 0)
    t.config.warm_up_us = warm_up_us;
  return t;
}

bool
target_state_is_eligible (const struct target_state *t)
{
  return t->config.accepts_work && !t->ejected && t->rest_end_us == 0;
}

bool
target_state_is_suspect (const struct target_state *t)
{
  return t->failing || t->slow || t->avoided;
}

enum target_part
target_state_part (const struct target_state *t)
{
  return t->config.is_backup ? PART_BACKUP : PART_SUBSET;
}

static int64_t
warm_up_us (const struct target_state *t)
{
  return t->config.warm_up_us < 0 ? TARGET_WARM_UP_US : t->config.warm_up_us;
}

double
target_state_warm_up_factor (const struct target_state *t, int64_t now_us)
{
  if (t->warm_up_start_us == INT64_MIN || warm_up_us (t) == 0)
    return 1;
  const double min_factor = t->config.warm_up_us < 0
                                ? min_warm_up_factor
                                : declared_min_warm_up_factor;
  const double share = (double)(now_us - t->warm_up_start_us) / warm_up_us (t);
  if (share >= 1)
    return 1;
  return share > min_factor ? share : min_factor;
}

uint32_t
target_state_fair_slots (const struct target_state *t)
{
  const uint32_t fair = t->config.fair_slots;
  return fair > 0 && fair < t->config.slots ? fair : t->config.slots;
}

static struct slot_bounds
slot_bounds_of (const struct target_state *t)
{
  return (struct slot_bounds){ .fair = target_state_fair_slots (t),
                               .max = t->config.slots };
}

uint32_t
target_state_slots (const struct target_state *t)
{
  const struct slot_bounds bounds = slot_bounds_of (t);
  return slot_limit_value (&t->slot_limit, &bounds);
}

void
target_state_adapt_slots (struct target_state *t,
                          const struct slot_response *response)
{
  const struct slot_bounds bounds = slot_bounds_of (t);
  struct slot_response own = *response;
  own.latency_us = fmax (own.latency_us - 2.0 * t->config.distance_us, 1);
  slot_limit_observe (&t->slot_limit, &bounds, &own);
}

static uint32_t
slow_start_slots (const struct target_state *t, int64_t now_us)
{
  return (uint32_t)ceil (t->config.slots
                         * target_state_warm_up_factor (t, now_us));
}

/* Refill the token bucket.
 * @return whether it has a token for a request */
static bool
refill_and_check_tokens (struct target_state *t, int64_t now_us)
{
  if (t->rate_millis == 0)
    return true;
  const double elapsed_us = (double)(now_us - t->refilled_us);
  t->tokens = fmin (t->tokens + elapsed_us * t->rate_millis / 1e9,
                    limit_burst (t->rate_millis));
  t->refilled_us = now_us;
  return t->tokens >= 1;
}

void
target_state_set_rate (struct target_state *t, int64_t now_us,
                       uint32_t rate_millis)
{
  if (t->rate_millis == 0)
    {
      t->tokens = 0;
      t->refilled_us = now_us;
    }
  t->rate_millis = rate_millis;
}

void
target_state_consume_token (struct target_state *t)
{
  if (t->rate_millis > 0)
    t->tokens -= 1;
}

enum target_tier
target_state_tier (struct target_state *t, int64_t now_us)
{
  if (t->warm_up_start_us != INT64_MIN
      && now_us - t->warm_up_start_us >= warm_up_us (t))
    t->warm_up_start_us = INT64_MIN;
  if (!target_state_is_eligible (t) || t->in_flight >= target_state_slots (t)
      || !refill_and_check_tokens (t, now_us))
    return TIER_NONE;
  if (target_state_is_suspect (t))
    return TIER_SUSPECT;
  if (t->in_flight >= slow_start_slots (t, now_us))
    return TIER_WARMING;
  return TIER_HEALTHY;
}

void
target_state_advance (struct target_state *t,
                      const struct peer_baseline *baseline, int64_t now_us)
{
  double peers_us = baseline->latency_us;
  if (peers_us > 0)
    peers_us += 2.0 * t->config.distance_us;
  const double p_unhealthy
      = t->is_new ? NEW_TARGET_P_UNHEALTHY : baseline->unhealthy_share;
  target_estimate_advance (&t->estimate, now_us, peers_us, p_unhealthy);
}

/* Combine the evidence of open attempts with that of ended ones. */
static void
add_open_attempts (struct target_state *t, const struct target_peers *peers,
                   int64_t now_us)
{
  const double usual_us
      = peers->baseline->latency_us + 2.0 * t->config.distance_us;
  const double slowdown = usual_us > 0 ? t->estimate.latency_us / usual_us : 1;
  const struct open_attempts_context context = {
    .latencies = peers->latencies,
    .hang_share = peers->hang_share,
    .slowdown = slowdown > 1 ? slowdown : 1,
    .decay_us = ESTIMATE_STATE_DECAY_US,
  };
  const double odds = open_attempts_odds_factor (&t->open, &context, now_us);
  t->p_unhealthy = target_estimate_p_unhealthy (&t->estimate, odds);
  t->failure_rate = target_estimate_failure_rate (t->p_unhealthy);
}

void
target_state_evaluate (struct target_state *t,
                       const struct target_peers *peers, int64_t now_us)
{
  add_open_attempts (t, peers, now_us);
  t->failing = target_outlier_is_failing (t->p_unhealthy, t->failing,
                                          peers->prefer_faster_detection);
  /* A cold target is slow for a while; slow start limits its load. */
  t->slow = target_state_warm_up_factor (t, now_us) >= 1
            && target_outlier_is_slow (&t->estimate, peers->baseline, t->slow,
                                       t->config.distance_us);
}

void
target_state_note_end (struct target_state *t, int64_t start_us,
                       enum attempt_end end)
{
  const bool failed = end == ATTEMPT_FAILED || end == ATTEMPT_CUT
                      || end == ATTEMPT_TIMED_OUT;
  if (failed && start_us > t->failed_us)
    t->failed_us = start_us;
}

void
target_state_note_remote_use (struct target_state *t, int64_t now_us,
                              enum attempt_end end, int64_t usual_us)
{
  if (end == ATTEMPT_TIMED_OUT)
    return;
  const int64_t started_us = now_us - usual_us;
  if (started_us > t->last_used_us)
    t->last_used_us = started_us;
}

bool
target_state_needs_backup (const struct target_state *t, int64_t now_us)
{
  return t->config.is_backup && now_us - t->failed_us >= TARGET_FAILURE_REST_US
         && now_us - t->unsent_us >= TARGET_UNSENT_REST_US
         && now_us - t->unreachable_us < TARGET_UNREACHABLE_TTL_US;
}
