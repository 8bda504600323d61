/** @file
 * Page's cumulative sum (CUSUM) of log-likelihood ratios for binary outcomes,
 * the test with the least delay for a given false alarm rate (E. S. Page,
 * "Continuous inspection schemes", Biometrika 41, 1954; G. Lorden, "Procedures
 * for reacting to a change in distribution", 1971).
 */
#ifndef POLICY_DETECTION_CUSUM_H
#define POLICY_DETECTION_CUSUM_H

#include <stdint.h>

/** The two hypotheses, as the log-likelihood ratio of one outcome. */
struct cusum
{
  double hit;  /**< of a bad outcome, > 0 */
  double miss; /**< of a good outcome, < 0 */
};

/** Creates a test of a share NORMAL of bad outcomes against a share FAULTY.
 * Requires 0 < NORMAL < FAULTY < 1. */
struct cusum cusum_make (double normal, double faulty);

/** Returns the log-likelihood ratio of a batch of HITS bad and MISSES good
 * outcomes. */
double cusum_ratio (const struct cusum *test, uint32_t hits, uint32_t misses);

/** Returns SCORE after a batch whose order is unknown.  It is clamped at 0
 * below, as in Page's sum, and at MAX above, so that the score of a target
 * that recovered falls below the threshold soon.  It never exceeds the score
 * of the same outcomes added one by one. */
double cusum_update (double score, double ratio, double max);

#endif
