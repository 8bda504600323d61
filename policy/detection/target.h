/** @file
 * What the owner knows of one target: its scores, who saw what, and where it
 * stands.  Internal to the detector.
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
  DETECTION_HOSTS_MAX = 32, /**< observed apart; further ones share places */
  DETECTION_REFERENCE_REQUESTS = 8 /**< make a target a fresh reference */
};

/** The service's tests as they stand now. */
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
  struct detection_totals totals; /**< the same */
  struct detection_observer *observers;
  size_t observer_count;
  int64_t run_start_us[DETECTION_TESTS]; /**< when each score last left 0 */
  /** When the newest requests were reported, newest first. */
  int64_t reported_us[DETECTION_REFERENCE_REQUESTS];
  int64_t seen_us;       /**< newest evidence; 0: none */
  int64_t cold_until_us; /**< slowness is excused until then */
  int64_t crossed_us;    /**< a score reached the threshold; 0: none has */
  int64_t hint_us;       /**< newest bad hint */
  uint32_t hints_bad;    /**< in a row */
  enum detection_verdict verdict;
  enum detection_reason reason; /**< of the highest score, or conviction */
  double score;                 /**< at the last verdict or conviction */
  int64_t bad_ejected_us;       /**< 0: not of late */
  UT_hash_handle hh;
};

struct detection_target *detection_target_create (uint64_t key,
                                                  int64_t now_us);
void detection_target_destroy (struct detection_target *target);

/** In the traffic's full view: in service or warming. */
bool detection_target_serving (const struct detection_target *target);

/** Start afresh, as after an ejection or a return. */
void detection_target_reset (struct detection_target *target);

/** Take in evidence on a target in service. */
void detection_target_add (struct detection_target *target, int64_t now_us,
                           uint64_t host_key, uint64_t dc_key,
                           const struct detection_tests *tests,
                           const struct detection_evidence *evidence);

/** What EVIDENCE says by TESTS; slowness of a cold target says nothing. */
struct detection_likelihood
detection_target_likelihood (const struct detection_target *target,
                             int64_t now_us,
                             const struct detection_tests *tests,
                             const struct detection_evidence *evidence);

/** Have enough requests been reported since THEN_US to tell whether the target
 * shares in a fault that began then? */
bool detection_target_reported_since (const struct detection_target *target,
                                      int64_t then_us);

/** The highest score and its test. */
double detection_target_score (const struct detection_target *target,
                               enum detection_reason *reason);

#endif
