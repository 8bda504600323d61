#include "policy/detection/baseline.h"

#include <math.h>
#include <stdlib.h>

/* Memories and priors.  The prior stands for evidence seen before any: a new
   owner starts out believing in many failures and learns downwards, so it
   can't convict on a baseline that is too low. */
#define RECENT_US 10e6
#define LONGER_US 120e6
#define PRIOR_FAILURES 0.05
#define PRIOR_WEIGHT 100.0
#define RECENT_WEIGHT 1000.0 /* of the longer memory within the recent one */
#define READY_REQUESTS 200.0
#define FAILURES_LEAST 0.002
#define FAILURES_MOST 0.2
#define SLOW_SHARE 0.05
#define SLOW_LEAST 0.02
#define SLOW_MOST 0.2
#define ESTIMATE_SIGMAS 1.0
#define OUTLIER_SIGMAS 4.0
#define OUTLIER_SLACK 3.0

enum
{
  TARGET_REQUESTS = 5, /* a target with fewer is no reference */
  INCLUDE_ROUNDS = 2,
  SLOW_OVER_MEDIAN = 3 /* buckets: slow is 2.8 times the median at least */
};

/* Pooled counts of a yes/no outcome. */
struct pool
{
  double hits;
  double total;
};

/* What is compared between targets. */
struct measure
{
  bool recent;
  bool slow;       /* false: failures */
  uint32_t bucket; /* with slow: from this bucket on; 0: the mean bucket */
};

void
baseline_init (struct baseline *baseline)
{
  *baseline = (struct baseline){
    .failures = FAILURES_MOST,
    .slow_bucket = DETECTION_LATENCY_BUCKETS - 1,
    .slow = SLOW_MOST,
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
  counts_scale (&target->short_term, exp (-(double)elapsed_us / RECENT_US));
  counts_scale (&target->long_term, exp (-(double)elapsed_us / LONGER_US));
}

static struct pool
measure_target (const struct baseline_target *target, struct measure m)
{
  const struct baseline_counts *counts
      = m.recent ? &target->short_term : &target->long_term;
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

/* Sort the targets with enough evidence by their share.
   @return how many there are */
static size_t
rank (const struct baseline_target *const *targets, size_t count,
      struct measure m, struct baseline_rank *order)
{
  size_t ranked = 0;
  for (size_t i = 0; i < count; i++)
    {
      struct pool pool = measure_target (targets[i], m);
      if (pool.total < TARGET_REQUESTS)
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
         > expected + OUTLIER_SIGMAS * sqrt (expected) + OUTLIER_SLACK;
}

/* Pool the better half, then whatever is no outlier against the pool: less
   than half of the targets can't drag it, and chance alone doesn't bias it
   downwards. */
static struct pool
pool_robustly (const struct baseline_target *const *targets,
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
clamp (double value, double least, double most)
{
  return value < least ? least : value > most ? most : value;
}

/* An estimate that errs upwards, more so on little evidence. */
static double
upper_estimate (struct pool pool, double prior)
{
  double hits = pool.hits + prior * PRIOR_WEIGHT;
  return (hits + ESTIMATE_SIGMAS * sqrt (hits)) / (pool.total + PRIOR_WEIGHT);
}

/* The normal share: the longer memory's, or the recent one's if that is
   higher. */
static double
learn_share (const struct baseline_target *const *targets, size_t count,
             struct measure m, double prior, struct baseline_rank *order,
             double *evidence)
{
  m.recent = false;
  size_t ranked = rank (targets, count, m, order);
  struct pool longer = pool_robustly (targets, order, ranked, m);
  m.recent = true;
  ranked = rank (targets, count, m, order);
  struct pool recent = pool_robustly (targets, order, ranked, m);
  *evidence = longer.total;
  double normal = upper_estimate (longer, prior);
  double now = (recent.hits + normal * RECENT_WEIGHT)
               / (recent.total + RECENT_WEIGHT);
  return now > normal ? now : normal;
}

/* The lowest bucket that few latencies of the quicker targets reach. */
static uint32_t
learn_slow_bucket (const struct baseline_target *const *targets, size_t count,
                   struct baseline_rank *order)
{
  struct measure m = { .slow = true };
  size_t ranked = rank (targets, count, m, order);
  /* Three quarters, not half: where some targets are slower by nature, their
     latencies belong to what is normal. */
  size_t quick = ranked < 2 ? ranked : ranked * 3 / 4;
  double latency[DETECTION_LATENCY_BUCKETS] = { 0 };
  double total = 0;
  for (size_t t = 0; t < quick; t++)
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
  uint32_t least = median + SLOW_OVER_MEDIAN;
  bucket = bucket > least ? bucket : least;
  return bucket < DETECTION_LATENCY_BUCKETS ? bucket
                                            : DETECTION_LATENCY_BUCKETS - 1;
}

void
baseline_learn (struct baseline *baseline, int64_t now_us,
                const struct baseline_target *const *targets, size_t count,
                struct baseline_rank *order)
{
  struct measure m = { .slow = false };
  double failures = learn_share (targets, count, m, PRIOR_FAILURES, order,
                                 &baseline->evidence);
  baseline->failures = clamp (failures, FAILURES_LEAST, FAILURES_MOST);
  baseline->slow_bucket = learn_slow_bucket (targets, count, order);
  m = (struct measure){ .slow = true, .bucket = baseline->slow_bucket };
  double latencies;
  double slow = learn_share (targets, count, m, SLOW_SHARE, order, &latencies);
  baseline->slow = clamp (slow, SLOW_LEAST, SLOW_MOST);
  baseline->ready = baseline->evidence >= READY_REQUESTS;
  baseline->learned_us = now_us;
}
