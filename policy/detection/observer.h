/** @file
 * Evidence of one observer, a host or a dc as a whole, on one target.
 *
 * Kept in addition to the target's score over all observers, to check whether
 * they agree: a fault on the path shows at one observer only.
 */
#ifndef POLICY_DETECTION_OBSERVER_H
#define POLICY_DETECTION_OBSERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/detection/explanation.h"

/** Running totals of evidence on a target, without decay. */
struct detection_totals
{
  uint64_t requests;
  double ratios[DETECTION_TESTS]; /**< unclamped log-likelihood ratios */
};

/** The totals when a score last rose from 0, where its run began. */
struct detection_run
{
  uint64_t own_requests;
  uint64_t all_requests;
  double own_ratio;
  double all_ratio;
};

struct detection_observer
{
  uint64_t key;    /**< of the host or of the dc */
  uint64_t dc_key; /**< the dc it is in; its own key for a dc */
  bool is_dc;
  bool excluded; /**< its path is faulty: evaluate without it */
  int64_t excluded_us;
  int64_t seen_us; /**< latest evidence */
  double scores[DETECTION_TESTS];
  struct detection_run runs[DETECTION_TESTS];
  struct detection_totals totals;
  double requests; /**< decays with a time constant of 30 s, as the next two */
  double failures;
  double slow;
};

/** Evidence with its log-likelihood ratio by each test. */
struct detection_likelihood
{
  uint32_t requests;
  uint32_t failures;
  uint32_t slow;
  double ratios[DETECTION_TESTS];
};

/** Adds evidence of this observer.
 * @param all the target's totals before this evidence
 * @param max_score bound of the scores */
void detection_observer_add (struct detection_observer *observer,
                             int64_t now_us,
                             const struct detection_likelihood *likelihood,
                             const struct detection_totals *all,
                             double max_score);

/** Clears the scores and the exclusion. */
void detection_observer_reset (struct detection_observer *observer);

/** Returns the evidence of all other observers since the run of this observer
 * on TEST began. */
struct detection_likelihood
detection_observer_others (const struct detection_observer *observer, int test,
                           const struct detection_totals *all);

/** Returns the highest score. */
double detection_observer_score (const struct detection_observer *observer);

#endif
