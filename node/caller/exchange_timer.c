#include "node/caller/exchange_timer.h"

#include <stdio.h>
#include <sys/socket.h>

#include "base/clock.h"
#include "node/caller/exchange_attempt.h"
#include "node/caller/exchange_caller.h"
#include "node/caller/exchange_timeout.h"

enum
{
  US_PER_MS = 1000,
  RAW_CLOSE_DELAY_US = 1000 * US_PER_MS,
  CALLER_STALL_US = 250 * US_PER_MS,
  SHUTDOWN_RETRY_AFTER_MS = 100,
  TIMEOUT_RETRY_AFTER_MS = 100
};

static void
cancel_pending (struct exchange *x)
{
  const bool sent
      = x->attempt.call != NULL && target_call_may_have_sent (x->attempt.call);
  exchange_cancel_attempt (x, sent ? ATTEMPT_TIMED_OUT : ATTEMPT_NOT_SENT);
}

/* Respond with the outcome as far as it is known.  No attempt is in flight. */
static void
fail_pending (struct exchange *x, uint32_t status, const char *reason,
              uint32_t retry_after_ms)
{
  const bool unknown = run_record_may_have_run (&x->run_record);
  struct local_response response
      = { .status = status,
          .reason = reason,
          .retry_after_ms = unknown ? 0 : retry_after_ms };
  snprintf (response.message, sizeof response.message, "%s",
            unknown
                ? "no target's answer came in time: find out whether the "
                  "request has run before sending it again"
                : "no target took the request in time: send it again later "
                  "or with more time");
  exchange_respond_locally (x, &response);
}

/* The caller may still have time after the route's timeout. */
static void
on_deadline (struct exchange *x)
{
  cancel_pending (x);
  const bool can_retry
      = x->has_route_timeout && !run_record_may_have_run (&x->run_record);
  fail_pending (
      x, can_retry ? MHD_HTTP_SERVICE_UNAVAILABLE : MHD_HTTP_GATEWAY_TIMEOUT,
      "deadline", can_retry ? TIMEOUT_RETRY_AFTER_MS : 0);
}

void
exchange_abort_pending (struct exchange *x)
{
  if (x->state != EXCHANGE_WAITING && x->state != EXCHANGE_SENT)
    return;
  cancel_pending (x);
  fail_pending (x, MHD_HTTP_SERVICE_UNAVAILABLE, "host-stops",
                SHUTDOWN_RETRY_AFTER_MS);
}

/* A target may send a body without an announced length for ever.  Its caller
   states how long it waits for a response, and that applies to such a body as
   a whole.  A deadline that another host passed on may be that host's own
   default, which isn't a limit; that host ends the response. */
static bool
deadline_limits_body (const struct exchange *x)
{
  const bool is_stated = x->head.deadline_ms >= 0 || x->has_route_timeout;
  return is_stated && !x->head.is_forwarded && !x->head.relayed
         && x->attempt.call != NULL && x->attempt.length_bytes < 0;
}

/* End the response before its body is complete. */
static void
truncate_response (struct exchange *x, enum attempt_end end)
{
  exchange_cancel_attempt (x, end);
  x->response_truncated = true;
  exchange_schedule_run (x);
}

/* The target isn't at fault if its bytes wait for the caller. */
static enum attempt_end
end_at_deadline (const struct exchange *x, int64_t now_us)
{
  const bool caller_stalls
      = stream_buffer_pending_bytes (&x->response_body) > 0
        && now_us - x->last_read_us >= CALLER_STALL_US;
  return caller_stalls ? ATTEMPT_CANCELLED : ATTEMPT_TIMED_OUT;
}

/* Once a response is forwarded, the deadline has been met, except for a body
   without an announced length.  From then on a target may not stall for longer
   than the timeout of a whole request. */
static void
check_progress (struct exchange *x)
{
  const int64_t stall_max_us
      = (int64_t)x->service->spec->limits.timeout_ms * US_PER_MS;
  const int64_t now_us = clock_now_us ();
  const bool stalled = stream_buffer_pending_bytes (&x->response_body) == 0
                       && now_us - x->last_progress_us >= stall_max_us;
  const int64_t remaining_us = x->deadline_us - now_us;
  const bool is_limited = deadline_limits_body (x);
  if (stalled)
    truncate_response (x, ATTEMPT_TIMED_OUT);
  else if (is_limited && remaining_us <= 0)
    truncate_response (x, end_at_deadline (x, now_us));
  else
    exchange_set_timer (x, is_limited && remaining_us < stall_max_us
                               ? remaining_us
                               : stall_max_us);
}

static void
on_raw_response_timer (struct exchange *x)
{
  if (x->raw_response_sent)
    {
      x->caller_disconnected = true;
      shutdown (x->fd, SHUT_RDWR);
      exchange_schedule_run (x);
      return;
    }
  if (x->upload_complete || x->connection == NULL)
    return;
  exchange_send_raw_response (x);
  exchange_set_timer (x, RAW_CLOSE_DELAY_US);
}

/* If the process stood still, the target's answer may wait in the kernel.  It
   is read first: the run that a signal such as SIGCONT interrupts sees no
   events but timers, and in the next one this timer is handled last. */
static bool
read_pending_first (struct exchange *x)
{
  if (x->state != EXCHANGE_SENT || x->has_read_pending)
    return false;
  exchange_set_timer (x, 0);
  x->has_read_pending = true;
  return true;
}

void
exchange_timer_expired (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct exchange *x = timer->data;
  if (read_pending_first (x))
    return;
  const int64_t remaining_us = x->deadline_us - clock_now_us ();
  switch (x->state)
    {
    case EXCHANGE_WAITING:
      if (x->waits_for != EXCHANGE_WAIT_NONE)
        exchange_resume (x);
      else if (remaining_us > 0)
        exchange_set_timer (x, remaining_us);
      else
        on_deadline (x);
      break;
    case EXCHANGE_SENT:
      if (remaining_us > 0)
        exchange_timeout_check (x);
      else
        on_deadline (x);
      break;
    case EXCHANGE_FORWARDING:
      check_progress (x);
      break;
    case EXCHANGE_LOCAL_RESPONSE:
      on_raw_response_timer (x);
      break;
    case EXCHANGE_NEW:
    case EXCHANGE_FINISHED:
      break;
    }
}
