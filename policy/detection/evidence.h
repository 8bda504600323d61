/** @file
 * What one host saw of one target since its last report: plain counts of
 * fixed width, cheap to add up and to encode.
 *
 * Latencies are kept as a histogram whose buckets grow by half an octave
 * (256 us, 384 us, 512 us, 768 us, ... 8.4 s), enough to tell a slow target
 * from its peers by the share beyond a high quantile.
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

/** Counts of outcomes.  The buckets add up to the good answers plus the
 * cancelled attempts that had already taken long. */
struct detection_evidence
{
  uint32_t requests; /**< outcomes that tell something; shed ones don't */
  uint32_t failures; /**< of `requests`, timeouts included */
  uint32_t timeouts; /**< of `failures` */
  uint32_t sheds;    /**< "not run" refusals: load, not a fault */
  uint32_t latency[DETECTION_LATENCY_BUCKETS];
};

/** The bucket that LATENCY_US falls into. */
uint32_t detection_evidence_bucket (int64_t latency_us);

/** The lowest latency of BUCKET; 0 for the first. */
int64_t detection_evidence_bucket_min_us (uint32_t bucket);

/** Count one outcome.  A cancelled attempt is counted only if it had taken
 * SLOW_US or longer: its latency is then known to be at least that. */
void detection_evidence_add (struct detection_evidence *evidence,
                             enum attempt_end end, int64_t latency_us,
                             int64_t slow_us);

/** Add MORE to EVIDENCE; counts saturate. */
void detection_evidence_merge (struct detection_evidence *evidence,
                               const struct detection_evidence *more);

/** @return LATER - EARLIER of two running totals of the same observer, for
 * senders that report totals; a count that went back (the sender restarted)
 * gives LATER as it is. */
struct detection_evidence
detection_evidence_delta (const struct detection_evidence *later,
                          const struct detection_evidence *earlier);

/** How many latencies are in BUCKET or higher. */
uint32_t detection_evidence_slow (const struct detection_evidence *evidence,
                                  uint32_t bucket);

/** How many latencies there are. */
uint32_t
detection_evidence_latencies (const struct detection_evidence *evidence);

bool detection_evidence_empty (const struct detection_evidence *evidence);

#endif
