#include "policy/choice/chooser.h"

#include <math.h>

enum
{
  UNKNOWN_LATENCY_US = 1000, /* of a target when nothing was measured yet */
  FAILURE_COST = 2, /* a failure costs so many latencies: another try */
  FAILURE_COST_UNREPEATABLE = 24,
};

static const double blur = 0.5;
static const double failure_cap = 0.95;
static const double hopeless_failure = 0.9;

/* The candidates of one part: its lists of some tiers, one after the other,
 * without the positions of targets that were tried. */
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
                              : UNKNOWN_LATENCY_US;
  return known_us + 2.0 * t->config.distance_us;
}

double
chooser_cost_us (const struct target_set *set, const struct target_state *t,
                 int64_t now_us, bool repeatable)
{
  const double busy = (double)t->in_flight / t->config.slots;
  const double f = fmin (t->failure_rate, failure_cap);
  const double per_failure
      = repeatable ? FAILURE_COST : FAILURE_COST_UNREPEATABLE;
  const double expected_failures = f / (1 - f);
  const double cost_us
      = latency_us (set, t) * (1 + busy + expected_failures * per_failure);
  const double backup
      = t->config.is_backup ? 1 + set->backup_cost_percent / 100.0 : 1;
  return cost_us * backup / target_state_warm_up_factor (t, now_us);
}

double
chooser_expected_response_us (const struct target_set *set,
                              const struct target_state *t)
{
  if (t->failure_rate > hopeless_failure)
    return INFINITY;
  return latency_us (set, t) / (1 - t->failure_rate);
}

static void
leave_out (struct candidates *c, uint32_t at)
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
leave_out_tried (struct candidates *c, const struct policy_request *r)
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
      uint32_t before = 0;
      for (unsigned tier = 0; tier < (unsigned)t->tier; tier++)
        if (c->tiers & (1u << tier))
          before += set->tiers[tier][c->part].count;
      leave_out (c, before + t->tier_index);
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
  leave_out_tried (&c, r);
  c.count -= c.tried_count;
  return c;
}

static uint32_t
candidate (const struct candidates *c, uint32_t n)
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

/* Guards a target that is a little dearer than the rest against never being
 * chosen: nothing more would be learnt of it, and its estimate could stay
 * wrong for ever.  Up to half as dear again, it has some chance. */
static double
blurred (double cost_us, struct rng *rng)
{
  return cost_us * (1 + rng_unit (rng) * blur);
}

static double
price (const struct target_set *set, struct rng *rng, uint32_t target,
       const struct policy_request *r, int64_t now_us)
{
  return blurred (
      chooser_cost_us (set, &set->targets[target], now_us, r->repeatable),
      rng);
}

/* What was found, and what it costs. */
struct offer
{
  uint32_t target;
  double cost_us;
};

/* The cheapest of some candidates that follow one another from a random
   place, if it is cheaper than BEST; the lists have no order that would mean
   anything. */
static void
find_cheaper (const struct candidates *c, struct rng *rng,
              const struct policy_request *r, int64_t now_us,
              struct offer *best)
{
  if (c->count == 0)
    return;
  const uint32_t looked_at
      = c->count < CHOOSER_CANDIDATES_MAX ? c->count : CHOOSER_CANDIDATES_MAX;
  const uint32_t first = (uint32_t)rng_below (rng, c->count);
  for (uint32_t i = 0; i < looked_at; i++)
    {
      const uint32_t other = candidate (c, (first + i) % c->count);
      const double asked = price (c->set, rng, other, r, now_us);
      if (asked < best->cost_us)
        *best = (struct offer){ .target = other, .cost_us = asked };
    }
}

struct chooser_pick
chooser_choose (const struct target_set *set, struct rng *rng, unsigned tiers,
                const struct policy_request *r, int64_t now_us)
{
  struct offer best = { .target = POLICY_NO_TARGET, .cost_us = INFINITY };
  uint32_t count = 0;
  for (int part = 0; part < PART_COUNT; part++)
    {
      const struct candidates c
          = candidates_of (set, (enum target_part)part, tiers, r);
      count += c.count;
      find_cheaper (&c, rng, r, now_us, &best);
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
