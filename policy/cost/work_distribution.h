/** @file
 * Distribution of the work of requests relative to what was expected of each,
 * and from it the expected remaining work of an attempt of some age.
 *
 * The remaining work isn't the expected work less the age: if most requests
 * take 100 ms and a few 700 ms, one that has run for 200 ms is most likely
 * one of the few.  It is the mean of what exceeds the age among the requests
 * that took longer.
 */
#ifndef POLICY_COST_WORK_DISTRIBUTION_H
#define POLICY_COST_WORK_DISTRIBUTION_H

#include <stdint.h>

enum
{
  WORK_DISTRIBUTION_BUCKETS_PER_UNIT = 16,
  /** Multiples of the expected work; longer attempts count as this long. */
  WORK_DISTRIBUTION_UNITS = 16,
  WORK_DISTRIBUTION_BUCKETS
  = WORK_DISTRIBUTION_BUCKETS_PER_UNIT * WORK_DISTRIBUTION_UNITS,
};

struct work_distribution
{
  double buckets[WORK_DISTRIBUTION_BUCKETS]; /**< weight of the samples in
                                                  each bucket, decaying */
  /** Expected remaining work at the start of each bucket. */
  double remaining[WORK_DISTRIBUTION_BUCKETS + 1];
  double total_weight; /**< sum of `buckets` */
  double next_weight;  /**< weight of the next sample; it grows instead of
                            decaying all others */
  uint32_t pending;    /**< samples not yet counted in `remaining` */
};

/** Without samples, the remaining work is what is left of the expected one,
 * but at least half of it. */
void work_distribution_init (struct work_distribution *d);

/** Add a request whose work was RATIO times the expected one. */
void work_distribution_add (struct work_distribution *d, double ratio);

/** Expected remaining work of an attempt of AGE, both in multiples of its
 * expected work; always above 0. */
double work_distribution_remaining (const struct work_distribution *d,
                                    double age);

#endif
