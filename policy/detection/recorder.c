#include "policy/detection/recorder.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

enum
{
  INITIAL_CAPACITY = 16, /* power of two */
  URGENT_FAILURES = 1,   /* since the last report, for an urgent report */
  URGENT_REQUESTS_PER_FAILURE = 8, /* maximum, for an urgent report */
  SLOW_SHARE_PERCENT = 5,          /* share of latencies that count as slow */
  SLOW_LATENCIES_MIN = 100         /* needed to set the limit */
};

struct slot
{
  uint64_t key;
  bool used;
  struct detection_evidence evidence;
};

/* An open-addressed hash table, at most half full to keep probe sequences
   short. */
struct detection_recorder
{
  struct slot *slots;
  size_t capacity;  /* power of two */
  size_t next_slot; /* where the next collection continues */
  int64_t slow_us;  /* a cancelled attempt counts as slow from here on */
  uint32_t latency[DETECTION_LATENCY_BUCKETS]; /* halved if large */
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
  recorder->capacity = INITIAL_CAPACITY;
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
  size_t capacity = INITIAL_CAPACITY;
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
  recorder->next_slot = 0;
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
         && evidence->failures * (uint64_t)URGENT_REQUESTS_PER_FAILURE
                >= evidence->requests;
}

/* Updates the latency from which on this host counts an attempt as slow, a
   high quantile of the service's latencies. */
static void
update_slow_limit (struct detection_recorder *recorder,
                   const struct detection_evidence *evidence)
{
  uint64_t total = 0;
  for (uint32_t i = 0; i < DETECTION_LATENCY_BUCKETS; i++)
    {
      recorder->latency[i] += evidence->latency[i];
      total += recorder->latency[i];
    }
  if (total < SLOW_LATENCIES_MIN)
    return;
  uint32_t bucket = DETECTION_LATENCY_BUCKETS;
  uint64_t above = 0;
  while (bucket > 0
         && (above + recorder->latency[bucket - 1]) * 100
                <= total * SLOW_SHARE_PERCENT)
    above += recorder->latency[--bucket];
  recorder->slow_us = bucket < DETECTION_LATENCY_BUCKETS
                          ? detection_evidence_bucket_min_us (bucket)
                          : INT64_MAX;
  if (total < 100 * (uint64_t)SLOW_LATENCIES_MIN)
    return;
  for (uint32_t i = 0; i < DETECTION_LATENCY_BUCKETS; i++)
    recorder->latency[i] /= 2;
}

size_t
detection_recorder_collect (struct detection_recorder *recorder,
                            struct detection_report_item *items,
                            size_t max_items)
{
  size_t count = 0;
  for (size_t i = 0; i < recorder->capacity && count < max_items; i++)
    {
      struct slot *slot = &recorder->slots[recorder->next_slot];
      recorder->next_slot
          = (recorder->next_slot + 1) & (recorder->capacity - 1);
      if (!slot->used || detection_evidence_empty (&slot->evidence))
        continue;
      update_slow_limit (recorder, &slot->evidence);
      items[count++] = (struct detection_report_item){
        .target_key = slot->key,
        .evidence = slot->evidence,
      };
      memset (&slot->evidence, 0, sizeof slot->evidence);
    }
  return count;
}
