#define LOG_MODULE "caller"

#include "node/caller/exchange_timeout.h"

#include "base/clock.h"
#include "base/log.h"
#include "node/caller/decision_log.h"
#include "node/caller/exchange_admit.h"
#include "node/caller/exchange_attempt.h"
#include "node/caller/exchange_indirect.h"
#include "node/caller/retry_transfer.h"

enum
{
  TIMEOUT_CHECK_INTERVAL_MIN_US = 10000,
  RETRY_POLL_INTERVAL_US = 100000
};

/* Set the timer to expire in ATTEMPT_US or at the deadline, whichever is
   earlier. */
static void
set_timer (struct exchange *x, int64_t attempt_us)
{
  const int64_t now_us = clock_now_us ();
  const int64_t remaining_us = x->deadline_us - now_us;
  const int64_t wait_us
      = attempt_us < remaining_us ? attempt_us : remaining_us;
  exchange_set_timer (x, wait_us);
}

void
exchange_timeout_start (struct exchange *x)
{
  if (!x->repeatable || exchange_indirect_is_requested (x))
    return;
  struct policy_request r = exchange_policy_request (x);
  r.attempt = x->attempt_count;
  x->attempt.retry_unavailable = false;
  x->attempt.head_timeout_us = service_policy_attempt_timeout_us (
      x->service->policy, x->attempt.started_us, &r,
      caller_service_find_target (x->service, x->attempt.key));
  set_timer (x, x->attempt.head_timeout_us);
}

/* BLOCKED_BY: why there is no other attempt; "": there is one. */
static void
log_timeout (const struct exchange *x, const char *then,
             const char *blocked_by)
{
  const char *service = x->service->name;
  const char *target = x->attempt.target;
  const char *id = x->head.id;
  LOG_WARN ("attempt-hangs", LOG_STR ("id", id), LOG_STR ("service", service),
            LOG_INT ("request", x->id), LOG_STR ("target", target),
            LOG_INT ("timeout_us", x->attempt.head_timeout_us),
            LOG_STR ("then", then), LOG_STR ("why", "attempt-timeout"),
            LOG_STR ("blocked_by", blocked_by));
  caller_counters_add (x->context->counters.timeouts, service, then);
}

/* A body whose beginning was discarded can't be sent again; see
   retry_or_fail() in exchange_attempt.c.  A leaving host doesn't retry either:
   it would cancel an attempt whose target is still working, and if the other
   target then fails, the caller gets no response although the first one was
   still to come. */
static bool
retry_on_other_target (struct exchange *x, const char **blocked_by)
{
  *blocked_by = x->context->leaving ? "host-leaves" : "body-discarded";
  if (x->upload.start_discarded || x->context->leaving)
    return false;
  const bool sent = target_call_may_have_sent (x->attempt.call);
  struct policy_request r = exchange_policy_request (x);
  r.unsent += (uint32_t)!sent;
  r.after_unsent = !sent;
  struct policy_decision decision;
  if (!service_policy_admit_failover (x->service->policy, clock_now_us (), &r,
                                      &decision))
    {
      *blocked_by = policy_reason_name (decision.reason);
      if (!x->attempt.retry_unavailable)
        decision_count_precedence (x, decision.reason);
      return false;
    }
  log_timeout (x, "elsewhere", "");
  exchange_cancel_attempt (x, sent ? ATTEMPT_TIMED_OUT : ATTEMPT_NOT_SENT);
  exchange_apply_decision (x, &decision);
  return true;
}

/* No retry is allowed now, or no other target is available.  The check is
   repeated, since a retry may become possible shortly; otherwise the attempt
   would hang until the request's deadline. */
static void
extend_timeout (struct exchange *x, const char *blocked_by)
{
  struct exchange_attempt *attempt = &x->attempt;
  if (!attempt->retry_unavailable)
    log_timeout (x, "waits", blocked_by);
  attempt->retry_unavailable = true;
  retry_transfer_request (x->context, x->service);
  attempt->head_timeout_us
      = exchange_attempt_latency_us (attempt) + RETRY_POLL_INTERVAL_US;
  set_timer (x, RETRY_POLL_INTERVAL_US);
}

void
exchange_timeout_check (struct exchange *x)
{
  struct exchange_attempt *attempt = &x->attempt;
  const int64_t attempt_us
      = attempt->head_timeout_us == ATTEMPT_NO_TIMEOUT
            ? ATTEMPT_NO_TIMEOUT
            : attempt->head_timeout_us - exchange_attempt_latency_us (attempt);
  if (attempt->head_received || attempt_us == ATTEMPT_NO_TIMEOUT)
    set_timer (x, ATTEMPT_NO_TIMEOUT);
  else if (attempt_us > 0)
    set_timer (x, attempt_us > TIMEOUT_CHECK_INTERVAL_MIN_US
                      ? attempt_us
                      : TIMEOUT_CHECK_INTERVAL_MIN_US);
  else
    {
      const char *blocked_by;
      if (!retry_on_other_target (x, &blocked_by))
        extend_timeout (x, blocked_by);
    }
}
