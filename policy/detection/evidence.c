#include "policy/detection/evidence.h"

#include <string.h>

enum
{
  LOWEST_OCTAVE = 8 /* 2^8 us = 256 us; lower latencies are in bucket 0 */
};

uint32_t
detection_evidence_bucket (int64_t latency_us)
{
  if (latency_us < ((int64_t)1 << LOWEST_OCTAVE))
    return 0;
  uint32_t octave = 63 - (uint32_t)__builtin_clzll ((uint64_t)latency_us);
  uint32_t upper_half = (uint32_t)(latency_us >> (octave - 1)) & 1;
  uint32_t bucket = 1 + 2 * (octave - LOWEST_OCTAVE) + upper_half;
  return bucket < DETECTION_LATENCY_BUCKETS ? bucket
                                            : DETECTION_LATENCY_BUCKETS - 1;
}

int64_t
detection_evidence_bucket_min_us (uint32_t bucket)
{
  if (bucket == 0)
    return 0;
  uint32_t octave = LOWEST_OCTAVE + (bucket - 1) / 2;
  int64_t start = (int64_t)1 << octave;
  return (bucket - 1) % 2 == 0 ? start : start + start / 2;
}

static void
add_saturating (uint32_t *count, uint32_t more)
{
  if (__builtin_add_overflow (*count, more, count))
    *count = UINT32_MAX;
}

static void
count_failure (struct detection_evidence *evidence)
{
  add_saturating (&evidence->requests, 1);
  add_saturating (&evidence->failures, 1);
}

void
detection_evidence_add (struct detection_evidence *evidence,
                        enum attempt_end end, int64_t latency_us,
                        int64_t slow_us)
{
  switch (end)
    {
    case ATTEMPT_ANSWERED:
      add_saturating (&evidence->requests, 1);
      add_saturating (
          &evidence->latency[detection_evidence_bucket (latency_us)], 1);
      break;
    case ATTEMPT_FAILED:
    case ATTEMPT_NOT_SENT:
    case ATTEMPT_CUT:
      count_failure (evidence);
      break;
    case ATTEMPT_TIMED_OUT:
      count_failure (evidence);
      add_saturating (&evidence->timeouts, 1);
      break;
    case ATTEMPT_SHED:
      add_saturating (&evidence->sheds, 1);
      break;
    case ATTEMPT_CANCELLED:
      /* If callers give up on a hanging target before the timeout, its
         attempts end as cancelled and never as timed out, and the target would
         not be found.  An attempt that had already taken longer than normal
         counts as slow, whatever its end; an early cancellation is no
         evidence. */
      if (latency_us < slow_us)
        break;
      add_saturating (&evidence->requests, 1);
      add_saturating (
          &evidence->latency[detection_evidence_bucket (latency_us)], 1);
      break;
    }
}

void
detection_evidence_merge (struct detection_evidence *evidence,
                          const struct detection_evidence *more)
{
  add_saturating (&evidence->requests, more->requests);
  add_saturating (&evidence->failures, more->failures);
  add_saturating (&evidence->timeouts, more->timeouts);
  add_saturating (&evidence->sheds, more->sheds);
  for (uint32_t i = 0; i < DETECTION_LATENCY_BUCKETS; i++)
    add_saturating (&evidence->latency[i], more->latency[i]);
}

static bool
counter_decreased (const struct detection_evidence *later,
                   const struct detection_evidence *earlier)
{
  if (later->requests < earlier->requests
      || later->failures < earlier->failures
      || later->timeouts < earlier->timeouts || later->sheds < earlier->sheds)
    return true;
  for (uint32_t i = 0; i < DETECTION_LATENCY_BUCKETS; i++)
    if (later->latency[i] < earlier->latency[i])
      return true;
  return false;
}

struct detection_evidence
detection_evidence_delta (const struct detection_evidence *later,
                          const struct detection_evidence *earlier)
{
  if (counter_decreased (later, earlier))
    return *later;
  struct detection_evidence delta = {
    .requests = later->requests - earlier->requests,
    .failures = later->failures - earlier->failures,
    .timeouts = later->timeouts - earlier->timeouts,
    .sheds = later->sheds - earlier->sheds,
  };
  for (uint32_t i = 0; i < DETECTION_LATENCY_BUCKETS; i++)
    delta.latency[i] = later->latency[i] - earlier->latency[i];
  return delta;
}

uint32_t
detection_evidence_slow (const struct detection_evidence *evidence,
                         uint32_t bucket)
{
  uint32_t slow = 0;
  for (uint32_t i = bucket; i < DETECTION_LATENCY_BUCKETS; i++)
    add_saturating (&slow, evidence->latency[i]);
  return slow;
}

uint32_t
detection_evidence_latencies (const struct detection_evidence *evidence)
{
  return detection_evidence_slow (evidence, 0);
}

bool
detection_evidence_empty (const struct detection_evidence *evidence)
{
  return evidence->requests == 0 && evidence->sheds == 0;
}
