/** @file
 * How long good answers of a service take, as learned: a histogram over times
 * that grow by a constant factor, in which older answers fade.
 *
 * It says what the age of an attempt without an answer means.  A constant, or
 * a multiple of the mean, can't: of a service whose answers take 0.5 s and
 * seldom more than twice that, a second is a long time, of another with the
 * same mean it isn't.
 */
#ifndef POLICY_CHOICE_LATENCY_HISTOGRAM_H
#define POLICY_CHOICE_LATENCY_HISTOGRAM_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  LATENCY_HISTOGRAM_BUCKETS_PER_OCTAVE
  = 8, /**< steps of a tenth: finer than the scatter */
  LATENCY_HISTOGRAM_OCTAVES = 17, /**< from 1 ms to two minutes */
  LATENCY_HISTOGRAM_BUCKETS
  = LATENCY_HISTOGRAM_BUCKETS_PER_OCTAVE * LATENCY_HISTOGRAM_OCTAVES,
};

struct latency_histogram
{
  double buckets[LATENCY_HISTOGRAM_BUCKETS]; /**< by time, fading */
  double
      survival[LATENCY_HISTOGRAM_BUCKETS + 1]; /**< share that takes longer
                                           than the beginning of each step */
  double total_weight;                         /**< sum of `answers` */
  double next_weight; /**< of the next answer; grows in place of all others'
                         fading */
  uint32_t pending;   /**< answers that `survival` doesn't show yet */
};

void latency_histogram_init (struct latency_histogram *times);

/** A good answer took LATENCY_US. */
void latency_histogram_add (struct latency_histogram *times,
                            int64_t latency_us);

/** Is enough known for latency_histogram_survival() to mean anything? */
bool latency_histogram_has_enough (const struct latency_histogram *times);

/** Are they too few for a rare longer one to be told from none? */
bool latency_histogram_is_sparse (const struct latency_histogram *times);

/** The share of answers that take longer than AGE_US: never 0, since longer
 * ones than any before may come. */
double latency_histogram_survival (const struct latency_histogram *times,
                                   int64_t age_us);

/** The beginning of step N. */
int64_t latency_histogram_bucket_start_us (uint32_t n);

#endif
