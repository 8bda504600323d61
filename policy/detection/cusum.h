/** @file
 * Page's cumulative sum of log-likelihood ratios for yes/no outcomes, the
 * test with the least delay for a given rate of false alarms (E. S. Page,
 * "Continuous inspection schemes", Biometrika 41, 1954; G. Lorden, "Procedures
 * for reacting to a change in distribution", 1971).
 */
#ifndef POLICY_DETECTION_CUSUM_H
#define POLICY_DETECTION_CUSUM_H

#include <stdint.h>

/** The two hypotheses, as what one outcome adds to the score. */
struct cusum
{
  double hit;  /**< added by a bad outcome, > 0 */
  double miss; /**< added by a good outcome, < 0 */
};

/** Test a share of bad outcomes of NORMAL against one of FAULTY.
 * Requires 0 < NORMAL < FAULTY < 1. */
struct cusum cusum_make (double normal, double faulty);

/** The log-likelihood ratio of a batch. */
double cusum_ratio (const struct cusum *test, uint32_t hits, uint32_t misses);

/** SCORE after a batch whose order is unknown: clamped at 0 below, as Page's
 * sum, and at MOST above, so that a target that mended is not held guilty for
 * long.  Never above the score of the same outcomes one by one. */
double cusum_update (double score, double ratio, double most);

#endif
