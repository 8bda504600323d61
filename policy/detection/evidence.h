/** @file
 * Evidence of one host on one target since its last report: counters of fixed
 * width, cheap to add and to encode.
 *
 * Latencies are kept as a histogram whose buckets grow by half an octave (256
 * us, 384 us, 512 us, 768 us, ... 8.4 s), which is enough to tell a slow
 * target from its peers by the share beyond a high quantile.
 */
#ifndef POLICY_DETECTION_EVIDENCE_H
#define POLICY_DETECTION_EVIDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/service_policy.h"

enum
{
  DETECTION_LATENCY_BUCKETS = 32
};

/** Counts of outcomes.  The buckets sum up to the successful responses plus
 * the cancelled attempts that had already been slow. */
struct detection_evidence
{
  uint32_t requests; /**< outcomes with evidence; shed ones have none */
  uint32_t failures; /**< of `requests`, including timeouts */
  uint32_t timeouts; /**< of `failures` */
  uint32_t sheds;    /**< refusals as "not run": overload, not a fault */
  uint32_t latency[DETECTION_LATENCY_BUCKETS];
};

/** Returns the bucket of LATENCY_US. */
uint32_t detection_evidence_bucket (int64_t latency_us);

/** Returns the lower bound of BUCKET; 0 for the first one. */
int64_t detection_evidence_bucket_min_us (uint32_t bucket);

/** Counts one outcome.  A cancelled attempt is counted only if it had taken
 * SLOW_US or longer, because its latency is then known to be at least that. */
void detection_evidence_add (struct detection_evidence *evidence,
                             enum attempt_end end, int64_t latency_us,
                             int64_t slow_us);

/** Adds MORE to EVIDENCE; counts saturate. */
void detection_evidence_merge (struct detection_evidence *evidence,
                               const struct detection_evidence *more);

/** Returns LATER - EARLIER of two running totals of the same observer, for
 * senders that report totals.  If a count decreased, the sender restarted and
 * LATER is returned unchanged. */
struct detection_evidence
detection_evidence_delta (const struct detection_evidence *later,
                          const struct detection_evidence *earlier);

/** Returns the number of latencies in BUCKET or higher. */
uint32_t detection_evidence_slow (const struct detection_evidence *evidence,
                                  uint32_t bucket);

/** Returns the number of latencies. */
uint32_t
detection_evidence_latencies (const struct detection_evidence *evidence);

bool detection_evidence_empty (const struct detection_evidence *evidence);

#endif
