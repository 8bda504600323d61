#define LOG_MODULE "caller"

#include "node/caller/exchange_timeout.h"

#include "base/clock.h"
#include "base/log.h"
#include "node/caller/exchange_attempt.h"

enum
{
  LOOK_AGAIN_US = 10000, /* least time between two looks at an attempt */
  ELSEWHERE_AGAIN_US = 100000
};

/* Arm the timer for the attempt's end in REST_US, or for the deadline. */
static void
arm (struct exchange *x, int64_t rest_us)
{
  const int64_t now_us = clock_now_us ();
  const int64_t left_us = x->deadline_us - now_us;
  const int64_t wait_us = rest_us < left_us ? rest_us : left_us;
  exchange_set_timer (x, wait_us);
}

void
exchange_timeout_start (struct exchange *x)
{
  if (!x->repeatable)
    return;
  struct policy_request r = exchange_policy_request (x);
  r.attempt = x->attempt_count;
  x->attempt.retry_unavailable = false;
  x->attempt.head_timeout_us = service_policy_attempt_timeout_us (
      x->service->policy, x->attempt.started_us, &r,
      caller_service_find_target (x->service, x->attempt.key));
  arm (x, x->attempt.head_timeout_us);
}

static void
note (const struct exchange *x, const char *then)
{
  const char *service = x->service->name;
  const char *target = x->attempt.target;
  const char *id = x->head.id;
  LOG_WARN ("attempt-hangs", LOG_STR ("id", id), LOG_STR ("service", service),
            LOG_INT ("request", x->id), LOG_STR ("target", target),
            LOG_INT ("timeout_us", x->attempt.head_timeout_us),
            LOG_STR ("then", then), LOG_STR ("why", "attempt-timeout"));
  caller_counters_add (x->context->counters.timeouts, service, then);
}

/* A body whose beginning is gone can't be sent again; see try_again() in
   exchange_attempt.c.  Guards also against a host that leaves and gives up an
   attempt whose target is at work, for another that then fails: its caller
   gets nothing, though the first target's answer was still to come. */
static bool
go_elsewhere (struct exchange *x)
{
  if (x->upload.start_discarded || x->context->leaving)
    return false;
  const bool sent = target_call_may_have_sent (x->attempt.call);
  struct policy_request r = exchange_policy_request (x);
  r.unsent += (uint32_t)!sent;
  r.after_unsent = !sent;
  struct policy_decision decision;
  if (!service_policy_admit_failover (x->service->policy, clock_now_us (), &r,
                                      &decision))
    return false;
  note (x, "elsewhere");
  exchange_cancel_attempt (x, sent ? ATTEMPT_TIMED_OUT : ATTEMPT_NOT_SENT);
  exchange_apply_decision (x, &decision);
  return true;
}

/* There is no retry to take now, or no target to go to.  Guards against an
   attempt that then hangs to its deadline, though a moment later there is. */
static void
wait_on (struct exchange *x)
{
  struct exchange_attempt *attempt = &x->attempt;
  if (!attempt->retry_unavailable)
    note (x, "waits");
  attempt->retry_unavailable = true;
  attempt->head_timeout_us
      = exchange_attempt_latency_us (attempt) + ELSEWHERE_AGAIN_US;
  arm (x, ELSEWHERE_AGAIN_US);
}

void
exchange_timeout_check (struct exchange *x)
{
  struct exchange_attempt *attempt = &x->attempt;
  const int64_t rest_us
      = attempt->head_timeout_us == ATTEMPT_NO_TIMEOUT
            ? ATTEMPT_NO_TIMEOUT
            : attempt->head_timeout_us - exchange_attempt_latency_us (attempt);
  if (attempt->head_received || rest_us == ATTEMPT_NO_TIMEOUT)
    arm (x, ATTEMPT_NO_TIMEOUT);
  else if (rest_us > 0)
    arm (x, rest_us > LOOK_AGAIN_US ? rest_us : LOOK_AGAIN_US);
  else if (!go_elsewhere (x))
    wait_on (x);
}
