/** @file
 * The owner's data on one target: scores, evidence by observer, and state.
 * Internal to the detector.
 */
#ifndef POLICY_DETECTION_TARGET_H
#define POLICY_DETECTION_TARGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <uthash.h>

#include "policy/detection/baseline.h"
#include "policy/detection/cusum.h"
#include "policy/detection/observer.h"
#include "policy/detection/readmission.h"

enum
{
  DETECTION_HOSTS_MAX = 32,        /**< further ones share entries */
  DETECTION_REFERENCE_REQUESTS = 8 /**< needed to count a target as
                                       recently reported */
};

/** The service's current tests. */
struct detection_tests
{
  struct cusum tests[DETECTION_TESTS];
  uint32_t slow_bucket;
  double threshold;
  bool ready; /**< false: the baseline isn't learned yet */
};

struct detection_target
{
  uint64_t key;
  size_t index; /**< in the caller's order */
  struct baseline_target history;
  struct readmission readmission;
  double scores[DETECTION_TESTS]; /**< without excluded observers */
  struct detection_totals totals; /**< likewise */
  struct detection_observer *observers;
  size_t observer_count;
  int64_t run_start_us[DETECTION_TESTS]; /**< when a score last rose from 0 */
  /** When the latest requests were reported, latest first. */
  int64_t reported_us[DETECTION_REFERENCE_REQUESTS];
  int64_t seen_us;       /**< latest evidence; 0: none */
  int64_t cold_until_us; /**< slowness is ignored until then */
  int64_t crossed_us; /**< when a score reached the threshold; 0: none has */
  int64_t hint_us;    /**< latest hint other than HEALTHY */
  uint32_t hints_bad; /**< consecutive ones other than HEALTHY */
  enum detection_verdict verdict;
  enum detection_reason reason; /**< of the highest score or the ejection */
  double score;                 /**< at the last evaluation */
  int64_t bad_ejected_us; /**< when it was ejected on a verdict of BAD; 0: not
                             since its return */
  UT_hash_handle hh;
};

struct detection_target *detection_target_create (uint64_t key,
                                                  int64_t now_us);
void detection_target_destroy (struct detection_target *target);

/** Returns whether the target is in service or warming. */
bool detection_target_serving (const struct detection_target *target);

/** Clears scores and history, as after an ejection or a reinstatement. */
void detection_target_reset (struct detection_target *target);

/** Adds evidence on a target in service. */
void detection_target_add (struct detection_target *target, int64_t now_us,
                           uint64_t host_key, uint64_t dc_key,
                           const struct detection_tests *tests,
                           const struct detection_evidence *evidence);

/** Returns the log-likelihood ratios of EVIDENCE by TESTS; slowness of a cold
 * target is ignored. */
struct detection_likelihood
detection_target_likelihood (const struct detection_target *target,
                             int64_t now_us,
                             const struct detection_tests *tests,
                             const struct detection_evidence *evidence);

/** Returns whether enough requests were reported since THEN_US to tell whether
 * the target is affected by a fault that began then. */
bool detection_target_reported_since (const struct detection_target *target,
                                      int64_t then_us);

/** Returns the highest score and its test. */
double detection_target_score (const struct detection_target *target,
                               enum detection_reason *reason);

#endif
