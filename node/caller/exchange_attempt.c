#define LOG_MODULE "caller"

#include "node/caller/exchange_attempt.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/clock.h"
#include "base/log.h"
#include "node/caller/decision_note.h"
#include "node/caller/exchange_send.h"
#include "node/caller/exchange_ticket.h"

enum
{
  MS_PER_SECOND = 1000,
  IDLE_MAX_S = 24 * 60 * 60,
  SMALL_ANSWER_BYTES = 16 * 1024,
  SERVER_ERROR_MIN = 500,
  RETRY_AFTER_MS = 1000,
  RETRY_AFTER_MAX_MS = 60 * 60 * 1000
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

/* How long the target took.  Guards against callers that make their target
   look slow: one that reads slowly (the time then runs to the head), and one
   that sends its body slowly (the time spent waiting for it doesn't count). */
int64_t
exchange_attempt_latency_us (const struct exchange_attempt *attempt)
{
  const bool to_head = attempt->held_back && attempt->head_seen;
  const int64_t now_us = clock_now_us ();
  const int64_t end_us = to_head ? attempt->head_us : now_us;
  int64_t starved_us = attempt->starved_us;
  if (attempt->starved_from_us > 0)
    starved_us += now_us - attempt->starved_from_us;
  const int64_t taken_us = end_us - attempt->started_us - starved_us;
  return taken_us > 0 ? taken_us : 0;
}

static void
tell_others (const struct exchange *x, enum attempt_end end)
{
  struct bus_message message
      = { .topic = BUS_OUTCOME_SEEN,
          .outcome = { .target_key = x->attempt.key, .end = end } };
  memcpy (message.outcome.service, x->service->name,
          sizeof message.outcome.service);
  bus_post (x->context->bus, &message);
}

static void
note_attempt (const struct exchange *x, enum attempt_end end)
{
  const struct exchange_attempt *attempt = &x->attempt;
  const uint32_t number = caller_service_find (x->service, attempt->key);
  uint32_t failure_permille = 0;
  if (number != POLICY_NO_TARGET)
    failure_permille
        = service_policy_belief (x->service->policy, number).failure_permille;
  LOG_INFO ("attempt", LOG_STR ("id", x->head.id), LOG_INT ("request", x->id),
            LOG_STR ("service", x->service->name),
            LOG_STR ("target", attempt->target),
            LOG_INT ("attempt", x->attempts), LOG_STR ("end", end_name (end)),
            LOG_INT ("status", attempt->head_seen ? attempt->status : 0),
            LOG_INT ("took_us", exchange_attempt_latency_us (attempt)),
            LOG_INT ("believed_failing_permille", failure_permille));
}

/* Tell the policy how the attempt ended, once. */
static void
settle (struct exchange *x, enum attempt_end end)
{
  struct exchange_attempt *attempt = &x->attempt;
  if (!attempt->open)
    return;
  attempt->open = false;
  if (end == ATTEMPT_CUT || end == ATTEMPT_TIMED_OUT || end == ATTEMPT_FAILED)
    x->perhaps_ran = true;
  if (attempt->relay)
    return;
  caller_counters_add (x->context->counters.attempts, x->service->name,
                       end_name (end));
  caller_counters_observe (x->context->counters.attempt_times,
                           x->service->name, end_name (end),
                           exchange_attempt_latency_us (attempt));
  if (caller_service_is_news (x->service, attempt->key, end))
    tell_others (x, end);
  note_attempt (x, end);
  caller_service_outcome (x->service, attempt->key, end,
                          exchange_attempt_latency_us (attempt),
                          x->repeatable);
}

void
exchange_drop_attempt (struct exchange *x, enum attempt_end end)
{
  struct target_call *call = x->attempt.call;
  if (call != NULL)
    {
      const bool harmless = end == ATTEMPT_SHED || end == ATTEMPT_NOT_SENT;
      if (!harmless && target_call_perhaps_sent (call))
        x->perhaps_ran = true;
      x->attempt.call = NULL;
      target_call_cancel (call);
    }
  settle (x, end);
}

static uint32_t
retry_after_ms (const struct exchange *x, uint32_t ours_ms)
{
  return ours_ms > x->shed_retry_after_ms ? ours_ms : x->shed_retry_after_ms;
}

/* No answer is had and none will be asked for. */
static void
give_up (struct exchange *x, enum attempt_end end, const char *message)
{
  struct own_answer own = { .outcome = exchange_outcome (x) };
  const bool unknown = own.outcome == ANSWER_UNKNOWN;
  own.status = unknown ? MHD_HTTP_BAD_GATEWAY : MHD_HTTP_SERVICE_UNAVAILABLE;
  own.reason = end_name (end);
  own.retry_after_ms = unknown ? 0 : retry_after_ms (x, RETRY_AFTER_MS);
  snprintf (own.message, sizeof own.message, "%s: %.120s",
            unknown ? "the answer was lost, find out whether the request has "
                      "run before sending it again"
                    : "no target took the request, send it again later",
            message);
  exchange_answer_own (x, &own);
}

/* After an attempt that ended as END without an answer to pass on. */
static void
try_again (struct exchange *x, enum attempt_end end, const char *message)
{
  const bool may = !x->attempt.relay
                   && service_policy_may_retry (end, x->repeatable)
                   && !x->upload.dropped;
  x->attempt.head_seen = false;
  if (!may)
    {
      give_up (x, end, message);
      return;
    }
  /* Guards against a body without its beginning: while the request waits for
     its next try, the rest of an upload comes in, and bytes that count as
     taken would make room for it.  Shows as a whole answer to half a request.
     Taken back now, they are waiting bytes, which are never dropped. */
  const bool rewound = stream_buffer_rewind (&x->upload);
  assert (rewound);
  (void)rewound;
  exchange_admit (x);
}

static bool
is_server_error (const struct exchange *x)
{
  return x->attempt.status >= SERVER_ERROR_MIN;
}

static void
on_whole (struct exchange *x)
{
  if (x->state == EXCHANGE_SENT)
    exchange_judge (x);
  if (x->state != EXCHANGE_ANSWERING || x->attempt.call != NULL)
    return;
  x->answer.whole = true;
  exchange_ticket_finish (x);
  settle (x, is_server_error (x) ? ATTEMPT_FAILED : ATTEMPT_ANSWERED);
}

static void
on_broken (struct exchange *x, enum attempt_end end, const char *message)
{
  const char *service = x->service->name;
  const char *target = x->attempt.target;
  const char *id = x->head.id;
  LOG_INFO ("attempt-broken", LOG_STR ("id", id), LOG_STR ("service", service),
            LOG_INT ("request", x->id), LOG_STR ("target", target),
            LOG_STR ("end", end_name (end)), LOG_STR ("why", message));
  settle (x, end);
  if (x->queued)
    {
      x->answer_cut = true;
      exchange_ticket_finish (x);
      return;
    }
  x->state = EXCHANGE_SENT;
  try_again (x, end, message);
}

void
exchange_attempt_ended (struct exchange *x, enum target_call_end end,
                        const char *message)
{
  if (end == TARGET_CALL_WHOLE)
    on_whole (x);
  else
    on_broken (x, end == TARGET_CALL_CUT ? ATTEMPT_CUT : ATTEMPT_NOT_SENT,
               message);
}

/* What X holds while it waits: its head, and as much of its body as fits the
   buffer, whether it has come yet or not. */
static uint32_t
held_bytes (const struct exchange *x)
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

struct policy_request
exchange_policy_request (const struct exchange *x)
{
  struct policy_request r = {
    .id = x->id,
    .deadline_us = x->deadline_us,
    .queued_bytes = held_bytes (x),
    .repeatable = x->repeatable,
    .attempt = x->attempts + 1,
    .attempts_max = x->attempts_max,
  };
  for (uint32_t i = 0; i < x->tried_count; i++)
    {
      const uint32_t target
          = service_policy_find (x->service->policy, x->tried[i]);
      if (target != POLICY_NO_TARGET)
        r.tried[r.tried_count++] = target;
    }
  return r;
}

static void
refuse (struct exchange *x, const struct policy_decision *decision)
{
  struct own_answer own
      = { .status = MHD_HTTP_SERVICE_UNAVAILABLE,
          .outcome = exchange_outcome (x),
          .reason = policy_reason_name (decision->reason),
          .retry_after_ms = retry_after_ms (x, decision->retry_after_ms) };
  if (own.outcome == ANSWER_UNKNOWN)
    own.status = MHD_HTTP_BAD_GATEWAY;
  snprintf (own.message, sizeof own.message, "%s",
            own.outcome == ANSWER_UNKNOWN
                ? "an attempt was lost and none further is allowed: find out "
                  "whether it has run before sending it again"
                : "the service can't take the request now: come back after "
                  "the time given, or ask for other addresses");
  exchange_answer_own (x, &own);
}

void
exchange_decided (struct exchange *x, const struct policy_decision *decision)
{
  decision_note (x, decision);
  switch (decision->verdict)
    {
    case POLICY_SEND:
      exchange_send (x, decision->target);
      break;
    case POLICY_QUEUE:
      x->state = EXCHANGE_WAITING;
      break;
    case POLICY_REFUSE:
      refuse (x, decision);
      break;
    }
}

void
exchange_admit (struct exchange *x)
{
  const struct policy_request r = exchange_policy_request (x);
  const struct policy_decision decision
      = caller_service_admit (x->service, &r, &x->waiter);
  exchange_decided (x, &decision);
}

/* A target's failure may be passed on, so another target is tried only if one
   can be had at once. */
static bool
tried_elsewhere (struct exchange *x)
{
  if (!service_policy_may_retry (ATTEMPT_FAILED, x->repeatable)
      || x->upload.dropped)
    return false;
  struct target_call *failed = x->attempt.call;
  settle (x, ATTEMPT_FAILED);
  const struct policy_request r = exchange_policy_request (x);
  const struct policy_decision decision
      = caller_service_admit (x->service, &r, &x->waiter);
  caller_service_forget (x->service, &x->waiter);
  if (decision.verdict != POLICY_SEND)
    return false;
  if (failed != NULL)
    target_call_cancel (failed);
  exchange_decided (x, &decision);
  return true;
}

/* Only a target's own word tells that a request was not run. */
static bool
is_shed (const struct exchange *x)
{
  const struct caller_interface *interface = x->context->interface;
  const char *said
      = header_list_find (&x->attempt.headers, interface->not_run);
  const uint32_t status = x->attempt.status;
  if (status == MHD_HTTP_MISDIRECTED_REQUEST)
    return interface->meant_target != NULL;
  if (said == NULL || status < MHD_HTTP_BAD_REQUEST)
    return false;
  return interface->not_run_value == NULL
         || (strcasecmp (said, interface->not_run_value) == 0
             && (status == MHD_HTTP_SERVICE_UNAVAILABLE
                 || status == MHD_HTTP_TOO_MANY_REQUESTS));
}

/* When a target that shed the request wants to be asked again. */
static void
note_retry_after (struct exchange *x)
{
  const struct header_list *headers = &x->attempt.headers;
  const char *name = x->context->interface->retry_after_ms;
  const char *exact = name != NULL ? header_list_find (headers, name) : NULL;
  const char *seconds = header_list_find (headers, "Retry-After");
  long long after_ms = 0;
  if (exact != NULL)
    after_ms = strtoll (exact, NULL, 10);
  else if (seconds != NULL)
    after_ms = (long long)(strtod (seconds, NULL) * MS_PER_SECOND);
  if (after_ms < 0 || after_ms > RETRY_AFTER_MAX_MS)
    return;
  x->shed_retry_after_ms = (uint32_t)after_ms;
}

static void
note_leaving (struct exchange *x)
{
  const char *name = x->context->interface->leaving;
  const char *leaving
      = name != NULL ? header_list_find (&x->attempt.headers, name) : NULL;
  if (leaving != NULL && strcmp (leaving, "1") == 0)
    caller_service_set_leaving (x->service, x->attempt.key, true);
}

/* `Keep-Alive: timeout=10`, in seconds. */
static void
note_idle (struct exchange *x)
{
  const char *told = header_list_find (&x->attempt.headers, "Keep-Alive");
  const char *timeout = told != NULL ? strstr (told, "timeout=") : NULL;
  if (timeout == NULL)
    return;
  const long seconds = strtol (timeout + strlen ("timeout="), NULL, 10);
  if (seconds > 0 && seconds < IDLE_MAX_S)
    caller_service_set_idle (x->service, x->attempt.key,
                             (uint32_t)seconds * MS_PER_SECOND);
}

/* The rest of a short answer is worth its time, since the connection can then
   be kept. */
static bool
ends_soon (const struct exchange *x)
{
  const int64_t length = x->attempt.length_bytes;
  return x->attempt.call != NULL && length >= 0 && length <= SMALL_ANSWER_BYTES
         && x->upload.whole;
}

/* A head that libmicrohttpd could not write whole would end the caller's
   connection without a word. */
static bool
is_too_large (const struct exchange *x)
{
  return x->attempt.headers.used_bytes
         > x->context->settings->limits.header_bytes;
}

/* What is wrong with the answer's head; NULL when nothing is.
   Guards against bytes on a kept connection that are another request's
   answer, or no target's at all: they come late, after the request that they
   belong to was given up, or beside a first answer.  Shows as a caller that
   gets somebody else's answer.  The identity that each answer repeats, and
   the signature that only a target can make, tell them apart. */
static const char *
fault_of (const struct exchange *x)
{
  const struct caller_interface *interface = x->context->interface;
  const struct header_list *headers = &x->attempt.headers;
  const bool is_success = x->attempt.status < MHD_HTTP_MULTIPLE_CHOICES;
  if (interface->targets_echo_request_id)
    {
      const char *echo = header_list_find (headers, interface->request_id);
      if (echo == NULL ? is_success : strcmp (echo, x->head.id) != 0)
        return "the answer is another request's";
    }
  if (is_success && interface->signature != NULL
      && header_list_find (headers, interface->signature) == NULL)
    return "the answer bears no signature";
  if (interface->refuses_coding
      && header_list_find (headers, "Content-Encoding") != NULL)
    return "the answer's body is coded";
  return NULL;
}

/* Guards against a promise that no target has made: a caller takes these for
   "not run and never will be". */
static bool
would_promise (const struct exchange *x)
{
  switch (x->attempt.status)
    {
    case MHD_HTTP_REQUEST_TIMEOUT:
    case MHD_HTTP_MISDIRECTED_REQUEST:
    case MHD_HTTP_TOO_MANY_REQUESTS:
    case MHD_HTTP_SERVICE_UNAVAILABLE:
      return x->context->interface->signature != NULL;
    default:
      return false;
    }
}

/* A short answer is held until it is whole: if it breaks off, another target
   can be tried, or the caller told so, in place of a cut connection. */
static bool
waits_for_whole (const struct exchange *x)
{
  const struct exchange_attempt *attempt = &x->attempt;
  const uint32_t most = x->context->settings->limits.hold_answer_bytes;
  return attempt->call != NULL && !attempt->held_back
         && attempt->length_bytes <= (int64_t)most
         && stream_buffer_waiting (&x->answer) < most;
}

static void
give_up_attempt (struct exchange *x, const char *why)
{
  exchange_drop_attempt (x, ATTEMPT_CUT);
  try_again (x, ATTEMPT_CUT, why);
}

void
exchange_judge (struct exchange *x)
{
  if (is_too_large (x))
    {
      give_up_attempt (x, "the target's header fields are too large");
      return;
    }
  if (x->attempt.relay)
    {
      exchange_answer_target (x);
      return;
    }
  note_leaving (x);
  note_idle (x);
  if (is_shed (x))
    {
      if (ends_soon (x))
        return;
      note_retry_after (x);
      exchange_drop_attempt (x, ATTEMPT_SHED);
      try_again (x, ATTEMPT_SHED, "the target sheds load");
      return;
    }
  const char *fault = fault_of (x);
  if (fault != NULL || would_promise (x))
    {
      give_up_attempt (x, fault != NULL ? fault
                                        : "the target gave no whole answer");
      return;
    }
  if (waits_for_whole (x))
    return;
  if (is_server_error (x) && tried_elsewhere (x))
    return;
  exchange_answer_target (x);
}
