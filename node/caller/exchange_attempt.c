#define LOG_MODULE "caller"

#include "node/caller/exchange_attempt.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "node/caller/response_check.h"
#include "node/caller/caller_cost.h"
#include "node/caller/crash_check.h"
#include "node/caller/outcome_report.h"
#include "node/caller/decision_log.h"
#include "node/caller/exchange_admit.h"
#include "node/caller/exchange_fingerprint.h"
#include "node/caller/exchange_forward.h"
#include "node/caller/exchange_indirect.h"
#include "node/caller/exchange_poison.h"
#include "node/caller/exchange_send.h"
#include "node/caller/exchange_ticket.h"
#include "node/caller/reach_check.h"
#include "node/caller/target_limits.h"

enum
{
  SHORT_RESPONSE_BYTES_MAX = 16 * 1024,
  SERVER_ERROR_MIN = 500,
  DEFAULT_RETRY_AFTER_MS = 1000
};

static const char *
end_name (enum attempt_end end)
{
  static const char *const names[] = { [ATTEMPT_ANSWERED] = "answered",
                                       [ATTEMPT_FAILED] = "failed",
                                       [ATTEMPT_SHED] = "shed",
                                       [ATTEMPT_NOT_SENT] = "not-sent",
                                       [ATTEMPT_CUT] = "cut",
                                       [ATTEMPT_TIMED_OUT] = "timed-out",
                                       [ATTEMPT_CANCELLED] = "cancelled" };
  return names[end];
}

/* Excludes delays of the caller, which would make the target look slow.  With
   a caller that reads slowly, the time ends at the response head; with one
   that sends its body slowly, the time spent waiting for the body isn't
   counted. */
int64_t
exchange_attempt_latency_us (const struct exchange_attempt *attempt)
{
  const bool to_head = attempt->caller_was_slow && attempt->head_received;
  const int64_t now_us = clock_now_us ();
  const int64_t end_us = to_head ? attempt->response_head_us : now_us;
  int64_t stall_us = attempt->upload_stall_us;
  if (attempt->upload_stall_start_us > 0)
    stall_us += now_us - attempt->upload_stall_start_us;
  const int64_t latency_us = end_us - attempt->started_us - stall_us;
  return latency_us > 0 ? latency_us : 0;
}

static void
announce_outcome (const struct exchange *x, enum attempt_end end)
{
  struct bus_message message
      = { .topic = BUS_OUTCOME_OBSERVED,
          .outcome = { .target_key = x->attempt.key, .end = end } };
  memcpy (message.outcome.service, x->service->name,
          sizeof message.outcome.service);
  bus_post (x->context->bus, &message);
}

static void
log_attempt (const struct exchange *x, enum attempt_end end,
             int64_t latency_us)
{
  const struct exchange_attempt *attempt = &x->attempt;
  const uint32_t index = caller_service_find_target (x->service, attempt->key);
  uint32_t failure_permille = 0;
  if (index != POLICY_NO_TARGET)
    failure_permille = service_policy_target_status (x->service->policy, index)
                           .failure_permille;
  const bool is_answered = end == ATTEMPT_ANSWERED;
  LOG_AT (
      is_answered ? LOG_LEVEL_INFO : LOG_LEVEL_WARNING,
      is_answered ? "attempt" : "attempt-failed", LOG_STR ("id", x->head.id),
      LOG_INT ("request", x->id), LOG_STR ("service", x->service->name),
      LOG_STR ("target", attempt->target), LOG_STR ("route", x->route),
      LOG_INT ("config_version", x->config_version),
      LOG_INT ("config_age_ms", exchange_config_age_ms (x)),
      LOG_INT ("attempt", x->attempt_count), LOG_STR ("end", end_name (end)),
      LOG_INT ("status", attempt->head_received ? attempt->status : 0),
      LOG_INT ("new_connection",
               attempt->head_received ? (int)attempt->on_new_connection : -1),
      LOG_INT ("identified",
               attempt->head_received ? (int)attempt->is_identified : -1),
      LOG_INT ("took_us", latency_us),
      LOG_INT ("expected_us", attempt->expected_us),
      LOG_INT ("actual_us", is_answered ? latency_us : 0),
      LOG_INT ("believed_failing_permille", failure_permille));
}

/* Another host has made the attempts; its log has them under the same id. */
static void
log_relay_end (const struct exchange *x, enum attempt_end end)
{
  const struct exchange_attempt *attempt = &x->attempt;
  LOG_INFO ("relay-ended", LOG_STR ("id", x->head.id),
            LOG_INT ("request", x->id), LOG_STR ("service", x->service->name),
            LOG_STR ("host", attempt->target), LOG_STR ("end", end_name (end)),
            LOG_INT ("status", attempt->head_received ? attempt->status : 0),
            LOG_INT ("took_us", exchange_attempt_latency_us (attempt)));
}

/* Report the outcome of the attempt to the policy, once. */
static void
report_outcome (struct exchange *x, enum attempt_end end)
{
  struct exchange_attempt *attempt = &x->attempt;
  if (!attempt->outcome_pending)
    return;
  attempt->outcome_pending = false;
  if (attempt->is_relay)
    {
      log_relay_end (x, end);
      return;
    }
  const bool is_direct = !attempt->is_indirect;
  if (is_direct && (end == ATTEMPT_NOT_SENT || end == ATTEMPT_CUT))
    reach_check_note_failure (x->context->reach_check);
  const int64_t latency_us = exchange_attempt_latency_us (attempt);
  exchange_indirect_note_end (x, end);
  x->last_attempt_unsent = end == ATTEMPT_NOT_SENT;
  x->unsent_count += (uint32_t)x->last_attempt_unsent;
  caller_counters_add (x->context->counters.attempts, x->service->name,
                       end_name (end));
  caller_counters_observe (x->context->counters.attempt_times,
                           x->service->name, end_name (end), latency_us);
  if (end == ATTEMPT_SHED)
    caller_counters_add (x->context->counters.rejections, x->service->name,
                         attempt->on_new_connection ? "new" : "kept");
  /* What a cut host sees of targets says nothing about them. */
  if (!reach_check_is_cut (x->context->reach_check)
      && outcome_report_is_due (x->service, attempt->key, end))
    announce_outcome (x, end);
  log_attempt (x, end, latency_us);
  caller_cost_learn (x, end, latency_us);
  caller_service_record_outcome (x->service, attempt->key, end, latency_us,
                                 x->repeatable);
}

/* While a request waits for its next attempt, the rest of an upload arrives.
   Consumed bytes would be discarded to make space for it, and the next attempt
   would send a body without its beginning: the caller would get a complete
   response to half a request.  After the rewind they are pending bytes, which
   are never discarded. */
static void
rewind_upload (struct exchange *x)
{
  stream_buffer_rewind (&x->upload);
}

void
exchange_cancel_attempt (struct exchange *x, enum attempt_end end)
{
  struct target_call *call = x->attempt.call;
  if (call != NULL)
    {
      const bool sent = target_call_may_have_sent (call);
      x->attempt.call = NULL;
      target_call_cancel (call);
      if (!sent)
        run_record_end (&x->run_record, RUN_PROOF_NEVER_SENT);
    }
  report_outcome (x, end);
  if (x->state != EXCHANGE_SENT)
    return;
  x->state = EXCHANGE_WAITING;
  rewind_upload (x);
}

/* There is no response to forward and no further attempt. */
static void
respond_after_failure (struct exchange *x, enum attempt_end end,
                       const char *message)
{
  const bool unknown = run_record_may_have_run (&x->run_record);
  struct local_response response
      = { .status = MHD_HTTP_SERVICE_UNAVAILABLE, .reason = end_name (end) };
  response.retry_after_ms
      = unknown ? 0 : exchange_retry_after_ms (x, DEFAULT_RETRY_AFTER_MS);
  snprintf (response.message, sizeof response.message, "%s: %.120s",
            unknown ? "the answer was lost, find out whether the request has "
                      "run before sending it again"
                    : "no target took the request, send it again later",
            message);
  exchange_respond_locally (x, &response);
}

/* The host that X was passed on to hasn't taken it. */
static bool
forward_again (struct exchange *x, enum attempt_end end)
{
  if (!x->attempt.is_forwarded || end != ATTEMPT_NOT_SENT
      || !stream_buffer_rewind (&x->upload))
    return false;
  exchange_forward_avoid_host (x);
  x->attempt.head_received = false;
  exchange_check_and_admit (x);
  return true;
}

/* Called after an attempt that ended as END without a response to forward. */
static void
retry_or_fail (struct exchange *x, enum attempt_end end, const char *message)
{
  if (forward_again (x, end))
    return;
  const bool can_retry
      = !x->attempt.is_relay && !exchange_indirect_is_requested (x)
        && service_policy_may_retry (end, x->repeatable)
        && (x->repeatable || !run_record_may_have_run (&x->run_record))
        && !x->upload.start_discarded;
  x->attempt.head_received = false;
  if (!can_retry)
    {
      respond_after_failure (x, end, message);
      return;
    }
  exchange_admit (x);
}

static bool
is_server_error (const struct exchange *x)
{
  return x->attempt.status >= SERVER_ERROR_MIN;
}

static void
on_response_complete (struct exchange *x)
{
  if (x->state == EXCHANGE_SENT)
    exchange_evaluate_response (x);
  if (x->state != EXCHANGE_FORWARDING || x->attempt.call != NULL)
    return;
  x->response_body.is_complete = true;
  exchange_ticket_finish (x);
  if (!x->attempt.is_relay && !is_server_error (x))
    exchange_poison_clear (x);
  report_outcome (x, is_server_error (x) ? ATTEMPT_FAILED : ATTEMPT_ANSWERED);
}

static void
on_attempt_broken (struct exchange *x, enum attempt_end end,
                   const char *message)
{
  const char *service = x->service->name;
  const char *target = x->attempt.target;
  const char *id = x->head.id;
  char text[FINGERPRINT_TEXT_SIZE];
  const char *fingerprint = text;
  exchange_fingerprint_format (x, text);
  LOG_WARN ("attempt-broken", LOG_STR ("id", id), LOG_STR ("service", service),
            LOG_INT ("request", x->id), LOG_STR ("target", target),
            LOG_STR ("end", end_name (end)), LOG_STR ("why", message),
            LOG_STR ("fingerprint", fingerprint));
  report_outcome (x, end);
  if (x->response_queued)
    {
      x->response_truncated = true;
      exchange_ticket_finish (x);
      return;
    }
  x->state = EXCHANGE_WAITING;
  rewind_upload (x);
  retry_or_fail (x, end, message);
}

static void
check_for_crash (struct exchange *x)
{
  if (!x->attempt.is_relay && !x->attempt.is_indirect)
    crash_checks_add (x->context->crash_checks, x);
}

void
exchange_attempt_ended (struct exchange *x, enum target_call_end end,
                        const char *message)
{
  switch (end)
    {
    case TARGET_CALL_NOT_SENT:
      run_record_end (&x->run_record, RUN_PROOF_NEVER_SENT);
      on_attempt_broken (x, ATTEMPT_NOT_SENT, message);
      break;
    case TARGET_CALL_BROKEN:
      check_for_crash (x);
      on_attempt_broken (x, ATTEMPT_CUT, message);
      break;
    case TARGET_CALL_REJECTED:
      on_attempt_broken (x, ATTEMPT_CUT, message);
      break;
    case TARGET_CALL_COMPLETE:
      on_response_complete (x);
      break;
    }
}

/* A server error can be forwarded, so another target is tried only if the
   policy grants one at once. */
static bool
retry_server_error (struct exchange *x)
{
  if (!service_policy_may_retry (ATTEMPT_FAILED, x->repeatable)
      || x->upload.start_discarded || exchange_indirect_is_requested (x))
    return false;
  struct target_call *failed = x->attempt.call;
  report_outcome (x, ATTEMPT_FAILED);
  struct policy_request r = exchange_policy_request (x);
  r.keeps_queue = true;
  const struct policy_decision decision
      = caller_service_admit (x->service, &r, &x->waiter);
  caller_service_cancel_wait (x->service, &x->waiter);
  if (decision.verdict != POLICY_SEND)
    {
      decision_log_failure_forwarded (x, &decision);
      return false;
    }
  x->attempt.call = NULL;
  if (failed != NULL)
    target_call_cancel (failed);
  exchange_apply_decision (x, &decision);
  return true;
}

/* Receiving the rest of a short response is worthwhile, because the connection
   can then be reused. */
static bool
should_drain_response (const struct exchange *x)
{
  const int64_t length = x->attempt.length_bytes;
  return x->attempt.call != NULL && length >= 0
         && length <= SHORT_RESPONSE_BYTES_MAX && x->upload.is_complete;
}

/* A short response is buffered until it is complete.  If it breaks off,
   another target can be tried or the caller can get an error response instead
   of a truncated one. */
static bool
should_buffer_response (const struct exchange *x)
{
  const struct exchange_attempt *attempt = &x->attempt;
  const uint32_t max_bytes = x->context->settings->limits.hold_answer_bytes;
  return attempt->call != NULL && !attempt->caller_was_slow
         && attempt->length_bytes <= (int64_t)max_bytes
         && stream_buffer_pending_bytes (&x->response_body) < max_bytes;
}

static void
discard_response (struct exchange *x, enum attempt_end end,
                  enum run_proof proof, const char *why)
{
  exchange_cancel_attempt (x, end);
  run_record_end (&x->run_record, proof);
  retry_or_fail (x, end, why);
}

/* The other host can only promise for itself and for the targets that it
   tried. */
static bool
promises_too_much (const struct exchange *x)
{
  return run_status_is_promise (x->attempt.status)
         && run_record_may_have_run_before (&x->run_record);
}

/* X was passed on to another host. */
static void
evaluate_relay (struct exchange *x)
{
  if (promises_too_much (x))
    discard_response (x, ATTEMPT_CUT, RUN_PROOF_NONE,
                      "an earlier attempt was lost");
  else
    exchange_forward_response (x);
}

static void
evaluate_forwarded (struct exchange *x)
{
  const char *error = response_check_error (x);
  response_check_update_chosen_target (x);
  if (exchange_forward_was_refused (x))
    discard_response (x, ATTEMPT_NOT_SENT, RUN_PROOF_HOST_REFUSED,
                      "the other host is cut from all targets as well");
  else if (error != NULL)
    discard_response (x, ATTEMPT_CUT, RUN_PROOF_NONE, error);
  else
    evaluate_relay (x);
}

void
exchange_evaluate_response (struct exchange *x)
{
  if (response_check_is_too_large (x))
    {
      discard_response (x, ATTEMPT_CUT, RUN_PROOF_NONE,
                        "the target's header fields are too large");
      return;
    }
  if (x->attempt.is_forwarded)
    {
      evaluate_forwarded (x);
      return;
    }
  if (x->attempt.is_relay)
    {
      evaluate_relay (x);
      return;
    }
  enum attempt_end unreached;
  if (exchange_indirect_is_unreached (x, &unreached))
    {
      discard_response (x, unreached,
                        unreached == ATTEMPT_NOT_SENT ? RUN_PROOF_HOST_REFUSED
                                                      : RUN_PROOF_NONE,
                        "the other host can't reach the target");
      return;
    }
  response_check_update_target (x);
  if (response_check_is_shed (x))
    {
      if (should_drain_response (x))
        return;
      target_limits_update_from_answer (x);
      response_check_store_retry_after (x);
      discard_response (x, ATTEMPT_SHED, RUN_PROOF_REJECTED,
                        "the target sheds load");
      return;
    }
  const char *error = response_check_error (x);
  if (error != NULL || response_check_is_unsigned_refusal (x))
    {
      discard_response (x, ATTEMPT_CUT, RUN_PROOF_NONE,
                        error != NULL ? error
                                      : "the target gave no whole answer");
      return;
    }
  if (should_buffer_response (x))
    return;
  target_limits_update_from_answer (x);
  if (is_server_error (x) && retry_server_error (x))
    return;
  exchange_forward_response (x);
}
