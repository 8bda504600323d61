/** @file
 * What is normal in one service: its share of failures and its latencies,
 * learned from all targets together.
 *
 * A test against an assumed share is a trap: with 3 % true failures against
 * an assumed 1 %, false alarms come every few thousand requests.  And a mean
 * over all targets is dragged by one gray target.  So the baseline pools the
 * better half of the targets, then all that are no outliers against that
 * half.  It forgets over minutes; a second, short memory follows what all
 * targets see just now, so that a fault that is common to them raises what
 * counts as normal before it convicts anyone.
 */
#ifndef POLICY_DETECTION_BASELINE_H
#define POLICY_DETECTION_BASELINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/detection/evidence.h"

/** Fading counts of one target. */
struct baseline_counts
{
  double requests;
  double failures;
  double latency[DETECTION_LATENCY_BUCKETS];
};

/** The memory kept for one target. */
struct baseline_target
{
  struct baseline_counts short_term; /**< over some ten seconds */
  struct baseline_counts long_term;  /**< over some minutes */
};

/** A target's place among the others; working memory of baseline_learn(). */
struct baseline_rank
{
  double share;
  uint32_t target;
};

/** The learned values. */
struct baseline
{
  bool ready;           /**< enough evidence to judge anyone */
  double failures;      /**< normal share of failures, an upper estimate */
  uint32_t slow_bucket; /**< latencies from this bucket on are slow */
  double slow;          /**< normal share of slow ones, an upper estimate */
  double evidence;      /**< requests it rests on */
  int64_t learned_us;   /**< when it was last learned */
};

/** Before anything was seen: not ready. */
void baseline_init (struct baseline *baseline);

/** Add EVIDENCE to both memories of TARGET. */
void baseline_target_add (struct baseline_target *target,
                          const struct detection_evidence *evidence);

/** Let ELAPSED_US pass for TARGET. */
void baseline_target_decay (struct baseline_target *target,
                            int64_t elapsed_us);

/** Learn from TARGETS (those in service).
 * @param order scratch room for COUNT elements */
void baseline_learn (struct baseline *baseline, int64_t now_us,
                     const struct baseline_target *const *targets,
                     size_t count, struct baseline_rank *order);

#endif
