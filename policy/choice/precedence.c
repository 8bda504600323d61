#include "policy/choice/precedence.h"

#include <string.h>

#include "policy/choice/placement.h"
#include "policy/choice/service_state.h"

enum
{
  /* Maximum number of requests displaced for one: a few small ones for one
     with a large body. */
  VICTIMS_MAX = 4,
  /* Entries checked for lateness at each call, in turn.  The queue is polled
     every 20 ms, so that 100 entries are checked within half a second even
     without events. */
  LATE_CHECKS = 4,
  /* The expected wait of a queued request may be wrong by this factor. */
  LATE_MARGIN = 2,
  /* Parts of the retry bucket: a number takes tokens only beyond as many parts
     as there are lower numbers. */
  BUCKET_PARTS = 4,
};

bool
precedence_is_active (const struct service_policy *policy)
{
  return policy->options.modes.by_precedence
         && precedence_levels_has_several (&policy->levels, policy->now_us);
}

void
precedence_note_arrival (struct service_policy *policy,
                         const struct policy_request *r)
{
  if (policy->options.modes.by_precedence)
    precedence_levels_note_arrival (&policy->levels, policy->now_us,
                                    r->precedence);
}

/* Retries are limited for other reasons than a lack of capacity, so only the
   first attempt of a request counts. */
void
precedence_note_decision (struct service_policy *policy,
                          const struct policy_request *r,
                          const struct policy_decision *d)
{
  if (policy->options.modes.by_precedence && r->attempt <= 1
      && d->verdict != POLICY_QUEUE)
    precedence_levels_note_end (&policy->levels, policy->now_us, r->precedence,
                                d->verdict == POLICY_SEND);
}

/* The level by which a new request is served. */
static uint32_t
level_of (const struct service_policy *policy, const struct policy_request *r)
{
  if (!precedence_levels_is_starved (&policy->levels, policy->now_us,
                                     r->precedence))
    return r->precedence;
  return precedence_levels_lowest (&policy->levels, policy->now_us,
                                   r->precedence);
}

uint32_t
precedence_ahead (const struct service_policy *policy,
                  const struct policy_request *r, int64_t expires_us)
{
  if (!precedence_is_active (policy))
    return policy->queue.count;
  return wait_queue_ahead_of_new (&policy->queue, level_of (policy, r),
                                  expires_us);
}

/* Finds the requests to displace for R: the last ones in order, of higher
   levels.  Returns false if that wouldn't give enough space. */
static bool
find_victims (const struct service_policy *policy,
              const struct policy_request *r, uint32_t *victims,
              uint32_t *count)
{
  const struct wait_queue *queue = &policy->queue;
  uint64_t bytes = queue->bytes + r->queued_bytes;
  uint32_t requests = queue->count + 1;
  *count = 0;
  while (bytes > queue->max_bytes || requests > queue->max_requests)
    {
      if (*count >= VICTIMS_MAX
          || policy->displaced.count + *count >= DISPLACED_MAX)
        return false;
      const uint32_t at = wait_queue_ordered_last (queue, *count);
      if (at == WAIT_QUEUE_NONE
          || queue->entries[at].level <= level_of (policy, r))
        return false;
      bytes -= queue->entries[at].request.queued_bytes;
      requests--;
      victims[(*count)++] = at;
    }
  return true;
}

bool
precedence_has_space (const struct service_policy *policy,
                      const struct policy_request *r)
{
  uint32_t victims[VICTIMS_MAX];
  uint32_t count;
  if (wait_queue_has_space (&policy->queue, r->queued_bytes))
    return true;
  return precedence_is_active (policy) && !r->keeps_queue
         && find_victims (policy, r, victims, &count);
}

void
precedence_make_space (struct service_policy *policy,
                       const struct policy_request *r)
{
  uint32_t victims[VICTIMS_MAX];
  uint32_t count;
  if (wait_queue_has_space (&policy->queue, r->queued_bytes)
      || !find_victims (policy, r, victims, &count))
    return;
  for (uint32_t i = 0; i < count; i++)
    {
      struct displaced_requests *displaced = &policy->displaced;
      const struct policy_request victim
          = policy->queue.entries[victims[i]].request;
      const struct policy_decision d
          = placement_refuse (policy, &victim, POLICY_REASON_DISPLACED);
      displaced->decisions[displaced->count++] = d;
      wait_queue_remove (&policy->queue, victims[i]);
      precedence_note_decision (policy, &victim, &d);
    }
}

void
precedence_push (struct service_policy *policy, const struct policy_request *r,
                 int64_t expires_us, int64_t reuse_tried_us)
{
  const uint32_t level = level_of (policy, r);
  const uint32_t at
      = wait_queue_push (&policy->queue, r, expires_us, reuse_tried_us);
  if (level != r->precedence)
    wait_queue_promote (&policy->queue, at, level);
}

bool
precedence_next_displaced (struct service_policy *policy,
                           struct policy_decision *d)
{
  struct displaced_requests *displaced = &policy->displaced;
  if (displaced->count == 0)
    return false;
  *d = displaced->decisions[0];
  displaced->count--;
  memmove (displaced->decisions, displaced->decisions + 1,
           displaced->count * sizeof *displaced->decisions);
  return true;
}

void
precedence_cancel_displaced (struct service_policy *policy,
                             uint64_t request_id)
{
  struct displaced_requests *displaced = &policy->displaced;
  uint32_t kept = 0;
  for (uint32_t i = 0; i < displaced->count; i++)
    if (displaced->decisions[i].request_id != request_id)
      displaced->decisions[kept++] = displaced->decisions[i];
  displaced->count = kept;
}

void
precedence_promote (struct service_policy *policy)
{
  uint32_t at;
  if (!precedence_is_active (policy))
    return;
  while ((at = wait_queue_next_promotion (&policy->queue, policy->now_us))
         != WAIT_QUEUE_NONE)
    wait_queue_promote (
        &policy->queue, at,
        precedence_levels_next_lower (&policy->levels, policy->now_us,
                                      policy->queue.entries[at].level));
}

static bool
is_late (const struct service_policy *policy, uint32_t at)
{
  const struct wait_entry *e = &policy->queue.entries[at];
  const double wait_us = (wait_queue_ahead (&policy->queue, at) + 1)
                         * service_state_mean_interval_us (policy);
  return wait_us > LATE_MARGIN * (double)(e->expires_us - policy->now_us);
}

/* In a first-in, first-out queue only the newest request can be the first to
   become late.  Here others can, because later requests go before them. */
uint32_t
precedence_next_late (struct service_policy *policy,
                      enum policy_reason *reason)
{
  const struct wait_queue *queue = &policy->queue;
  *reason = POLICY_REASON_TOO_LATE;
  if (!precedence_is_active (policy))
    {
      const uint32_t newest = wait_queue_newest (queue);
      const int64_t expires_us = queue->entries[newest].expires_us;
      return queue->count * service_state_mean_interval_us (policy)
                     > LATE_MARGIN * (double)(expires_us - policy->now_us)
                 ? newest
                 : WAIT_QUEUE_NONE;
    }
  uint32_t late = wait_queue_ordered_last (queue, 0);
  bool found = is_late (policy, late);
  for (uint32_t i = 0; !found && i < LATE_CHECKS && i < queue->count; i++)
    {
      late = queue->heap[policy->late_cursor++ % queue->count];
      found = is_late (policy, late);
    }
  if (!found)
    return WAIT_QUEUE_NONE;
  if (wait_queue_ahead (queue, late) > queue->entries[late].ahead)
    *reason = POLICY_REASON_DISPLACED;
  return late;
}

uint32_t
precedence_entry (const struct service_policy *policy, enum wait_lane lane,
                  uint32_t index, uint32_t last)
{
  if (precedence_is_active (policy))
    return wait_queue_ordered (&policy->queue, lane, index);
  return index == 0 ? wait_queue_oldest (&policy->queue, lane)
                    : policy->queue.entries[last].next;
}

enum wait_lane
precedence_first_lane (const struct service_policy *policy)
{
  return precedence_is_active (policy)
             ? wait_queue_first_lane (&policy->queue)
             : wait_queue_older_lane (&policy->queue);
}

static double
reserved_share (const struct service_policy *policy,
                const struct policy_request *r)
{
  if (!precedence_is_active (policy))
    return 0;
  const uint32_t below = precedence_levels_below (
      &policy->levels, policy->now_us, r->precedence);
  return (below < BUCKET_PARTS ? below : BUCKET_PARTS - 1)
         / (double)BUCKET_PARTS;
}

bool
precedence_may_retry (struct service_policy *policy,
                      const struct policy_request *r,
                      enum policy_reason *reason)
{
  const struct retry_limits *limits = &policy->options.retries;
  *reason = POLICY_REASON_RETRY_BUDGET;
  if (!retry_budget_is_available (&policy->budget, limits, policy->now_us))
    return false;
  *reason = POLICY_REASON_RETRY_RESERVED;
  return retry_budget_exceeds (&policy->budget, limits, policy->now_us,
                               reserved_share (policy, r));
}

bool
precedence_take_retry (struct service_policy *policy,
                       const struct policy_request *r,
                       enum policy_reason *reason)
{
  return precedence_may_retry (policy, r, reason)
         && retry_budget_take (&policy->budget, &policy->options.retries,
                               policy->now_us);
}
