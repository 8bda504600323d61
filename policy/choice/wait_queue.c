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
  *queue = (struct wait_queue){ .free_head = WAIT_QUEUE_NONE,
                                .unpromoted_root = ORDER_TREE_NONE };
  for (int i = 0; i < LANE_COUNT; i++)
    {
      queue->oldest[i] = WAIT_QUEUE_NONE;
      queue->newest[i] = WAIT_QUEUE_NONE;
      queue->ordered_root[i] = ORDER_TREE_NONE;
    }
}

void
wait_queue_clear (struct wait_queue *queue)
{
  free (queue->entries);
  free (queue->heap);
  free (queue->ordered);
  free (queue->unpromoted);
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
  queue->ordered
      = xreallocarray (queue->ordered, max_requests, sizeof *queue->ordered);
  queue->unpromoted = xreallocarray (queue->unpromoted, max_requests,
                                     sizeof *queue->unpromoted);
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

static struct order_key
order_key_of (const struct wait_entry *e)
{
  return (struct order_key){ .level = e->level,
                             .time_us = e->expires_us,
                             .seq = e->seq };
}

static uint32_t
count_before (const struct wait_queue *queue, struct order_key key)
{
  uint32_t before = 0;
  for (int i = 0; i < LANE_COUNT; i++)
    before += order_tree_rank (queue->ordered, queue->ordered_root[i], key);
  return before;
}

/* Inserts entry AT into the ordered sets. */
static void
add_ordered (struct wait_queue *queue, uint32_t at)
{
  struct wait_entry *e = &queue->entries[at];
  const struct order_key key = order_key_of (e);
  const struct order_key promotion
      = { .time_us = e->reuse_tried_us, .seq = e->seq };
  e->ahead = count_before (queue, key);
  order_tree_insert (queue->ordered,
                     &queue->ordered_root[wait_lane_of (&e->request)], at,
                     key);
  order_tree_insert (queue->unpromoted, &queue->unpromoted_root, at,
                     promotion);
}

uint32_t
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
    .level = r->precedence,
  };
  if (e->prev != WAIT_QUEUE_NONE)
    queue->entries[e->prev].next = at;
  else
    queue->oldest[lane] = at;
  queue->newest[lane] = at;
  queue->bytes += r->queued_bytes;
  queue->heap[queue->count] = at;
  heap_up (queue, queue->count++);
  add_ordered (queue, at);
  return at;
}

void
wait_queue_promote (struct wait_queue *queue, uint32_t entry, uint32_t level)
{
  struct wait_entry *e = &queue->entries[entry];
  uint32_t *root = &queue->ordered_root[wait_lane_of (&e->request)];
  if (!e->promoted)
    order_tree_remove (queue->unpromoted, &queue->unpromoted_root, entry);
  e->promoted = true;
  order_tree_remove (queue->ordered, root, entry);
  e->level = level;
  e->ahead = count_before (queue, order_key_of (e));
  order_tree_insert (queue->ordered, root, entry, order_key_of (e));
}

uint32_t
wait_queue_next_promotion (const struct wait_queue *queue, int64_t now_us)
{
  const uint32_t first
      = order_tree_at (queue->unpromoted, queue->unpromoted_root, 0);
  return first != ORDER_TREE_NONE
                 && queue->entries[first].reuse_tried_us <= now_us
             ? first
             : WAIT_QUEUE_NONE;
}

uint32_t
wait_queue_ordered (const struct wait_queue *queue, enum wait_lane lane,
                    uint32_t index)
{
  return order_tree_at (queue->ordered, queue->ordered_root[lane], index);
}

uint32_t
wait_queue_ordered_last (const struct wait_queue *queue, uint32_t index)
{
  uint32_t left[LANE_COUNT];
  for (int i = 0; i < LANE_COUNT; i++)
    left[i] = order_tree_count (queue->ordered, queue->ordered_root[i]);
  uint32_t last = WAIT_QUEUE_NONE;
  for (uint32_t i = 0; i <= index && i < queue->count; i++)
    {
      const uint32_t a = left[LANE_REPEATABLE] > 0 ? wait_queue_ordered (
                             queue, LANE_REPEATABLE, left[LANE_REPEATABLE] - 1)
                                                   : WAIT_QUEUE_NONE;
      const uint32_t b = left[LANE_UNREPEATABLE] > 0
                             ? wait_queue_ordered (queue, LANE_UNREPEATABLE,
                                                   left[LANE_UNREPEATABLE] - 1)
                             : WAIT_QUEUE_NONE;
      const bool is_b = a == WAIT_QUEUE_NONE
                        || (b != WAIT_QUEUE_NONE
                            && order_key_precedes (queue->ordered[a].key,
                                                   queue->ordered[b].key));
      last = is_b ? b : a;
      left[is_b ? LANE_UNREPEATABLE : LANE_REPEATABLE]--;
    }
  return index < queue->count ? last : WAIT_QUEUE_NONE;
}

enum wait_lane
wait_queue_first_lane (const struct wait_queue *queue)
{
  const uint32_t a = wait_queue_ordered (queue, LANE_REPEATABLE, 0);
  const uint32_t b = wait_queue_ordered (queue, LANE_UNREPEATABLE, 0);
  if (a == WAIT_QUEUE_NONE)
    return LANE_UNREPEATABLE;
  if (b == WAIT_QUEUE_NONE)
    return LANE_REPEATABLE;
  return order_key_precedes (queue->ordered[a].key, queue->ordered[b].key)
             ? LANE_REPEATABLE
             : LANE_UNREPEATABLE;
}

uint32_t
wait_queue_ahead (const struct wait_queue *queue, uint32_t entry)
{
  return count_before (queue, order_key_of (&queue->entries[entry]));
}

uint32_t
wait_queue_ahead_of_new (const struct wait_queue *queue, uint32_t level,
                         int64_t expires_us)
{
  const struct order_key key
      = { .level = level, .time_us = expires_us, .seq = queue->next_seq };
  return count_before (queue, key);
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
  order_tree_remove (queue->ordered, &queue->ordered_root[lane], entry);
  if (!e->promoted)
    order_tree_remove (queue->unpromoted, &queue->unpromoted_root, entry);
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
