#include "policy/choice/target_set.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>

#include "base/xmalloc.h"

enum
{
  FAILING_FADES_US = 1500000, /* some requests of a quiet host */
  FAILING_LEAST_ENDED = 5,
  /* Until the other host tells of its next try. */
  COVER_US = 1200000,
};

/* Of attempts that fail and may be tried elsewhere.  Where one in six fails,
   the second try often does as well, and retries run short. */
static const double unserved_of_repeatable = 0.6;

/* About the last twenty failures count. */
static const double hung_gain = 0.05;

static const double coldest = 0.1;
/* One that says how long it needs is slower by about this. */
static const double coldest_told = 0.5;

/* Before anything was learned: targets are mostly well. */
#define ILL_AT_FIRST 0.05

/* Nor how targets fail. */
#define HUNG_AT_FIRST 0.5

/* Guards a target that has joined against never being tried: compared with
   one that answered a moment ago, one of which nothing is known is always the
   worse choice.  Shows as added targets without work while the others are
   full.  Until something is heard of it, it is taken as well. */
#define ILL_WHEN_NEW 0.0

bool
target_state_is_eligible (const struct target_state *t)
{
  return t->config.accepts_work && !t->ejected;
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
target_state_warmth (const struct target_state *t, int64_t now_us)
{
  if (t->warm_from_us == INT64_MIN || warm_up_us (t) == 0)
    return 1;
  const double least = t->config.warm_up_us < 0 ? coldest : coldest_told;
  const double share = (double)(now_us - t->warm_from_us) / warm_up_us (t);
  if (share >= 1)
    return 1;
  return share > least ? share : least;
}

static uint32_t
slow_start_slots (const struct target_state *t, int64_t now_us)
{
  return (uint32_t)ceil (t->config.slots * target_state_warmth (t, now_us));
}

static enum target_tier
tier_of (const struct target_state *t, int64_t now_us)
{
  if (!target_state_is_eligible (t) || t->in_flight >= t->config.slots)
    return TIER_NONE;
  if (target_state_is_suspect (t))
    return TIER_SUSPECT;
  if (t->in_flight >= slow_start_slots (t, now_us))
    return TIER_WARMING;
  return TIER_CLEAR;
}

static void
unlist (struct target_set *set, struct target_state *t)
{
  if (t->tier == TIER_NONE)
    return;
  struct target_list *list = &set->listed[t->tier][target_state_part (t)];
  const uint32_t last = list->numbers[--list->count];
  list->numbers[t->tier_at] = last;
  set->targets[last].tier_at = t->tier_at;
  t->tier = TIER_NONE;
}

static void
place (struct target_set *set, int64_t now_us, uint32_t number)
{
  struct target_state *t = &set->targets[number];
  if (t->warm_from_us != INT64_MIN
      && now_us - t->warm_from_us >= warm_up_us (t))
    t->warm_from_us = INT64_MIN;
  const enum target_tier tier = tier_of (t, now_us);
  if (tier == t->tier)
    return;
  unlist (set, t);
  if (tier == TIER_NONE)
    return;
  t->tier = tier;
  struct target_list *list = &set->listed[tier][target_state_part (t)];
  t->tier_at = list->count++;
  list->numbers[t->tier_at] = number;
}

/* What attempts without an answer add to what those that ended say. */
static void
weigh_open (const struct target_set *set, struct target_state *t,
            int64_t now_us)
{
  const double usual_us
      = set->baseline.latency_us + 2.0 * t->config.distance_us;
  const double slower = usual_us > 0 ? t->estimate.latency_us / usual_us : 1;
  const struct open_evidence evidence = {
    .times = &set->times,
    .hung = set->hung,
    .slower = slower > 1 ? slower : 1,
    .fades_us = ESTIMATE_SPELL_US,
  };
  const double odds = open_attempts_odds (&t->open, &evidence, now_us);
  t->ill = target_estimate_ill (&t->estimate, odds);
  t->failure = target_estimate_failure (t->ill);
}

static void
judge (struct target_set *set, struct target_state *t, int64_t now_us)
{
  weigh_open (set, t, now_us);
  const bool counted
      = target_state_is_eligible (t) && target_state_is_suspect (t);
  t->failing
      = standing_is_failing (t->ill, t->failing, set->prefer_faster_detection);
  /* A cold target is slow for a while; slow start bounds what it gets. */
  t->slow = target_state_warmth (t, now_us) >= 1
            && standing_is_slow (&t->estimate, &set->baseline, t->slow,
                                 t->config.distance_us);
  const bool counts
      = target_state_is_eligible (t) && target_state_is_suspect (t);
  set->suspects += (uint32_t)counts;
  set->suspects -= (uint32_t)counted;
}

/* Targets that nothing was heard of believe what is learned, so they neither
   hurry nor hinder the learning. */
static void
learn_ill (struct target_set *set, int64_t passed_us)
{
  double sum = 0;
  uint32_t used = 0;
  for (uint32_t i = 0; i < set->count; i++)
    {
      const struct target_state *t = &set->targets[i];
      if (!target_state_is_eligible (t) || t->estimate.samples == 0)
        continue;
      sum += t->estimate.ill;
      used++;
    }
  if (used > 0)
    set->baseline.ill
        = standing_learn_ill (set->baseline.ill, sum / used, passed_us);
}

static void
measure_baseline (struct target_set *set)
{
  uint32_t used = 0;
  for (uint32_t i = 0; i < set->count; i++)
    {
      const struct target_state *t = &set->targets[i];
      if (target_state_is_eligible (t) && t->estimate.latency_samples > 0)
        set->scratch[used++]
            = standing_own_latency_us (&t->estimate, t->config.distance_us);
    }
  set->baseline.latency_us = standing_median (set->scratch, used);
}

static void
advance (struct target_set *set, struct target_state *t, int64_t now_us)
{
  double peers_us = set->baseline.latency_us;
  if (peers_us > 0)
    peers_us += 2.0 * t->config.distance_us;
  const double ill = t->is_new ? ILL_WHEN_NEW : set->baseline.ill;
  target_estimate_advance (&t->estimate, now_us, peers_us, ill);
}

static void
refresh_all (struct target_set *set, int64_t now_us)
{
  const int64_t passed_us = now_us - set->learned_us;
  set->learned_us = now_us;
  set->refreshed_us = now_us;
  set->outcomes = 0;
  for (uint32_t i = 0; i < set->count; i++)
    advance (set, &set->targets[i], now_us);
  learn_ill (set, passed_us);
  measure_baseline (set);
  for (uint32_t i = 0; i < set->count; i++)
    {
      judge (set, &set->targets[i], now_us);
      place (set, now_us, i);
    }
}

void
target_set_refresh (struct target_set *set, int64_t now_us)
{
  uint32_t bound = TARGET_REFRESH_OUTCOMES;
  if (bound < set->count)
    bound = set->count;
  if (set->outcomes >= bound
      || now_us - set->refreshed_us >= TARGET_REFRESH_US)
    refresh_all (set, now_us);
}

void
target_set_init (struct target_set *set)
{
  *set = (struct target_set){ .refreshed_us = INT64_MIN / 2,
                              .cover_us = INT64_MIN / 2,
                              .baseline = { .ill = ILL_AT_FIRST },
                              .hung = HUNG_AT_FIRST };
  answer_times_init (&set->times);
}

void
target_set_clear (struct target_set *set)
{
  free (set->targets);
  free (set->scratch);
  key_index_clear (&set->index);
  for (int tier = 0; tier < TIER_COUNT; tier++)
    for (int part = 0; part < PART_COUNT; part++)
      free (set->listed[tier][part].numbers);
  target_set_init (set);
}

/* State of a target that stays; work it refused before makes it start slowly
 * again. */
static struct target_state
follow (const struct target_state *old, const struct policy_target *config,
        int64_t now_us)
{
  struct target_state t = *old;
  if (target_state_warmth (&t, now_us) >= 1)
    t.warm_from_us = INT64_MIN;
  if (config->accepts_work && !old->config.accepts_work)
    t.warm_from_us = now_us;
  const int64_t warm_up_us = t.config.warm_up_us;
  t.config = *config;
  /* What is left of it was told when it joined, and counts from then. */
  if (t.warm_from_us != INT64_MIN && warm_up_us >= 0)
    t.config.warm_up_us = warm_up_us;
  return t;
}

static struct target_state
begin (const struct policy_target *config, int64_t warm_from_us,
       int64_t now_us, double ill)
{
  struct target_state t = {
    .config = *config,
    .warm_from_us = warm_from_us,
    .cover_us = now_us - COVER_US,
  };
  t.is_new = warm_from_us != INT64_MIN;
  target_estimate_init (&t.estimate, now_us, t.is_new ? ILL_WHEN_NEW : ill);
  t.ill = t.estimate.ill;
  t.failure = t.estimate.failure;
  return t;
}

static void
add (struct target_set *set, const struct target_state *state, uint32_t number)
{
  struct target_state *t = &set->targets[number];
  *t = *state;
  if (t->config.slots == 0)
    t->config.slots = 1;
  t->tier = TIER_NONE;
  set->in_flight += t->in_flight;
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
      set->listed[tier][part].numbers = xcalloc (count + 1, sizeof (uint32_t));
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
  set->learned_us = old.count > 0 ? old.learned_us : now_us;
  set->times = old.times;
  set->hung = old.hung;
  set->ended = old.ended;
  set->failed = old.failed;
  set->faded_us = old.faded_us;
  allocate (set, count);
  uint32_t *numbers = xcalloc (old.count + 1, sizeof *numbers);
  for (uint32_t i = 0; i < old.count; i++)
    numbers[i] = POLICY_NO_TARGET;
  /* The first targets were there before this host: they are taken as warm. */
  const int64_t warm_from_us = old.count == 0 ? INT64_MIN : now_us;
  for (uint32_t i = 0; i < count; i++)
    {
      const uint32_t before = key_index_find (&old.index, targets[i].key);
      struct target_state t
          = begin (&targets[i], warm_from_us, now_us, set->baseline.ill);
      if (before != POLICY_NO_TARGET)
        {
          t = follow (&old.targets[before], &targets[i], now_us);
          numbers[before] = i;
        }
      add (set, &t, i);
    }
  refresh_all (set, now_us);
  target_set_clear (&old);
  if (renumbered != NULL)
    *renumbered = numbers;
  else
    free (numbers);
}

void
target_set_eject (struct target_set *set, int64_t now_us, uint32_t number,
                  bool ejected)
{
  struct target_state *t = &set->targets[number];
  if (t->ejected == ejected)
    return;
  const uint32_t was = target_state_is_eligible (t);
  t->ejected = ejected;
  if (!ejected)
    t->warm_from_us = now_us;
  const uint32_t is = target_state_is_eligible (t);
  set->eligible += is - was;
  if (target_state_is_suspect (t))
    set->suspects += is - was;
  place (set, now_us, number);
}

void
target_set_avoid (struct target_set *set, int64_t now_us, uint32_t number,
                  bool avoided)
{
  struct target_state *t = &set->targets[number];
  const uint32_t was
      = target_state_is_eligible (t) && target_state_is_suspect (t);
  t->avoided = avoided;
  const uint32_t is
      = target_state_is_eligible (t) && target_state_is_suspect (t);
  set->suspects += is - was;
  place (set, now_us, number);
}

void
target_set_take (struct target_set *set, int64_t now_us, uint32_t number)
{
  struct target_state *t = &set->targets[number];
  assert (target_state_is_eligible (t) && t->in_flight < t->config.slots);
  t->in_flight++;
  open_attempts_add (&t->open, now_us);
  t->used_us = now_us;
  set->in_flight++;
  place (set, now_us, number);
}

static void
count_outcome (struct target_state *t, enum attempt_end end)
{
  if (end == ATTEMPT_CANCELLED)
    return;
  t->requests++;
  t->failures += (uint64_t)(end != ATTEMPT_ANSWERED);
}

static void
count_ended (struct target_set *set, int64_t now_us, double unserved)
{
  const double kept
      = exp (-(double)(now_us - set->faded_us) / FAILING_FADES_US);
  set->faded_us = now_us;
  set->ended = set->ended * kept + 1;
  set->failed = set->failed * kept + unserved;
}

/* What fails and may be tried elsewhere is mostly served in the end. */
static void
count_failing (struct target_set *set, int64_t now_us,
               const struct policy_outcome *outcome)
{
  if (outcome->end == ATTEMPT_CANCELLED)
    return;
  const double unserved = outcome->repeatable ? unserved_of_repeatable : 1;
  count_ended (set, now_us, outcome->end != ATTEMPT_ANSWERED ? unserved : 0);
}

void
target_set_count_refused (struct target_set *set, int64_t now_us)
{
  count_ended (set, now_us, 1);
}

/* How those fail that fail: some targets hang in a spell, others reset. */
static void
learn_hung (struct target_set *set, enum attempt_end end)
{
  if (end == ATTEMPT_TIMED_OUT)
    set->hung += hung_gain * (1 - set->hung);
  else if (end == ATTEMPT_CUT || end == ATTEMPT_FAILED)
    set->hung -= hung_gain * set->hung;
}

double
target_set_hangs (const struct target_set *set, double ill)
{
  return ill * ESTIMATE_ILL_FAILS * set->hung;
}

double
target_set_failing_share (const struct target_set *set)
{
  return set->ended < FAILING_LEAST_ENDED ? 0 : set->failed / set->ended;
}

uint32_t
target_set_listed (const struct target_set *set, enum target_tier tier)
{
  return set->listed[tier][PART_SUBSET].count
         + set->listed[tier][PART_BACKUP].count;
}

struct target_use
target_set_use (const struct target_set *set, int64_t since_us, bool all)
{
  struct target_use use = { 0 };
  for (uint32_t i = 0; i < set->count; i++)
    {
      const struct target_state *t = &set->targets[i];
      if (!target_state_is_eligible (t) || (t->config.is_backup && !all))
        continue;
      use.eligible++;
      use.used += (uint32_t)(t->used_us >= since_us);
    }
  return use;
}

void
target_set_release (struct target_set *set, int64_t now_us,
                    const struct policy_outcome *outcome)
{
  struct target_state *t = &set->targets[outcome->target];
  /* A target that left and came back while attempts were under way has lost
   * their count; their ends must not free slots taken since. */
  if (t->in_flight > 0)
    {
      t->in_flight--;
      set->in_flight--;
    }
  open_attempts_remove (&t->open, now_us - outcome->latency_us);
  advance (set, t, now_us);
  target_estimate_observe (&t->estimate, outcome->end, outcome->latency_us);
  t->is_new = t->is_new && t->estimate.samples == 0;
  count_outcome (t, outcome->end);
  count_failing (set, now_us, outcome);
  learn_hung (set, outcome->end);
  if (outcome->end == ATTEMPT_ANSWERED)
    answer_times_add (&set->times, outcome->latency_us);
  set->outcomes++;
  judge (set, t, now_us);
  place (set, now_us, outcome->target);
}

/* Guards against a target that counts as in use while nothing is sent to it:
   what hangs is told of seconds after it was sent.  Shows as targets that get
   nothing for longer than a turn while the ends of old attempts come in. */
static void
note_heard_use (const struct target_set *set, struct target_state *t,
                int64_t now_us, enum attempt_end end)
{
  if (end == ATTEMPT_TIMED_OUT)
    return;
  const int64_t begun_us = now_us - (int64_t)set->baseline.latency_us;
  if (begun_us > t->used_us)
    t->used_us = begun_us;
}

bool
target_state_needs_cover (const struct target_state *t, int64_t now_us)
{
  return t->config.is_backup && !target_state_is_suspect (t)
         && now_us - t->cover_us < COVER_US;
}

bool
target_set_needs_cover (const struct target_set *set, int64_t now_us)
{
  return now_us - set->cover_us < COVER_US;
}

void
target_set_cover (struct target_set *set, int64_t now_us, uint32_t number)
{
  set->targets[number].cover_us = now_us;
  set->cover_us = now_us;
}

void
target_set_hear (struct target_set *set, int64_t now_us, uint32_t number,
                 enum attempt_end end)
{
  struct target_state *t = &set->targets[number];
  advance (set, t, now_us);
  target_estimate_hear (&t->estimate, end);
  note_heard_use (set, t, now_us, end);
  t->is_new = t->is_new && t->estimate.samples == 0;
  judge (set, t, now_us);
  place (set, now_us, number);
}

bool
target_set_avoids_suspects (const struct target_set *set)
{
  return set->suspects * 2 <= set->eligible;
}
