/** @file
 * Queue of requests that wait for a slot, bounded by count, bytes and time.
 *
 * It has two lanes, each first in, first out, since unrepeatable requests may
 * wait for better targets than the others.  Each entry expires when the
 * request could no longer finish by its deadline.
 *
 * The entries of each lane are also kept in the order of their levels, and of
 * their expiry times within a level, for services that serve by precedence.
 */
#ifndef POLICY_CHOICE_WAIT_QUEUE_H
#define POLICY_CHOICE_WAIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/choice/order_tree.h"
#include "policy/service_policy.h"

#define WAIT_QUEUE_NONE UINT32_MAX

/** Lanes of the queue. */
enum wait_lane
{
  LANE_REPEATABLE,
  LANE_UNREPEATABLE,
  LANE_COUNT,
};

/** A queued request. */
struct wait_entry
{
  struct policy_request request;
  int64_t expires_us;
  int64_t reuse_tried_us; /**< when targets already tried become acceptable */
  uint64_t seq;           /**< order of arrival over both lanes */
  uint32_t next;          /**< in its lane, or in the free list */
  uint32_t prev;
  uint32_t heap_index;
  uint32_t level; /**< precedence by which it is served; lower than that of
                       the request once it is promoted */
  uint32_t ahead; /**< entries ordered before it when it was queued */
  bool promoted;
};

/** The queue.  Memory is allocated when its limits are set, not when it
 * fills. */
struct wait_queue
{
  struct wait_entry *entries;
  uint32_t *heap;    /**< entries by expiry time */
  uint32_t capacity; /**< allocated entries */
  uint32_t max_requests;
  uint32_t max_bytes;
  uint32_t count;
  uint64_t bytes;
  uint64_t next_seq;
  uint32_t free_head;
  uint32_t oldest[LANE_COUNT];
  uint32_t newest[LANE_COUNT];
  struct order_node *ordered; /**< parallel to `entries` */
  uint32_t ordered_root[LANE_COUNT];
  struct order_node *unpromoted; /**< by the time of promotion */
  uint32_t unpromoted_root;
};

void wait_queue_init (struct wait_queue *queue);
void wait_queue_clear (struct wait_queue *queue);

/** Set the limits; entries above a lowered limit stay. */
void wait_queue_set_limits (struct wait_queue *queue, uint32_t max_requests,
                            uint32_t max_bytes);

bool wait_queue_has_space (const struct wait_queue *queue, uint32_t bytes);

/** Append an entry of the level `precedence`; there must be free space.
 * @return the entry */
uint32_t wait_queue_push (struct wait_queue *queue,
                          const struct policy_request *r, int64_t expires_us,
                          int64_t reuse_tried_us);

/** Serve ENTRY by LEVEL from now on; it isn't promoted any more. */
void wait_queue_promote (struct wait_queue *queue, uint32_t entry,
                         uint32_t level);

/** An entry that has waited for half of its time by NOW_US and wasn't
 * promoted, or WAIT_QUEUE_NONE. */
uint32_t wait_queue_next_promotion (const struct wait_queue *queue,
                                    int64_t now_us);

/** The entry of LANE with INDEX others of it ordered before it, or
 * WAIT_QUEUE_NONE. */
uint32_t wait_queue_ordered (const struct wait_queue *queue,
                             enum wait_lane lane, uint32_t index);

/** The entry of both lanes with INDEX others ordered after it, or
 * WAIT_QUEUE_NONE.  Takes O(INDEX log n). */
uint32_t wait_queue_ordered_last (const struct wait_queue *queue,
                                  uint32_t index);

/** The lane whose first entry in order goes before that of the other. */
enum wait_lane wait_queue_first_lane (const struct wait_queue *queue);

/** The number of entries ordered before ENTRY. */
uint32_t wait_queue_ahead (const struct wait_queue *queue, uint32_t entry);

/** The number of entries that a new one of LEVEL, which expires at EXPIRES_US,
 * would wait for. */
uint32_t wait_queue_ahead_of_new (const struct wait_queue *queue,
                                  uint32_t level, int64_t expires_us);

/** The oldest entry of LANE, or WAIT_QUEUE_NONE. */
uint32_t wait_queue_oldest (const struct wait_queue *queue,
                            enum wait_lane lane);

/** The newest entry of both lanes, or WAIT_QUEUE_NONE. */
uint32_t wait_queue_newest (const struct wait_queue *queue);

/** The lane whose oldest entry has waited longer. */
enum wait_lane wait_queue_older_lane (const struct wait_queue *queue);

/** The entry that expires first, or WAIT_QUEUE_NONE. */
uint32_t wait_queue_next_expiring (const struct wait_queue *queue);

/** The entry of the request, or WAIT_QUEUE_NONE. */
uint32_t wait_queue_find (const struct wait_queue *queue, uint64_t request_id);

void wait_queue_remove (struct wait_queue *queue, uint32_t entry);

/** Update target numbers: NUMBERS maps old to new ones, POLICY_NO_TARGET if
 * the target is gone. */
void wait_queue_renumber (struct wait_queue *queue, const uint32_t *numbers,
                          uint32_t count);

enum wait_lane wait_lane_of (const struct policy_request *r);

#endif
