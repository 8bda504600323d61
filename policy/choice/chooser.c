#include "policy/choice/chooser.h"

#include <math.h>

#include "policy/choice/target_cost.h"

enum
{
  DEFAULT_LATENCY_US = 1000, /* latency of a target before any sample */
  FAILURE_COST = 2, /* cost of a failure in latencies, for another attempt */
  FAILURE_COST_UNREPEATABLE = 24,
};

static const double cost_jitter = 0.5;
static const double max_failure_rate = 0.95;
static const double unresponsive_failure_rate = 0.9;

/* The candidates of one part: its lists of some tiers, concatenated,
   without the positions of targets that were tried. */
struct candidates
{
  const struct target_set *set;
  enum target_part part;
  unsigned tiers;
  uint32_t count;
  uint32_t tried_at[POLICY_TRIED_MAX]; /* ascending */
  uint32_t tried_count;
};

static double
latency_us (const struct target_set *set, const struct target_state *t)
{
  if (t->estimate.latency_samples > 0)
    return t->estimate.latency_us;
  const double known_us = set->baseline.latency_us > 0
                              ? set->baseline.latency_us
                              : DEFAULT_LATENCY_US;
  return known_us + 2.0 * t->config.distance_us;
}

double
chooser_cost_us (const struct target_set *set, const struct target_state *t,
                 int64_t now_us, bool repeatable)
{
  const double load = (double)t->in_flight / t->config.slots;
  const double failure_rate = fmin (t->failure_rate, max_failure_rate);
  const double failure_cost
      = repeatable ? FAILURE_COST : FAILURE_COST_UNREPEATABLE;
  const double expected_failures = failure_rate / (1 - failure_rate);
  const double cost_us
      = latency_us (set, t) * (1 + load + expected_failures * failure_cost);
  const double backup_factor
      = t->config.is_backup ? 1 + set->backup_cost_percent / 100.0 : 1;
  return cost_us * backup_factor / target_state_warm_up_factor (t, now_us);
}

struct chooser_work_cost
chooser_cost_by_work (const struct target_set *set,
                      const struct target_state *t, int64_t now_us,
                      const struct policy_request *r, double work_us)
{
  const double slowness = target_cost_slowness (set, t, now_us);
  const double open_us = target_cost_own_work_us (set, t, now_us, work_us)
                         + target_cost_remote_work_us (t, now_us);
  const double response_us = (open_us / t->config.slots + work_us) * slowness
                             + 2.0 * t->config.distance_us;
  const double failure_rate = fmin (t->failure_rate, max_failure_rate);
  const double failure_cost
      = r->repeatable ? FAILURE_COST : FAILURE_COST_UNREPEATABLE;
  const double expected_failures = failure_rate / (1 - failure_rate);
  /* A failure costs another attempt or the request, whatever its work, so it
     isn't cheaper at a target that fails fast. */
  const double cost_us
      = response_us + latency_us (set, t) * expected_failures * failure_cost;
  const double backup_factor
      = t->config.is_backup ? 1 + set->backup_cost_percent / 100.0 : 1;
  const int64_t goal_us = r->goal_us > 0 ? r->goal_us : r->deadline_us;
  return (struct chooser_work_cost){
    .cost_us
    = cost_us * backup_factor / target_state_warm_up_factor (t, now_us),
    .is_late = response_us / (1 - failure_rate) > (double)(goal_us - now_us),
  };
}

double
chooser_expected_response_us (const struct target_set *set,
                              const struct target_state *t)
{
  if (t->failure_rate > unresponsive_failure_rate)
    return INFINITY;
  return latency_us (set, t) / (1 - t->failure_rate);
}

static void
exclude (struct candidates *c, uint32_t at)
{
  uint32_t i = c->tried_count;
  for (; i > 0 && c->tried_at[i - 1] >= at; i--)
    if (c->tried_at[i - 1] == at)
      return;
  for (uint32_t j = c->tried_count; j > i; j--)
    c->tried_at[j] = c->tried_at[j - 1];
  c->tried_at[i] = at;
  c->tried_count++;
}

static void
exclude_tried (struct candidates *c, const struct policy_request *r)
{
  const struct target_set *set = c->set;
  for (uint32_t i = 0; i < r->tried_count && i < POLICY_TRIED_MAX; i++)
    {
      if (r->tried[i] >= set->count)
        continue;
      const struct target_state *t = &set->targets[r->tried[i]];
      if (t->tier == TIER_NONE || !(c->tiers & (1u << t->tier))
          || target_state_part (t) != c->part)
        continue;
      uint32_t offset = 0;
      for (unsigned tier = 0; tier < (unsigned)t->tier; tier++)
        if (c->tiers & (1u << tier))
          offset += set->tiers[tier][c->part].count;
      exclude (c, offset + t->tier_index);
    }
}

static struct candidates
candidates_of (const struct target_set *set, enum target_part part,
               unsigned tiers, const struct policy_request *r)
{
  struct candidates c = { .set = set, .part = part, .tiers = tiers };
  for (unsigned tier = 0; tier < TIER_COUNT; tier++)
    if (tiers & (1u << tier))
      c.count += set->tiers[tier][part].count;
  exclude_tried (&c, r);
  c.count -= c.tried_count;
  return c;
}

static uint32_t
nth_candidate (const struct candidates *c, uint32_t n)
{
  for (uint32_t i = 0; i < c->tried_count && c->tried_at[i] <= n; i++)
    n++;
  for (unsigned tier = 0; tier < TIER_COUNT; tier++)
    {
      if (!(c->tiers & (1u << tier)))
        continue;
      const struct target_list *list = &c->set->tiers[tier][c->part];
      if (n < list->count)
        return list->numbers[n];
      n -= list->count;
    }
  return POLICY_NO_TARGET;
}

/* Up to half of the cost is added at random, so that a target which costs
   slightly more than the others is sometimes chosen.  Otherwise its
   estimate would never be updated and could stay wrong forever. */
static double
add_jitter (double cost_us, struct rng *rng)
{
  return cost_us * (1 + rng_unit (rng) * cost_jitter);
}

/* The best candidate so far and its cost. */
struct best_candidate
{
  uint32_t target;
  double cost_us;
  bool is_late;
};

/* A request to choose a target for. */
struct choice
{
  const struct policy_request *request;
  double work_us; /* 0: unknown, or not to be used */
  int64_t now_us;
};

static struct best_candidate
candidate_of (const struct target_set *set, struct rng *rng, uint32_t target,
              const struct choice *choice)
{
  const struct target_state *t = &set->targets[target];
  const struct policy_request *r = choice->request;
  struct best_candidate candidate = { .target = target };
  if (choice->work_us > 0)
    {
      const struct chooser_work_cost cost
          = chooser_cost_by_work (set, t, choice->now_us, r, choice->work_us);
      candidate.cost_us = cost.cost_us;
      candidate.is_late = cost.is_late;
    }
  else
    candidate.cost_us
        = chooser_cost_us (set, t, choice->now_us, r->repeatable);
  candidate.cost_us = add_jitter (candidate.cost_us, rng);
  return candidate;
}

static bool
is_better (const struct best_candidate *a, const struct best_candidate *b)
{
  if (a->is_late != b->is_late)
    return b->is_late;
  return a->cost_us < b->cost_us;
}

/* Update BEST with the cheapest of a run of candidates from a random start,
   if that costs less; the order of the lists has no meaning. */
static void
update_best (const struct candidates *c, struct rng *rng,
             const struct choice *choice, struct best_candidate *best)
{
  if (c->count == 0)
    return;
  const uint32_t compared
      = c->count < CHOOSER_CANDIDATES_MAX ? c->count : CHOOSER_CANDIDATES_MAX;
  const uint32_t first = (uint32_t)rng_below (rng, c->count);
  for (uint32_t i = 0; i < compared; i++)
    {
      const uint32_t other = nth_candidate (c, (first + i) % c->count);
      const struct best_candidate candidate
          = candidate_of (c->set, rng, other, choice);
      if (is_better (&candidate, best))
        *best = candidate;
    }
}

struct chooser_pick
chooser_choose (const struct target_set *set, struct rng *rng, unsigned tiers,
                const struct policy_request *r, int64_t now_us)
{
  struct best_candidate best
      = { .target = POLICY_NO_TARGET, .cost_us = INFINITY, .is_late = true };
  const struct choice choice = {
    .request = r,
    .work_us
    = set->cost != NULL ? cost_model_expected_us (set->cost, r->cost_keys) : 0,
    .now_us = now_us,
  };
  uint32_t count = 0;
  for (int part = 0; part < PART_COUNT; part++)
    {
      const struct candidates c
          = candidates_of (set, (enum target_part)part, tiers, r);
      count += c.count;
      update_best (&c, rng, &choice, &best);
    }
  return (struct chooser_pick){ .target = best.target, .is_only = count == 1 };
}

bool
chooser_all_tried (const struct target_set *set,
                   const struct policy_request *r)
{
  uint32_t tried = 0;
  for (uint32_t i = 0; i < r->tried_count && i < POLICY_TRIED_MAX; i++)
    {
      bool again = r->tried[i] >= set->count
                   || !target_state_is_eligible (&set->targets[r->tried[i]]);
      for (uint32_t j = 0; j < i; j++)
        again = again || r->tried[j] == r->tried[i];
      tried += (uint32_t)!again;
    }
  return tried == set->eligible;
}
