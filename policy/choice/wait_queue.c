#include "policy/choice/wait_queue.h"

#include <assert.h>
#include <stdlib.h>

#include "base/xmalloc.h"

enum wait_lane
wait_lane_of (const struct policy_request *r)
{
  return r->repeatable ? LANE_REPEATABLE : LANE_UNREPEATABLE;
}

void
wait_queue_init (struct wait_queue *queue)
{
  *queue = (struct wait_queue){ .free_head = WAIT_QUEUE_NONE };
  for (int i = 0; i < LANE_COUNT; i++)
    {
      queue->oldest[i] = WAIT_QUEUE_NONE;
      queue->newest[i] = WAIT_QUEUE_NONE;
    }
}

void
wait_queue_clear (struct wait_queue *queue)
{
  free (queue->entries);
  free (queue->heap);
  wait_queue_init (queue);
}

void
wait_queue_set_limits (struct wait_queue *queue, uint32_t max_requests,
                       uint32_t max_bytes)
{
  queue->max_requests = max_requests;
  queue->max_bytes = max_bytes;
  if (max_requests <= queue->capacity)
    return;
  queue->entries
      = xreallocarray (queue->entries, max_requests, sizeof *queue->entries);
  queue->heap = xreallocarray (queue->heap, max_requests, sizeof *queue->heap);
  for (uint32_t i = queue->capacity; i < max_requests; i++)
    {
      queue->entries[i].next = queue->free_head;
      queue->free_head = i;
    }
  queue->capacity = max_requests;
}

bool
wait_queue_has_space (const struct wait_queue *queue, uint32_t bytes)
{
  return queue->count < queue->max_requests
         && queue->bytes + bytes <= queue->max_bytes;
}

static void
heap_put (struct wait_queue *queue, uint32_t at, uint32_t entry)
{
  queue->heap[at] = entry;
  queue->entries[entry].heap_index = at;
}

static int64_t
heap_expiry (const struct wait_queue *queue, uint32_t at)
{
  return queue->entries[queue->heap[at]].expires_us;
}

static void
heap_up (struct wait_queue *queue, uint32_t at)
{
  const uint32_t entry = queue->heap[at];
  const int64_t time_us = queue->entries[entry].expires_us;
  while (at > 0 && heap_expiry (queue, (at - 1) / 2) > time_us)
    {
      heap_put (queue, at, queue->heap[(at - 1) / 2]);
      at = (at - 1) / 2;
    }
  heap_put (queue, at, entry);
}

static void
heap_down (struct wait_queue *queue, uint32_t at)
{
  const uint32_t entry = queue->heap[at];
  const int64_t time_us = queue->entries[entry].expires_us;
  for (;;)
    {
      uint32_t child = 2 * at + 1;
      if (child >= queue->count)
        break;
      if (child + 1 < queue->count
          && heap_expiry (queue, child + 1) < heap_expiry (queue, child))
        child++;
      if (heap_expiry (queue, child) >= time_us)
        break;
      heap_put (queue, at, queue->heap[child]);
      at = child;
    }
  heap_put (queue, at, entry);
}

void
wait_queue_push (struct wait_queue *queue, const struct policy_request *r,
                 int64_t expires_us, int64_t reuse_tried_us)
{
  assert (queue->free_head != WAIT_QUEUE_NONE);
  const uint32_t at = queue->free_head;
  struct wait_entry *e = &queue->entries[at];
  queue->free_head = e->next;
  const enum wait_lane lane = wait_lane_of (r);
  *e = (struct wait_entry){
    .request = *r,
    .expires_us = expires_us,
    .reuse_tried_us = reuse_tried_us,
    .seq = queue->next_seq++,
    .next = WAIT_QUEUE_NONE,
    .prev = queue->newest[lane],
  };
  if (e->prev != WAIT_QUEUE_NONE)
    queue->entries[e->prev].next = at;
  else
    queue->oldest[lane] = at;
  queue->newest[lane] = at;
  queue->bytes += r->queued_bytes;
  queue->heap[queue->count] = at;
  heap_up (queue, queue->count++);
}

uint32_t
wait_queue_oldest (const struct wait_queue *queue, enum wait_lane lane)
{
  return queue->oldest[lane];
}

uint32_t
wait_queue_newest (const struct wait_queue *queue)
{
  const uint32_t a = queue->newest[LANE_REPEATABLE];
  const uint32_t b = queue->newest[LANE_UNREPEATABLE];
  if (a == WAIT_QUEUE_NONE || b == WAIT_QUEUE_NONE)
    return a == WAIT_QUEUE_NONE ? b : a;
  return queue->entries[a].seq > queue->entries[b].seq ? a : b;
}

enum wait_lane
wait_queue_older_lane (const struct wait_queue *queue)
{
  const uint32_t a = queue->oldest[LANE_REPEATABLE];
  const uint32_t b = queue->oldest[LANE_UNREPEATABLE];
  if (a == WAIT_QUEUE_NONE)
    return LANE_UNREPEATABLE;
  if (b == WAIT_QUEUE_NONE)
    return LANE_REPEATABLE;
  return queue->entries[a].seq < queue->entries[b].seq ? LANE_REPEATABLE
                                                       : LANE_UNREPEATABLE;
}

uint32_t
wait_queue_next_expiring (const struct wait_queue *queue)
{
  return queue->count > 0 ? queue->heap[0] : WAIT_QUEUE_NONE;
}

uint32_t
wait_queue_find (const struct wait_queue *queue, uint64_t request_id)
{
  for (uint32_t i = 0; i < queue->count; i++)
    if (queue->entries[queue->heap[i]].request.id == request_id)
      return queue->heap[i];
  return WAIT_QUEUE_NONE;
}

static void
heap_remove (struct wait_queue *queue, uint32_t at)
{
  const uint32_t last = queue->heap[--queue->count];
  if (at == queue->count)
    return;
  heap_put (queue, at, last);
  heap_up (queue, at);
  heap_down (queue, queue->entries[last].heap_index);
}

void
wait_queue_remove (struct wait_queue *queue, uint32_t entry)
{
  struct wait_entry *e = &queue->entries[entry];
  const enum wait_lane lane = wait_lane_of (&e->request);
  if (e->prev != WAIT_QUEUE_NONE)
    queue->entries[e->prev].next = e->next;
  else
    queue->oldest[lane] = e->next;
  if (e->next != WAIT_QUEUE_NONE)
    queue->entries[e->next].prev = e->prev;
  else
    queue->newest[lane] = e->prev;
  queue->bytes -= e->request.queued_bytes;
  heap_remove (queue, e->heap_index);
  e->next = queue->free_head;
  queue->free_head = entry;
}

static void
renumber (struct policy_request *r, const uint32_t *numbers, uint32_t count)
{
  uint32_t kept = 0;
  for (uint32_t i = 0; i < r->tried_count; i++)
    {
      const uint32_t old = r->tried[i];
      if (old < count && numbers[old] != POLICY_NO_TARGET)
        r->tried[kept++] = numbers[old];
    }
  r->tried_count = kept;
}

void
wait_queue_renumber (struct wait_queue *queue, const uint32_t *numbers,
                     uint32_t count)
{
  for (uint32_t i = 0; i < queue->count; i++)
    renumber (&queue->entries[queue->heap[i]].request, numbers, count);
}
