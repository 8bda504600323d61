#include "policy/detection/recorder.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

enum
{
  FIRST_CAPACITY = 16, /* power of two */
  URGENT_FAILURES = 1, /* since the last report */
  URGENT_SHARE = 8,    /* at least one failure in so many requests */
  SLOW_PERCENT = 5,    /* of all latencies are called slow */
  SLOW_EVIDENCE = 100  /* latencies needed to say what is slow */
};

struct slot
{
  uint64_t key;
  bool used;
  struct detection_evidence evidence;
};

/* An open-addressed table, at most half full, so that probes stay short. */
struct detection_recorder
{
  struct slot *slots;
  size_t capacity; /* power of two */
  size_t next;     /* where taking goes on */
  int64_t slow_us; /* from here on a cancelled attempt counts as slow */
  uint32_t latency[DETECTION_LATENCY_BUCKETS]; /* halved as it fills */
};

static struct slot *
find (struct slot *slots, size_t capacity, uint64_t key)
{
  size_t i = (size_t)((key * 0x9e3779b97f4a7c15u) >> 32) & (capacity - 1);
  while (slots[i].used && slots[i].key != key)
    i = (i + 1) & (capacity - 1);
  return &slots[i];
}

struct detection_recorder *
detection_recorder_create (void)
{
  struct detection_recorder *recorder = xcalloc (1, sizeof *recorder);
  recorder->capacity = FIRST_CAPACITY;
  recorder->slots = xcalloc (recorder->capacity, sizeof *recorder->slots);
  recorder->slow_us = INT64_MAX;
  return recorder;
}

void
detection_recorder_destroy (struct detection_recorder *recorder)
{
  if (recorder == NULL)
    return;
  free (recorder->slots);
  free (recorder);
}

void
detection_recorder_set_targets (struct detection_recorder *recorder,
                                const uint64_t *keys, size_t count)
{
  size_t capacity = FIRST_CAPACITY;
  while (capacity < 2 * count)
    capacity *= 2;
  struct slot *slots = xcalloc (capacity, sizeof *slots);
  for (size_t i = 0; i < count; i++)
    {
      struct slot *slot = find (slots, capacity, keys[i]);
      struct slot *old = find (recorder->slots, recorder->capacity, keys[i]);
      if (old->used)
        *slot = *old;
      slot->used = true;
      slot->key = keys[i];
    }
  free (recorder->slots);
  recorder->slots = slots;
  recorder->capacity = capacity;
  recorder->next = 0;
}

bool
detection_recorder_record (struct detection_recorder *recorder, uint64_t key,
                           enum attempt_end end, int64_t latency_us)
{
  struct slot *slot = find (recorder->slots, recorder->capacity, key);
  if (!slot->used)
    return false;
  struct detection_evidence *evidence = &slot->evidence;
  uint32_t failures = evidence->failures;
  detection_evidence_add (evidence, end, latency_us, recorder->slow_us);
  return evidence->failures != failures
         && evidence->failures >= URGENT_FAILURES
         && evidence->failures * (uint64_t)URGENT_SHARE >= evidence->requests;
}

/* The service's own high quantile as this host sees it. */
static void
learn_slow (struct detection_recorder *recorder,
            const struct detection_evidence *evidence)
{
  uint64_t total = 0;
  for (uint32_t i = 0; i < DETECTION_LATENCY_BUCKETS; i++)
    {
      recorder->latency[i] += evidence->latency[i];
      total += recorder->latency[i];
    }
  if (total < SLOW_EVIDENCE)
    return;
  uint32_t bucket = DETECTION_LATENCY_BUCKETS;
  uint64_t above = 0;
  while (bucket > 0
         && (above + recorder->latency[bucket - 1]) * 100
                <= total * SLOW_PERCENT)
    above += recorder->latency[--bucket];
  recorder->slow_us = bucket < DETECTION_LATENCY_BUCKETS
                          ? detection_evidence_bucket_min_us (bucket)
                          : INT64_MAX;
  if (total < 100 * (uint64_t)SLOW_EVIDENCE)
    return;
  for (uint32_t i = 0; i < DETECTION_LATENCY_BUCKETS; i++)
    recorder->latency[i] /= 2;
}

size_t
detection_recorder_collect (struct detection_recorder *recorder,
                            struct detection_report_item *items, size_t most)
{
  size_t count = 0;
  for (size_t seen = 0; seen < recorder->capacity && count < most; seen++)
    {
      struct slot *slot = &recorder->slots[recorder->next];
      recorder->next = (recorder->next + 1) & (recorder->capacity - 1);
      if (!slot->used || detection_evidence_empty (&slot->evidence))
        continue;
      learn_slow (recorder, &slot->evidence);
      items[count++] = (struct detection_report_item){
        .target_key = slot->key,
        .evidence = slot->evidence,
      };
      memset (&slot->evidence, 0, sizeof slot->evidence);
    }
  return count;
}
