#define LOG_MODULE "caller"

#include "node/caller/exchange.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/caller/exchange_admit.h"
#include "node/caller/exchange_attempt.h"
#include "node/caller/exchange_quota.h"
#include "node/caller/exchange_send.h"
#include "node/caller/exchange_caller.h"
#include "node/caller/exchange_leave.h"
#include "node/caller/exchange_poison.h"
#include "node/caller/exchange_ticket.h"
#include "node/caller/exchange_timer.h"

enum
{
  US_PER_MS = 1000,
  RAW_RESPONSE_DELAY_US = 10 * US_PER_MS,
  /** Covers the way from a caller and back, and both processes' delays. */
  CALLER_DEADLINE_MARGIN_US = 50 * US_PER_MS
};

static const double US_PER_SECOND = 1e6;

static void on_run (struct ev_loop *loop, ev_prepare *watcher, int events);
static void on_decided (struct caller_waiter *waiter,
                        const struct policy_decision *decision);

static int
connection_fd (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  return info == NULL ? -1 : info->connect_fd;
}

struct exchange *
exchange_create (struct caller_context *context,
                 struct MHD_Connection *connection, const char *uri)
{
  struct exchange *x = xcalloc (1, sizeof *x);
  /* libcurl delivers up to CURL_MAX_WRITE_SIZE bytes at once. */
  const size_t configured = context->settings->limits.stream_buffer_bytes;
  const size_t capacity
      = configured > CURL_MAX_WRITE_SIZE ? configured : CURL_MAX_WRITE_SIZE;
  x->context = context;
  x->connection = connection;
  x->fd = connection_fd (connection);
  x->uri = xstrdup (uri);
  x->id = ++context->last_request_id;
  x->waiter.on_decision = on_decided;
  stream_buffer_init (&x->upload, capacity, true);
  stream_buffer_init (&x->response_body, capacity, false);
  ev_timer_init (&x->timer, exchange_timer_expired, 0., 0.);
  ev_set_priority (&x->timer, EV_MINPRI);
  x->timer.data = x;
  ev_prepare_init (&x->run_watcher, on_run);
  x->run_watcher.data = x;
  half_close_init (&x->half_close, x);
  DL_APPEND (context->exchanges, x);
  return x;
}

static void
count_in_flight (struct exchange *x, bool counted)
{
  struct caller_context *context = x->context;
  if (x->in_flight_counted == counted)
    return;
  x->in_flight_counted = counted;
  if (counted)
    context->in_flight++;
  else
    context->in_flight--;
  counter_set (context->counters.in_flight, context->in_flight);
}

void
exchange_count_in_flight (struct exchange *x)
{
  x->started_us = clock_now_us ();
  count_in_flight (x, true);
}

static const char *
service_name (const struct exchange *x)
{
  return x->service != NULL ? x->service->name : "none";
}

static void
count_outcome (const struct exchange *x)
{
  if (!x->in_flight_counted || x->is_unrouted)
    return;
  const char *outcome = "abandoned";
  if (x->response_truncated)
    outcome = "cut";
  else if (x->state == EXCHANGE_FORWARDING)
    outcome = request_outcome_name (REQUEST_OUTCOME_RAN);
  else if (x->state == EXCHANGE_LOCAL_RESPONSE)
    outcome = request_outcome_name (x->local_response.outcome);
  const struct caller_counters *counters = &x->context->counters;
  caller_counters_add (counters->requests, service_name (x), outcome);
  caller_counters_observe (counters->request_times, service_name (x), outcome,
                           clock_now_us () - x->started_us);
}

void
exchange_wait_for (struct exchange *x, enum exchange_wait what,
                   int64_t limit_us)
{
  const int64_t remaining_us = x->deadline_us - clock_now_us ();
  x->waits_for = what;
  x->context->awaiting_count++;
  exchange_set_timer (x, limit_us < remaining_us ? limit_us : remaining_us);
}

static void
stop_waiting (struct exchange *x)
{
  if (x->waits_for == EXCHANGE_WAIT_NONE)
    return;
  if (x->waits_for == EXCHANGE_WAIT_TOKEN)
    quota_client_cancel_wait (x->context->quotas, x->workspace_key);
  x->waits_for = EXCHANGE_WAIT_NONE;
  x->context->awaiting_count--;
}

static void
exchange_destroy (struct exchange *x)
{
  struct caller_context *context = x->context;
  stop_waiting (x);
  ev_timer_stop (context->loop, &x->timer);
  ev_clear_pending (context->loop, &x->run_watcher);
  if (x->service != NULL)
    caller_service_unref (x->service);
  DL_DELETE (context->exchanges, x);
  count_in_flight (x, false);
  stream_buffer_release (&x->upload);
  stream_buffer_release (&x->response_body);
  body_prefix_release (&x->body_prefix);
  header_list_release (&x->attempt.headers);
  request_head_release (&x->head);
  free (x->uri);
  free (x);
}

void
exchange_schedule_run (struct exchange *x)
{
  if (x->run_scheduled)
    return;
  x->run_scheduled = true;
  ev_feed_event (x->context->loop, &x->run_watcher, EV_CUSTOM);
}

void
exchange_set_timer (struct exchange *x, int64_t after_us)
{
  struct ev_loop *loop = x->context->loop;
  x->has_read_pending = false;
  ev_timer_stop (loop, &x->timer);
  ev_now_update (loop);
  ev_timer_set (&x->timer,
                after_us > 0 ? (double)after_us / US_PER_SECOND : 0., 0.);
  ev_timer_start (loop, &x->timer);
}

void
exchange_resume (struct exchange *x)
{
  stop_waiting (x);
  exchange_set_timer (x, x->deadline_us - clock_now_us ());
  exchange_check_and_admit (x);
}

void
exchange_resume_all (struct caller_context *context, enum exchange_wait what)
{
  struct exchange *x;
  struct exchange *next;
  if (context->awaiting_count == 0)
    return;
  DL_FOREACH_SAFE (context->exchanges, x, next)
  {
    if (x->waits_for == what)
      exchange_resume (x);
  }
}

/* A caller that leaves because its time is over does so a little before or
   after the deadline as computed here.  If that counted as cancelled, a target
   that hangs would be chosen again and again for requests with a short
   deadline, since none of them would count against it. */
static enum attempt_end
end_of_abandoned_attempt (const struct exchange *x)
{
  const bool hangs = x->state == EXCHANGE_SENT && x->attempt.call != NULL
                     && !x->attempt.head_received
                     && target_call_may_have_sent (x->attempt.call);
  const int64_t remaining_us = x->deadline_us - clock_now_us ();
  return hangs && remaining_us <= CALLER_DEADLINE_MARGIN_US
             ? ATTEMPT_TIMED_OUT
             : ATTEMPT_CANCELLED;
}

void
exchange_cancel (struct exchange *x)
{
  stop_waiting (x);
  if (x->service != NULL)
    caller_service_cancel_wait (x->service, &x->waiter);
  exchange_cancel_attempt (x, end_of_abandoned_attempt (x));
  exchange_ticket_finish (x);
}

int64_t
exchange_config_age_ms (const struct exchange *x)
{
  const bool is_known
      = x->config_version > 0 && x->config_age_ms != FRESHNESS_AGE_UNKNOWN_MS;
  return is_known ? (int64_t)x->config_age_ms : -1;
}

/* Refused and failed requests are logged under a rate limit of their own, so
   that lines of successful ones never displace them. */
static void
log_refusal (const struct exchange *x)
{
  const struct fleet_config *config = x->context->config;
  uint64_t version = x->config_version;
  if (version == 0 && config != NULL)
    version = config->version;
  LOG_WARN (
      "refused", LOG_STR ("id", x->head.id), LOG_INT ("request", x->id),
      LOG_STR ("service", service_name (x)), LOG_STR ("route", x->route),
      LOG_STR ("workspace", x->workspace), LOG_INT ("config_version", version),
      LOG_INT ("config_age_ms", exchange_config_age_ms (x)),
      LOG_INT ("status", x->local_response.status),
      LOG_STR ("outcome", request_outcome_name (x->local_response.outcome)),
      LOG_STR ("reason", x->local_response.reason),
      LOG_INT ("retry_after_ms", x->local_response.retry_after_ms),
      LOG_INT ("attempts", x->attempt_count));
}

void
exchange_respond_locally (struct exchange *x,
                          const struct local_response *response)
{
  if (x->service != NULL)
    caller_service_cancel_wait (x->service, &x->waiter);
  stop_waiting (x);
  assert (x->attempt.call == NULL);
  x->local_response = *response;
  x->local_response.outcome = exchange_outcome (x);
  /* The code that selects the response may not know of a lost attempt. */
  x->local_response.status
      = run_record_status (&x->run_record, response->status);
  if (x->local_response.outcome == REQUEST_OUTCOME_NOT_RUN)
    exchange_quota_refund (x);
  x->state = EXCHANGE_LOCAL_RESPONSE;
  log_refusal (x);
  caller_counters_add (x->context->counters.refusals, service_name (x),
                       response->reason);
  exchange_ticket_finish (x);
  /* Gives the library time to read the rest of the body, so that it can send
     the response and keep the connection. */
  if (!x->upload_complete)
    exchange_set_timer (x, RAW_RESPONSE_DELAY_US);
  else
    ev_timer_stop (x->context->loop, &x->timer);
  exchange_schedule_run (x);
}

void
exchange_refuse (struct exchange *x, uint32_t status, const char *reason,
                 uint32_t retry_after_ms, const char *message)
{
  struct local_response response = { .status = status,
                                     .reason = reason,
                                     .retry_after_ms = retry_after_ms };
  snprintf (response.message, sizeof response.message, "%s", message);
  exchange_respond_locally (x, &response);
}

void
exchange_refuse_late_body (struct exchange *x)
{
  exchange_refuse (x, MHD_HTTP_REQUEST_TIMEOUT, "body-late", 0,
                   "the body didn't come in time: send the request again");
}

void
exchange_forward_response (struct exchange *x)
{
  x->state = EXCHANGE_FORWARDING;
  x->last_progress_us = clock_now_us ();
  x->last_read_us = x->last_progress_us;
  exchange_schedule_run (x);
}

static void
on_decided (struct caller_waiter *waiter,
            const struct policy_decision *decision)
{
  /* The waiter is the first member. */
  struct exchange *x = (struct exchange *)waiter;
  exchange_apply_decision (x, decision);
}

enum request_outcome
exchange_outcome (const struct exchange *x)
{
  return run_record_may_have_run (&x->run_record) ? REQUEST_OUTCOME_UNKNOWN
                                                  : REQUEST_OUTCOME_NOT_RUN;
}

/* How a request ended whose response wasn't written. */
static const char *
termination_name (enum MHD_RequestTerminationCode code)
{
  static const char *const names[]
      = { [MHD_REQUEST_TERMINATED_COMPLETED_OK] = "completed",
          [MHD_REQUEST_TERMINATED_WITH_ERROR] = "closed-by-host",
          [MHD_REQUEST_TERMINATED_TIMEOUT_REACHED] = "idle-timeout",
          [MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN] = "host-stops",
          [MHD_REQUEST_TERMINATED_READ_ERROR] = "read-error",
          [MHD_REQUEST_TERMINATED_CLIENT_ABORT] = "caller-left" };
  return (size_t)code < sizeof names / sizeof names[0] ? names[code] : "other";
}

/* The request ends before its response; the line tells operators which stage
   it had reached. */
static void
log_abandoned (const struct exchange *x, const char *why)
{
  static const char *const stages[]
      = { [EXCHANGE_NEW] = "begun",
          [EXCHANGE_WAITING] = "waiting",
          [EXCHANGE_SENT] = "sent",
          [EXCHANGE_FORWARDING] = "answering",
          [EXCHANGE_LOCAL_RESPONSE] = "answered-by-host",
          [EXCHANGE_FINISHED] = NULL };
  const char *stage = stages[x->state];
  if (stage == NULL)
    return;
  LOG_WARN ("abandoned", LOG_STR ("id", x->head.id),
            LOG_INT ("request", x->id), LOG_STR ("service", service_name (x)),
            LOG_STR ("route", x->route), LOG_STR ("stage", stage),
            LOG_STR ("why", why), LOG_INT ("attempts", x->attempt_count));
}

void
exchange_request_completed (struct exchange *x,
                            enum MHD_RequestTerminationCode code)
{
  const bool ok = code == MHD_REQUEST_TERMINATED_COMPLETED_OK;
  if (x->hangup_watched)
    hangup_watch_remove (x->context->hangup, x->fd);
  x->hangup_watched = false;
  half_close_end (x, ok);
  x->connection = NULL;
  /* All of the response is written, but libcurl hasn't reported its end yet.
     Cancelling the attempt now would count a success as cancelled. */
  if (ok && x->state == EXCHANGE_FORWARDING && x->attempt.call != NULL)
    return;
  if (!ok)
    log_abandoned (x, termination_name (code));
  exchange_cancel (x);
  count_outcome (x);
  exchange_destroy (x);
}

static void
handle_disconnect (struct exchange *x)
{
  const char *why = x->half_close.why;
  log_abandoned (x, why != NULL ? why : "caller-left");
  exchange_cancel (x);
  x->response_truncated = true;
  if (x->state != EXCHANGE_FORWARDING)
    x->state = EXCHANGE_FINISHED;
}

/* Act on the state of X; see the comment in exchange.h. */
static void
exchange_run (struct exchange *x)
{
  if (x->connection == NULL)
    {
      if (x->attempt.call != NULL)
        return;
      count_outcome (x);
      exchange_destroy (x);
      return;
    }
  if (x->caller_disconnected && x->state != EXCHANGE_FINISHED)
    handle_disconnect (x);
  if (exchange_poison_is_ready (x) || exchange_leave_is_ready (x))
    exchange_resume (x);
  if (x->state == EXCHANGE_SENT && x->attempt.head_received)
    exchange_evaluate_response (x);
  if (x->attempt.call != NULL)
    exchange_unpause_attempt (x);
  exchange_resume_connection (x);
}

static void
on_run (struct ev_loop *loop, ev_prepare *watcher, int events)
{
  struct exchange *x = watcher->data;
  x->run_scheduled = false;
  exchange_run (x);
}
