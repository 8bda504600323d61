#include "node/caller/exchange_admit.h"

#include <stdio.h>

#include "node/caller/caller_cost.h"
#include "node/caller/decision_log.h"
#include "node/caller/exchange_attempt.h"
#include "node/caller/exchange_forward.h"
#include "node/caller/exchange_indirect.h"
#include "node/caller/exchange_leave.h"
#include "node/caller/exchange_poison.h"
#include "node/caller/exchange_send.h"
#include "node/caller/retry_transfer.h"

uint32_t
exchange_retry_after_ms (const struct exchange *x, uint32_t own_ms)
{
  return own_ms > x->target_retry_after_ms ? own_ms : x->target_retry_after_ms;
}

/* The memory that X needs while it is queued: its head, and as much of its
   body as fits the buffer, received or not. */
static uint32_t
queued_bytes (const struct exchange *x)
{
  uint64_t body_bytes = 0;
  if (x->head.body == REQUEST_BODY_SIZED)
    body_bytes = (uint64_t)x->head.body_bytes;
  else if (x->head.body == REQUEST_BODY_CHUNKED)
    body_bytes = x->upload.capacity_bytes;
  if (body_bytes > x->upload.capacity_bytes)
    body_bytes = x->upload.capacity_bytes;
  return x->head.head_bytes + (uint32_t)body_bytes;
}

uint32_t
exchange_precedence (const struct exchange *x)
{
  const struct admission_settings *admission = &x->service->admission;
  if (admission->by_workspace && x->has_workspace_priority)
    return x->workspace_priority;
  return admission->by_workspace || admission->by_route_priority
             ? x->route_priority
             : 0;
}

struct policy_request
exchange_policy_request (const struct exchange *x)
{
  struct policy_request r = {
    .id = x->id,
    .deadline_us = x->deadline_us,
    .goal_us = x->goal_us,
    .queued_bytes = queued_bytes (x),
    .repeatable = x->repeatable,
    .attempt = x->attempt_count + 1,
    .unsent = x->unsent_count,
    .after_unsent = x->last_attempt_unsent,
    .attempts_max = x->attempts_max,
    .is_counted = x->head.is_counted,
    .precedence = exchange_precedence (x),
  };
  caller_cost_keys (x, r.cost_keys);
  for (uint32_t i = 0; i < x->tried_count; i++)
    {
      const uint32_t target
          = service_policy_find (x->service->policy, x->tried_targets[i]);
      if (target != POLICY_NO_TARGET)
        r.tried[r.tried_count++] = target;
    }
  return r;
}

static void
refuse_by_policy (struct exchange *x, const struct policy_decision *decision)
{
  const bool unknown = run_record_may_have_run (&x->run_record);
  struct local_response response
      = { .status = MHD_HTTP_SERVICE_UNAVAILABLE,
          .reason = policy_reason_name (decision->reason),
          .retry_after_ms
          = exchange_retry_after_ms (x, decision->retry_after_ms) };
  /* The first of the resting targets that takes requests again may be another
     one than the last that asked for rest. */
  if (decision->reason == POLICY_REASON_NO_TARGET
      && decision->retry_after_ms > 0)
    response.retry_after_ms = decision->retry_after_ms;
  snprintf (response.message, sizeof response.message, "%s",
            unknown
                ? "an attempt was lost and none further is allowed: find out "
                  "whether it has run before sending it again"
                : "the service can't take the request now: come back after "
                  "the time given, or ask for other addresses");
  exchange_respond_locally (x, &response);
}

/* Checks again, because the request may have been blocked, or time may have
   passed, while it was queued or between two attempts. */
static void
send_if_allowed (struct exchange *x, const struct policy_decision *decision)
{
  uint32_t remaining_ms = 0;
  const uint32_t target = decision->target;
  const bool is_blocked = !exchange_poison_may_send (x, &remaining_ms);
  if (!is_blocked
      && !exchange_leave_is_too_long (x, decision->expected_cost_us))
    {
      exchange_send (x, target);
      return;
    }
  caller_service_record_outcome (x->service, x->service->targets[target].key,
                                 ATTEMPT_CANCELLED, 0, x->repeatable);
  if (is_blocked)
    exchange_poison_refuse (x, remaining_ms);
  else
    exchange_leave_refuse (x);
}

void
exchange_apply_decision (struct exchange *x,
                         const struct policy_decision *decision)
{
  decision_log (x, decision);
  switch (decision->verdict)
    {
    case POLICY_SEND:
      x->attempt.expected_us = decision->expected_cost_us;
      send_if_allowed (x, decision);
      break;
    case POLICY_QUEUE:
      x->state = EXCHANGE_WAITING;
      break;
    case POLICY_REFUSE:
      refuse_by_policy (x, decision);
      break;
    }
}

void
exchange_admit (struct exchange *x)
{
  if (exchange_indirect_is_requested (x))
    {
      exchange_indirect_admit (x);
      return;
    }
  if (exchange_forward (x))
    return;
  const struct policy_request r = exchange_policy_request (x);
  const struct policy_decision decision
      = caller_service_admit (x->service, &r, &x->waiter);
  retry_transfer_request (x->context, x->service);
  exchange_apply_decision (x, &decision);
}
