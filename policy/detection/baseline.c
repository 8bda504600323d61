#include "policy/detection/baseline.h"

#include <math.h>
#include <stdlib.h>

#define SHORT_TIME_CONSTANT_US 10e6
#define LONG_TIME_CONSTANT_US 120e6
/* The prior counts as evidence before any was received: a new owner starts
   with a high share of failures and learns downwards, so that no target is
   evaluated as bad against a baseline that is too low. */
#define PRIOR_FAILURE_SHARE 0.05
#define PRIOR_REQUESTS 100.0
#define LONG_TERM_WEIGHT_REQUESTS 1000.0 /* in the short-term share */
#define READY_REQUESTS_MIN 200.0
#define FAILURE_SHARE_MIN 0.002
#define FAILURE_SHARE_MAX 0.2
#define SLOW_SHARE 0.05
#define SLOW_SHARE_MIN 0.02
#define SLOW_SHARE_MAX 0.2
#define ESTIMATE_SIGMAS 1.0
#define OUTLIER_SIGMAS 4.0
#define OUTLIER_SLACK_HITS 3.0

enum
{
  TARGET_REQUESTS_MIN = 5, /* targets with fewer are left out */
  INCLUDE_ROUNDS = 2,
  SLOW_BUCKETS_OVER_MEDIAN = 3 /* slow is at least 2.8 times the median */
};

/* Pooled counts of a binary outcome. */
struct pool
{
  double hits;
  double total;
};

/* The quantity compared between targets. */
struct measure
{
  bool short_term;
  bool slow;       /* false: failures */
  uint32_t bucket; /* with slow: the first one counted; 0: the mean bucket */
};

void
baseline_init (struct baseline *baseline)
{
  *baseline = (struct baseline){
    .failures = FAILURE_SHARE_MAX,
    .slow_bucket = DETECTION_LATENCY_BUCKETS - 1,
    .slow = SLOW_SHARE_MAX,
  };
}

static void
counts_add (struct baseline_counts *counts,
            const struct detection_evidence *evidence)
{
  counts->requests += evidence->requests;
  counts->failures += evidence->failures;
  for (uint32_t i = 0; i < DETECTION_LATENCY_BUCKETS; i++)
    counts->latency[i] += evidence->latency[i];
}

static void
counts_scale (struct baseline_counts *counts, double factor)
{
  counts->requests *= factor;
  counts->failures *= factor;
  for (uint32_t i = 0; i < DETECTION_LATENCY_BUCKETS; i++)
    counts->latency[i] *= factor;
}

void
baseline_target_add (struct baseline_target *target,
                     const struct detection_evidence *evidence)
{
  counts_add (&target->short_term, evidence);
  counts_add (&target->long_term, evidence);
}

void
baseline_target_decay (struct baseline_target *target, int64_t elapsed_us)
{
  if (elapsed_us <= 0)
    return;
  counts_scale (&target->short_term,
                exp (-(double)elapsed_us / SHORT_TIME_CONSTANT_US));
  counts_scale (&target->long_term,
                exp (-(double)elapsed_us / LONG_TIME_CONSTANT_US));
}

static struct pool
measure_target (const struct baseline_target *target, struct measure m)
{
  const struct baseline_counts *counts
      = m.short_term ? &target->short_term : &target->long_term;
  if (!m.slow)
    return (struct pool){ counts->failures, counts->requests };
  struct pool pool = { 0 };
  for (uint32_t i = 0; i < DETECTION_LATENCY_BUCKETS; i++)
    {
      pool.total += counts->latency[i];
      if (m.bucket == 0)
        pool.hits += i * counts->latency[i];
      else if (i >= m.bucket)
        pool.hits += counts->latency[i];
    }
  return pool;
}

static double
share (struct pool pool)
{
  return pool.total > 0 ? pool.hits / pool.total : 0;
}

static int
compare_ranks (const void *a, const void *b)
{
  const struct baseline_rank *first = a;
  const struct baseline_rank *second = b;
  if (first->share != second->share)
    return first->share < second->share ? -1 : 1;
  return first->target < second->target ? -1 : 1;
}

/* Sorts the targets with enough evidence by their share.
   @return the number of ranked targets */
static size_t
rank (const struct baseline_target *const *targets, size_t count,
      struct measure m, struct baseline_rank *order)
{
  size_t ranked = 0;
  for (size_t i = 0; i < count; i++)
    {
      struct pool pool = measure_target (targets[i], m);
      if (pool.total < TARGET_REQUESTS_MIN)
        continue;
      order[ranked++] = (struct baseline_rank){
        .share = share (pool),
        .target = (uint32_t)i,
      };
    }
  qsort (order, ranked, sizeof *order, compare_ranks);
  return ranked;
}

static bool
is_outlier (struct pool pool, double normal)
{
  double expected = pool.total * normal;
  return pool.hits
         > expected + OUTLIER_SIGMAS * sqrt (expected) + OUTLIER_SLACK_HITS;
}

/* Pools the better half of the targets, then all that are no outliers against
   the pool: fewer than half of the targets can't shift it, and chance alone
   doesn't bias it downwards. */
static struct pool
pool_without_outliers (const struct baseline_target *const *targets,
                       const struct baseline_rank *order, size_t ranked,
                       struct measure m)
{
  struct pool pool = { 0 };
  for (size_t i = 0; i < (ranked + 1) / 2; i++)
    {
      struct pool one = measure_target (targets[order[i].target], m);
      pool.hits += one.hits;
      pool.total += one.total;
    }
  for (int round = 0; round < INCLUDE_ROUNDS; round++)
    {
      double normal = share (pool);
      pool = (struct pool){ 0 };
      for (size_t i = 0; i < ranked; i++)
        {
          struct pool one = measure_target (targets[order[i].target], m);
          if (is_outlier (one, normal))
            continue;
          pool.hits += one.hits;
          pool.total += one.total;
        }
    }
  return pool;
}

static double
clamp (double value, double min, double max)
{
  return value < min ? min : value > max ? max : value;
}

/* Returns an estimate with an upward bias that is larger on little
   evidence. */
static double
upper_estimate (struct pool pool, double prior)
{
  double hits = pool.hits + prior * PRIOR_REQUESTS;
  return (hits + ESTIMATE_SIGMAS * sqrt (hits))
         / (pool.total + PRIOR_REQUESTS);
}

/* Returns the normal share: of the long-term history, or of the short-term one
   if that is higher. */
static double
learn_share (const struct baseline_target *const *targets, size_t count,
             struct measure m, double prior, struct baseline_rank *order,
             double *evidence)
{
  m.short_term = false;
  size_t ranked = rank (targets, count, m, order);
  struct pool long_term = pool_without_outliers (targets, order, ranked, m);
  m.short_term = true;
  ranked = rank (targets, count, m, order);
  struct pool short_term = pool_without_outliers (targets, order, ranked, m);
  *evidence = long_term.total;
  double normal = upper_estimate (long_term, prior);
  double current = (short_term.hits + normal * LONG_TERM_WEIGHT_REQUESTS)
                   / (short_term.total + LONG_TERM_WEIGHT_REQUESTS);
  return current > normal ? current : normal;
}

/* Returns the lowest bucket that only a small share of the latencies of the
   faster targets reaches. */
static uint32_t
learn_slow_bucket (const struct baseline_target *const *targets, size_t count,
                   struct baseline_rank *order)
{
  struct measure m = { .slow = true };
  size_t ranked = rank (targets, count, m, order);
  /* Three quarters of the targets, not half: where some targets are
     permanently slower, their latencies are normal. */
  size_t faster = ranked < 2 ? ranked : ranked * 3 / 4;
  double latency[DETECTION_LATENCY_BUCKETS] = { 0 };
  double total = 0;
  for (size_t t = 0; t < faster; t++)
    for (uint32_t i = 0; i < DETECTION_LATENCY_BUCKETS; i++)
      {
        latency[i] += targets[order[t].target]->long_term.latency[i];
        total += targets[order[t].target]->long_term.latency[i];
      }
  uint32_t median = 0;
  double below = latency[0];
  while (median + 1 < DETECTION_LATENCY_BUCKETS && below < total / 2)
    below += latency[++median];
  uint32_t bucket = DETECTION_LATENCY_BUCKETS;
  double above = 0;
  while (bucket > 1 && above + latency[bucket - 1] <= total * SLOW_SHARE)
    above += latency[--bucket];
  uint32_t min = median + SLOW_BUCKETS_OVER_MEDIAN;
  bucket = bucket > min ? bucket : min;
  return bucket < DETECTION_LATENCY_BUCKETS ? bucket
                                            : DETECTION_LATENCY_BUCKETS - 1;
}

void
baseline_learn (struct baseline *baseline, int64_t now_us,
                const struct baseline_target *const *targets, size_t count,
                struct baseline_rank *order)
{
  struct measure m = { .slow = false };
  double failures = learn_share (targets, count, m, PRIOR_FAILURE_SHARE, order,
                                 &baseline->evidence);
  baseline->failures = clamp (failures, FAILURE_SHARE_MIN, FAILURE_SHARE_MAX);
  baseline->slow_bucket = learn_slow_bucket (targets, count, order);
  m = (struct measure){ .slow = true, .bucket = baseline->slow_bucket };
  double latencies;
  double slow = learn_share (targets, count, m, SLOW_SHARE, order, &latencies);
  baseline->slow = clamp (slow, SLOW_SHARE_MIN, SLOW_SHARE_MAX);
  baseline->ready = baseline->evidence >= READY_REQUESTS_MIN;
  baseline->learned_us = now_us;
}
