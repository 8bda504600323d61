/** @file
 * The baseline of one service: its normal share of failures and its normal
 * latencies, learned from all targets together.
 *
 * A test against an assumed share gives false alarms: with 3 % real failures
 * against an assumed 1 %, there is one every few thousand requests.  A mean
 * over all targets is shifted by a single failing target.  So the baseline
 * pools the better half of the targets, then all that are no outliers against
 * that half.  It decays over minutes; a second, short-term history follows
 * what all targets show at present, so that a fault common to all raises the
 * baseline before any target is evaluated as bad.
 */
#ifndef POLICY_DETECTION_BASELINE_H
#define POLICY_DETECTION_BASELINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/detection/evidence.h"

/** Exponentially decaying counts of one target. */
struct baseline_counts
{
  double requests;
  double failures;
  double latency[DETECTION_LATENCY_BUCKETS];
};

/** The history kept for one target. */
struct baseline_target
{
  struct baseline_counts short_term; /**< time constant of ten seconds */
  struct baseline_counts long_term;  /**< time constant of two minutes */
};

/** A target's rank among the others; scratch space of baseline_learn(). */
struct baseline_rank
{
  double share;
  uint32_t target;
};

/** The learned values. */
struct baseline
{
  bool ready;           /**< enough evidence to evaluate targets */
  double failures;      /**< normal share of failures, an upper estimate */
  uint32_t slow_bucket; /**< latencies from this bucket on are slow */
  double slow;        /**< normal share of slow requests, an upper estimate */
  double evidence;    /**< requests it is based on */
  int64_t learned_us; /**< when it was last learned */
};

/** Initializes an empty baseline, which is not ready. */
void baseline_init (struct baseline *baseline);

/** Adds EVIDENCE to both histories of TARGET. */
void baseline_target_add (struct baseline_target *target,
                          const struct detection_evidence *evidence);

/** Decays the counts of TARGET by ELAPSED_US. */
void baseline_target_decay (struct baseline_target *target,
                            int64_t elapsed_us);

/** Learns the baseline from TARGETS (those in service).
 * @param order scratch space for COUNT elements */
void baseline_learn (struct baseline *baseline, int64_t now_us,
                     const struct baseline_target *const *targets,
                     size_t count, struct baseline_rank *order);

#endif
