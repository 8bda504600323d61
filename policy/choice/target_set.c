#include "policy/choice/target_set.h"

#include <assert.h>
#include <stdlib.h>

#include "base/xmalloc.h"
#include "policy/choice/target_cost.h"

/* Averages over about the last twenty failures. */
static const double hang_share_gain = 0.05;

/* Initial share before any outcome: targets are mostly healthy. */
#define INITIAL_UNHEALTHY_SHARE 0.05

/* Initial share before any failure. */
#define INITIAL_HANG_SHARE 0.5

static void
remove_from_tier (struct target_set *set, struct target_state *t)
{
  if (t->tier == TIER_NONE)
    return;
  struct target_list *list = &set->tiers[t->tier][target_state_part (t)];
  const uint32_t last = list->numbers[--list->count];
  list->numbers[t->tier_index] = last;
  set->targets[last].tier_index = t->tier_index;
  t->tier = TIER_NONE;
}

static void
update_tier (struct target_set *set, int64_t now_us, uint32_t number)
{
  struct target_state *t = &set->targets[number];
  const enum target_tier tier = target_state_tier (t, now_us);
  if (tier == t->tier)
    return;
  remove_from_tier (set, t);
  if (tier == TIER_NONE)
    return;
  t->tier = tier;
  struct target_list *list = &set->tiers[tier][target_state_part (t)];
  t->tier_index = list->count++;
  list->numbers[t->tier_index] = number;
}

static void
evaluate (struct target_set *set, struct target_state *t, int64_t now_us)
{
  const struct target_peers peers = {
    .baseline = &set->baseline,
    .latencies = &set->latencies,
    .hang_share = set->hang_share,
    .prefer_faster_detection = set->prefer_faster_detection,
  };
  const bool was_counted
      = target_state_is_eligible (t) && target_state_is_suspect (t);
  target_state_evaluate (t, &peers, now_us);
  const bool is_counted
      = target_state_is_eligible (t) && target_state_is_suspect (t);
  set->suspects += (uint32_t)is_counted;
  set->suspects -= (uint32_t)was_counted;
}

/* Targets without outcomes have the learned value already, so they are
   skipped and neither speed up nor slow down learning. */
static void
learn_unhealthy_share (struct target_set *set, int64_t elapsed_us)
{
  double sum = 0;
  uint32_t used = 0;
  for (uint32_t i = 0; i < set->count; i++)
    {
      const struct target_state *t = &set->targets[i];
      if (!target_state_is_eligible (t) || t->estimate.samples == 0)
        continue;
      sum += t->estimate.p_unhealthy;
      used++;
    }
  if (used > 0)
    set->baseline.unhealthy_share = target_outlier_learn_unhealthy_share (
        set->baseline.unhealthy_share, sum / used, elapsed_us);
}

static void
measure_baseline (struct target_set *set)
{
  uint32_t used = 0;
  for (uint32_t i = 0; i < set->count; i++)
    {
      const struct target_state *t = &set->targets[i];
      if (target_state_is_eligible (t) && t->estimate.latency_samples > 0)
        set->scratch[used++] = target_outlier_own_latency_us (
            &t->estimate, t->config.distance_us);
    }
  set->baseline.latency_us = target_outlier_median (set->scratch, used);
}

static bool
is_idle (const struct target_set *set, const struct target_state *t,
         int64_t now_us)
{
  const bool may_be_chosen
      = t->tier == TIER_HEALTHY
        || (t->tier == TIER_SUSPECT && !target_set_avoids_suspects (set));
  return may_be_chosen && !t->config.is_backup
         && now_us - t->last_used_us >= TARGET_IDLE_US;
}

static void
refresh_all (struct target_set *set, int64_t now_us)
{
  const int64_t elapsed_us = now_us - set->unhealthy_share_learned_us;
  set->unhealthy_share_learned_us = now_us;
  set->refreshed_us = now_us;
  set->outcomes = 0;
  for (uint32_t i = 0; i < set->count; i++)
    target_state_advance (&set->targets[i], &set->baseline, now_us);
  learn_unhealthy_share (set, elapsed_us);
  measure_baseline (set);
  target_cost_refresh (set);
  usual_latency_update (&set->usual, set->baseline.latency_us, elapsed_us);
  for (uint32_t i = 0; i < set->count; i++)
    {
      evaluate (set, &set->targets[i], now_us);
      update_tier (set, now_us, i);
    }
  set->idle = 0;
  set->fair_slots = 0;
  set->rate_limited = 0;
  for (uint32_t i = 0; i < set->count; i++)
    {
      const struct target_state *t = &set->targets[i];
      set->idle += (uint32_t)is_idle (set, t, now_us);
      if (!target_state_is_eligible (t))
        continue;
      set->fair_slots += target_state_fair_slots (t);
      set->rate_limited += (uint32_t)(t->rate_millis > 0);
    }
}

void
target_set_init (struct target_set *set)
{
  *set = (struct target_set){ .refreshed_us = INT64_MIN / 2,
                              .unreachable_us = INT64_MIN / 2,
                              .baseline
                              = { .unhealthy_share = INITIAL_UNHEALTHY_SHARE },
                              .hang_share = INITIAL_HANG_SHARE };
  latency_histogram_init (&set->latencies);
}

void
target_set_clear (struct target_set *set)
{
  free (set->targets);
  free (set->scratch);
  key_index_clear (&set->index);
  for (int tier = 0; tier < TIER_COUNT; tier++)
    for (int part = 0; part < PART_COUNT; part++)
      free (set->tiers[tier][part].numbers);
  target_set_init (set);
}

static void
add_target (struct target_set *set, const struct target_state *state,
            uint32_t number)
{
  struct target_state *t = &set->targets[number];
  *t = *state;
  if (t->config.slots == 0)
    t->config.slots = 1;
  t->tier = TIER_NONE;
  set->in_flight += t->in_flight;
  if (t->rest_end_us != 0
      && (set->rest_end_us == 0 || t->rest_end_us < set->rest_end_us))
    set->rest_end_us = t->rest_end_us;
  set->eligible += (uint32_t)target_state_is_eligible (t);
  set->suspects += (uint32_t)(target_state_is_eligible (t)
                              && target_state_is_suspect (t));
  key_index_add (&set->index, t->config.key, number);
}

static void
allocate (struct target_set *set, uint32_t count)
{
  set->count = count;
  set->targets = xcalloc (count + 1, sizeof *set->targets);
  set->scratch = xcalloc (count + 1, sizeof *set->scratch);
  for (int tier = 0; tier < TIER_COUNT; tier++)
    for (int part = 0; part < PART_COUNT; part++)
      set->tiers[tier][part].numbers = xcalloc (count + 1, sizeof (uint32_t));
  key_index_init (&set->index, count);
}

void
target_set_replace (struct target_set *set, int64_t now_us,
                    const struct policy_target *targets, uint32_t count,
                    uint32_t **renumbered)
{
  struct target_set old = *set;
  target_set_init (set);
  set->prefer_faster_detection = old.prefer_faster_detection;
  set->backup_cost_percent = old.backup_cost_percent;
  set->baseline = old.baseline;
  set->cost = old.cost;
  set->median_work_ratio = old.median_work_ratio;
  set->recent_work_ratio = old.recent_work_ratio;
  set->unhealthy_share_learned_us
      = old.count > 0 ? old.unhealthy_share_learned_us : now_us;
  set->latencies = old.latencies;
  set->hang_share = old.hang_share;
  set->usual = old.usual;
  set->unserved = old.unserved;
  allocate (set, count);
  uint32_t *numbers = xcalloc (old.count + 1, sizeof *numbers);
  for (uint32_t i = 0; i < old.count; i++)
    numbers[i] = POLICY_NO_TARGET;
  /* The targets of the first set existed before this host, so they count as
     warm. */
  const int64_t warm_up_start_us = old.count == 0 ? INT64_MIN : now_us;
  for (uint32_t i = 0; i < count; i++)
    {
      const uint32_t old_number = key_index_find (&old.index, targets[i].key);
      struct target_state t
          = target_state_initial (&targets[i], warm_up_start_us, now_us,
                                  set->baseline.unhealthy_share);
      if (old_number != POLICY_NO_TARGET)
        {
          t = target_state_with_config (&old.targets[old_number], &targets[i],
                                        now_us);
          numbers[old_number] = i;
        }
      add_target (set, &t, i);
    }
  refresh_all (set, now_us);
  target_set_clear (&old);
  if (renumbered != NULL)
    *renumbered = numbers;
  else
    free (numbers);
}

/* What changes with the eligibility of a target. */
struct eligibility
{
  uint32_t is_eligible;
  uint32_t is_suspect;
};

static struct eligibility
eligibility_of (const struct target_state *t)
{
  const bool is_eligible = target_state_is_eligible (t);
  return (struct eligibility){
    .is_eligible = is_eligible,
    .is_suspect = is_eligible && target_state_is_suspect (t),
  };
}

static void
update_eligibility (struct target_set *set, int64_t now_us, uint32_t number,
                    struct eligibility before)
{
  const struct eligibility now = eligibility_of (&set->targets[number]);
  set->eligible += now.is_eligible - before.is_eligible;
  set->suspects += now.is_suspect - before.is_suspect;
  update_tier (set, now_us, number);
}

void
target_set_eject (struct target_set *set, int64_t now_us, uint32_t number,
                  bool ejected)
{
  struct target_state *t = &set->targets[number];
  const struct eligibility before = eligibility_of (t);
  if (t->ejected == ejected)
    return;
  t->ejected = ejected;
  if (!ejected)
    t->warm_up_start_us = now_us;
  update_eligibility (set, now_us, number, before);
}

void
target_set_rest (struct target_set *set, int64_t now_us, uint32_t number,
                 int64_t end_us)
{
  struct target_state *t = &set->targets[number];
  const struct eligibility before = eligibility_of (t);
  if (end_us <= t->rest_end_us)
    return;
  t->rest_end_us = end_us;
  if (set->rest_end_us == 0 || end_us < set->rest_end_us)
    set->rest_end_us = end_us;
  update_eligibility (set, now_us, number, before);
}

/* Use the targets again whose rest is over. */
static void
end_rests (struct target_set *set, int64_t now_us)
{
  set->rest_end_us = 0;
  for (uint32_t i = 0; i < set->count; i++)
    {
      struct target_state *t = &set->targets[i];
      const struct eligibility before = eligibility_of (t);
      if (t->rest_end_us == 0)
        continue;
      if (t->rest_end_us > now_us)
        {
          if (set->rest_end_us == 0 || t->rest_end_us < set->rest_end_us)
            set->rest_end_us = t->rest_end_us;
          continue;
        }
      t->rest_end_us = 0;
      update_eligibility (set, now_us, i, before);
    }
}

void
target_set_refresh (struct target_set *set, int64_t now_us)
{
  uint32_t bound = TARGET_REFRESH_OUTCOMES;
  if (set->rest_end_us != 0 && set->rest_end_us <= now_us)
    end_rests (set, now_us);
  if (bound < set->count)
    bound = set->count;
  if (set->outcomes >= bound
      || now_us - set->refreshed_us >= TARGET_REFRESH_US)
    refresh_all (set, now_us);
}

void
target_set_avoid (struct target_set *set, int64_t now_us, uint32_t number,
                  bool avoided)
{
  struct target_state *t = &set->targets[number];
  const uint32_t was_suspect
      = target_state_is_eligible (t) && target_state_is_suspect (t);
  t->avoided = avoided;
  const uint32_t is_suspect
      = target_state_is_eligible (t) && target_state_is_suspect (t);
  set->suspects += is_suspect - was_suspect;
  update_tier (set, now_us, number);
}

void
target_set_limit_rate (struct target_set *set, int64_t now_us, uint32_t number,
                       uint32_t rate_millis)
{
  target_state_set_rate (&set->targets[number], now_us, rate_millis);
  update_tier (set, now_us, number);
}

void
target_set_acquire (struct target_set *set, int64_t now_us, uint32_t number)
{
  struct target_state *t = &set->targets[number];
  assert (target_state_is_eligible (t) && t->in_flight < t->config.slots);
  t->in_flight++;
  target_state_consume_token (t);
  open_attempts_add (&t->open, now_us);
  t->last_used_us = now_us;
  set->in_flight++;
  update_tier (set, now_us, number);
}

static void
count_outcome (struct target_state *t, enum attempt_end end)
{
  if (end == ATTEMPT_CANCELLED)
    return;
  t->requests++;
  t->failures += (uint64_t)(end != ATTEMPT_ANSWERED);
}

/* Learns the share of failures that hang: some targets hang in an episode,
   others reset connections. */
static void
learn_hang_share (struct target_set *set, enum attempt_end end)
{
  if (end == ATTEMPT_TIMED_OUT)
    set->hang_share += hang_share_gain * (1 - set->hang_share);
  else if (end == ATTEMPT_CUT || end == ATTEMPT_FAILED)
    set->hang_share -= hang_share_gain * set->hang_share;
}

double
target_set_hang_probability (const struct target_set *set, double p_unhealthy)
{
  return p_unhealthy * ESTIMATE_UNHEALTHY_FAILURE_RATE * set->hang_share;
}

uint32_t
target_set_available (const struct target_set *set, enum target_tier tier)
{
  return set->tiers[tier][PART_SUBSET].count
         + set->tiers[tier][PART_BACKUP].count;
}

uint32_t
target_set_idle (const struct target_set *set, int64_t now_us, uint32_t n)
{
  for (uint32_t i = 0; i < set->count; i++)
    if (is_idle (set, &set->targets[i], now_us) && n-- == 0)
      return i;
  return POLICY_NO_TARGET;
}

struct target_use
target_set_count_used (const struct target_set *set, int64_t since_us,
                       bool all)
{
  struct target_use use = { 0 };
  for (uint32_t i = 0; i < set->count; i++)
    {
      const struct target_state *t = &set->targets[i];
      if (!target_state_is_eligible (t) || (t->config.is_backup && !all))
        continue;
      use.eligible++;
      use.used += (uint32_t)(t->last_used_us >= since_us);
    }
  return use;
}

void
target_set_release (struct target_set *set, int64_t now_us,
                    const struct policy_outcome *outcome)
{
  struct target_state *t = &set->targets[outcome->target];
  const struct slot_response response = {
    .latency_us = (double)outcome->latency_us,
    .usual_us = set->usual.latency_us,
    .in_flight = t->in_flight,
    .is_busy = set->in_flight > set->fair_slots,
  };
  /* A target that left and came back while attempts were in flight has lost
     their count; their ends must not free slots acquired since. */
  if (t->in_flight > 0)
    {
      t->in_flight--;
      set->in_flight--;
    }
  open_attempts_remove (&t->open, now_us - outcome->latency_us);
  target_state_advance (t, &set->baseline, now_us);
  target_estimate_observe (&t->estimate, outcome->end, outcome->latency_us);
  target_state_note_end (t, now_us - outcome->latency_us, outcome->end);
  if (outcome->end == ATTEMPT_NOT_SENT)
    t->unsent_us = now_us;
  t->is_new = t->is_new && t->estimate.samples == 0;
  count_outcome (t, outcome->end);
  unserved_share_add (&set->unserved, now_us, outcome);
  learn_hang_share (set, outcome->end);
  if (outcome->end == ATTEMPT_ANSWERED)
    {
      latency_histogram_add (&set->latencies, outcome->latency_us);
      target_state_adapt_slots (t, &response);
    }
  set->outcomes++;
  evaluate (set, t, now_us);
  update_tier (set, now_us, outcome->target);
}

bool
target_set_needs_backup (const struct target_set *set, int64_t now_us)
{
  return now_us - set->unreachable_us < TARGET_UNREACHABLE_TTL_US;
}

void
target_set_note_unreachable (struct target_set *set, int64_t now_us,
                             uint32_t number)
{
  set->targets[number].unreachable_us = now_us;
  set->unreachable_us = now_us;
}

void
target_set_observe_remote (struct target_set *set, int64_t now_us,
                           uint32_t number, enum attempt_end end)
{
  struct target_state *t = &set->targets[number];
  target_state_advance (t, &set->baseline, now_us);
  target_estimate_observe_remote (&t->estimate, end);
  unserved_share_add_remote (&set->unserved, now_us, end);
  /* An attempt of another host that timed out began an unknown time ago. */
  if (end != ATTEMPT_TIMED_OUT)
    target_state_note_end (t, now_us, end);
  target_state_note_remote_use (t, now_us, end,
                                (int64_t)set->baseline.latency_us);
  t->is_new = t->is_new && t->estimate.samples == 0;
  evaluate (set, t, now_us);
  update_tier (set, now_us, number);
}

bool
target_set_avoids_suspects (const struct target_set *set)
{
  return set->suspects * 2 <= set->eligible;
}
