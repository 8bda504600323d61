/** @file
 * Distribution of the response times of a service, learned from its
 * successful responses: a histogram with exponentially growing buckets in
 * which older responses decay.
 *
 * It gives the probability that an attempt of some age has no response yet.
 * Neither a constant nor a multiple of the mean can give that: if responses
 * take 0.5 s and rarely more than twice that, a second is a long time; for
 * another service with the same mean it isn't.
 */
#ifndef POLICY_CHOICE_LATENCY_HISTOGRAM_H
#define POLICY_CHOICE_LATENCY_HISTOGRAM_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  LATENCY_HISTOGRAM_BUCKETS_PER_OCTAVE
  = 8, /**< each a tenth wider than the one before, finer than the scatter of
            latencies */
  LATENCY_HISTOGRAM_OCTAVES = 17, /**< 1 ms to two minutes */
  LATENCY_HISTOGRAM_BUCKETS
  = LATENCY_HISTOGRAM_BUCKETS_PER_OCTAVE * LATENCY_HISTOGRAM_OCTAVES,
};

struct latency_histogram
{
  double buckets[LATENCY_HISTOGRAM_BUCKETS]; /**< weight of the responses in
                                                  each bucket, decaying */
  double survival[LATENCY_HISTOGRAM_BUCKETS + 1]; /**< share of responses
                                                       slower than the start of
                                                       each bucket */
  double total_weight;                            /**< sum of `buckets` */
  double next_weight; /**< weight of the next response; it grows instead of
                           decaying all others */
  uint32_t pending;   /**< responses not yet counted in `survival` */
};

void latency_histogram_init (struct latency_histogram *histogram);

/** Add a successful response that took LATENCY_US. */
void latency_histogram_add (struct latency_histogram *histogram,
                            int64_t latency_us);

/** Were there enough responses for latency_histogram_survival() to be
 * meaningful? */
bool latency_histogram_has_enough (const struct latency_histogram *histogram);

/** Are there too few responses to rule out rare slow ones? */
bool latency_histogram_is_sparse (const struct latency_histogram *histogram);

/** The share of responses that take longer than AGE_US.  It is never 0,
 * since a response can be slower than any before it. */
double latency_histogram_survival (const struct latency_histogram *histogram,
                                   int64_t age_us);

/** The lower bound of BUCKET. */
int64_t latency_histogram_bucket_start_us (uint32_t bucket);

#endif
