/** @file
 * The requests that wait for a slot: bounded by count, bytes and time.
 *
 * First in, first out in each of two lanes, since unrepeatable requests may
 * wait for better targets than the others.  Each entry has a time at which it
 * is given up, because it could no longer finish by its deadline.
 */
#ifndef POLICY_CHOICE_WAIT_QUEUE_H
#define POLICY_CHOICE_WAIT_QUEUE_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/service_policy.h"

#define WAIT_QUEUE_NONE UINT32_MAX

/** Lanes of the queue. */
enum wait_lane
{
  LANE_REPEATABLE,
  LANE_UNREPEATABLE,
  LANE_COUNT,
};

/** One request that waits. */
struct wait_entry
{
  struct policy_request request;
  int64_t expires_us;
  int64_t reuse_tried_us; /**< from when targets tried before will do */
  uint64_t seq;           /**< of arrival, over both lanes */
  uint32_t next;          /**< in its lane, or among the unused */
  uint32_t prev;
  uint32_t heap_index;
};

/** The queue; memory is taken when its bound is set, not when it fills. */
struct wait_queue
{
  struct wait_entry *entries;
  uint32_t *heap;    /**< entries by the time they are given up */
  uint32_t capacity; /**< entries there is memory for */
  uint32_t max_requests;
  uint32_t max_bytes;
  uint32_t count;
  uint64_t bytes;
  uint64_t next_seq;
  uint32_t free_head;
  uint32_t oldest[LANE_COUNT];
  uint32_t newest[LANE_COUNT];
};

void wait_queue_init (struct wait_queue *queue);
void wait_queue_clear (struct wait_queue *queue);

/** Set the bounds; entries above a lowered bound stay. */
void wait_queue_set_limits (struct wait_queue *queue, uint32_t requests,
                            uint32_t bytes);

bool wait_queue_has_room (const struct wait_queue *queue, uint32_t bytes);

/** Append; there must be room. */
void wait_queue_push (struct wait_queue *queue, const struct policy_request *r,
                      int64_t give_up_us, int64_t again_us);

/** The oldest entry of LANE, or WAIT_QUEUE_NONE. */
uint32_t wait_queue_oldest (const struct wait_queue *queue,
                            enum wait_lane lane);

/** The newest entry of both lanes, or WAIT_QUEUE_NONE. */
uint32_t wait_queue_newest (const struct wait_queue *queue);

/** The lane whose oldest entry has waited longer. */
enum wait_lane wait_queue_older_lane (const struct wait_queue *queue);

/** The entry to be given up first, or WAIT_QUEUE_NONE. */
uint32_t wait_queue_next_expiring (const struct wait_queue *queue);

/** The entry of the request, or WAIT_QUEUE_NONE. */
uint32_t wait_queue_find (const struct wait_queue *queue, uint64_t request_id);

void wait_queue_remove (struct wait_queue *queue, uint32_t entry);

/** Targets got new numbers: NUMBERS[old] is new, or POLICY_NO_TARGET. */
void wait_queue_renumber (struct wait_queue *queue, const uint32_t *numbers,
                          uint32_t count);

enum wait_lane wait_lane_of (const struct policy_request *r);

#endif
