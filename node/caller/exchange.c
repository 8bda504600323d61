#define LOG_MODULE "caller"

#include "node/caller/exchange.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/caller/exchange_attempt.h"
#include "node/caller/exchange_quota.h"
#include "node/caller/exchange_send.h"
#include "node/caller/exchange_caller.h"
#include "node/caller/exchange_poison.h"
#include "node/caller/exchange_ticket.h"
#include "node/caller/exchange_timeout.h"

enum
{
  US_PER_MS = 1000,
  RAW_ANSWER_AFTER_US = 10 * US_PER_MS,
  RAW_CLOSE_AFTER_US = 1000 * US_PER_MS,
  HOST_STOPS_RETRY_AFTER_MS = 100,
  TIMEOUT_RETRY_AFTER_MS = 100
};

static const double US_PER_SECOND = 1e6;

static void on_timer (struct ev_loop *loop, ev_timer *timer, int events);
static void on_kick (struct ev_loop *loop, ev_prepare *kick, int events);
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
  /* libcurl hands over as much as CURL_MAX_WRITE_SIZE at once. */
  const size_t wanted = context->settings->limits.stream_buffer_bytes;
  const size_t capacity
      = wanted > CURL_MAX_WRITE_SIZE ? wanted : CURL_MAX_WRITE_SIZE;
  x->context = context;
  x->connection = connection;
  x->fd = connection_fd (connection);
  x->uri = xstrdup (uri);
  x->id = ++context->last_request_id;
  x->waiter.decided = on_decided;
  stream_buffer_init (&x->upload, capacity, true);
  stream_buffer_init (&x->answer, capacity, false);
  ev_timer_init (&x->timer, on_timer, 0., 0.);
  x->timer.data = x;
  ev_prepare_init (&x->kick, on_kick);
  x->kick.data = x;
  DL_APPEND (context->exchanges, x);
  return x;
}

static void
count_in_flight (struct exchange *x, bool counted)
{
  struct caller_context *context = x->context;
  if (x->counted == counted)
    return;
  x->counted = counted;
  if (counted)
    context->in_flight++;
  else
    context->in_flight--;
  counter_set (context->counters.in_flight, context->in_flight);
}

void
exchange_count (struct exchange *x)
{
  x->begun_us = clock_now_us ();
  count_in_flight (x, true);
}

static const char *
service_name (const struct exchange *x)
{
  return x->service != NULL ? x->service->name : "none";
}

static void
count_end (const struct exchange *x)
{
  if (!x->counted || x->plain)
    return;
  const char *outcome = "abandoned";
  if (x->answer_cut)
    outcome = "cut";
  else if (x->state == EXCHANGE_ANSWERING)
    outcome = answer_outcome_name (ANSWER_RAN);
  else if (x->state == EXCHANGE_OWN)
    outcome = answer_outcome_name (x->own.outcome);
  const struct caller_counters *counters = &x->context->counters;
  caller_counters_add (counters->requests, service_name (x), outcome);
  caller_counters_observe (counters->request_times, service_name (x), outcome,
                           clock_now_us () - x->begun_us);
}

void
exchange_await (struct exchange *x, enum exchange_awaits what,
                int64_t limit_us)
{
  const int64_t left_us = x->deadline_us - clock_now_us ();
  x->awaits = what;
  x->context->awaiting++;
  exchange_arm (x, limit_us < left_us ? limit_us : left_us);
}

static void
await_no_more (struct exchange *x)
{
  if (x->awaits == EXCHANGE_AWAITS_NOTHING)
    return;
  if (x->awaits == EXCHANGE_AWAITS_TOKEN)
    quota_desk_leave (x->context->quotas, x->workspace_key);
  x->awaits = EXCHANGE_AWAITS_NOTHING;
  x->context->awaiting--;
}

static void
exchange_destroy (struct exchange *x)
{
  struct caller_context *context = x->context;
  await_no_more (x);
  ev_timer_stop (context->loop, &x->timer);
  ev_clear_pending (context->loop, &x->kick);
  if (x->service != NULL)
    caller_service_leave (x->service);
  DL_DELETE (context->exchanges, x);
  count_in_flight (x, false);
  stream_buffer_release (&x->upload);
  stream_buffer_release (&x->answer);
  body_prefix_release (&x->body_prefix);
  header_list_release (&x->attempt.headers);
  request_head_release (&x->head);
  free (x->uri);
  free (x);
}

void
exchange_kick (struct exchange *x)
{
  if (x->kicked)
    return;
  x->kicked = true;
  ev_feed_event (x->context->loop, &x->kick, EV_CUSTOM);
}

void
exchange_arm (struct exchange *x, int64_t after_us)
{
  struct ev_loop *loop = x->context->loop;
  ev_timer_stop (loop, &x->timer);
  ev_now_update (loop);
  ev_timer_set (&x->timer,
                after_us > 0 ? (double)after_us / US_PER_SECOND : 0., 0.);
  ev_timer_start (loop, &x->timer);
}

void
exchange_resume (struct exchange *x)
{
  await_no_more (x);
  exchange_arm (x, x->deadline_us - clock_now_us ());
  exchange_begin_again (x);
}

void
exchange_resume_all (struct caller_context *context, enum exchange_awaits what)
{
  struct exchange *x;
  struct exchange *next;
  if (context->awaiting == 0)
    return;
  DL_FOREACH_SAFE (context->exchanges, x, next)
  {
    if (x->awaits == what)
      exchange_resume (x);
  }
}

void
exchange_abandon (struct exchange *x)
{
  await_no_more (x);
  if (x->service != NULL)
    caller_service_forget (x->service, &x->waiter);
  exchange_drop_attempt (x, ATTEMPT_CANCELLED);
  exchange_ticket_finish (x);
}

/* Guards against a promise that can't be kept: callers take these for "not run
   and never will be", and send the request again.  Shows as work that is done
   twice.  Whoever chooses the answer may forget that an attempt was lost. */
static bool
is_promise (uint32_t status)
{
  return status == MHD_HTTP_REQUEST_TIMEOUT
         || status == MHD_HTTP_MISDIRECTED_REQUEST
         || status == MHD_HTTP_TOO_MANY_REQUESTS
         || status == MHD_HTTP_SERVICE_UNAVAILABLE;
}

/* Lines of refused and failed requests have a rate of their own, so that those
   of good ones never crowd them out. */
static void
note_refusal (const struct exchange *x)
{
  const struct fleet_config *config = x->context->config;
  LOG_WARN ("refused", LOG_STR ("id", x->head.id), LOG_INT ("request", x->id),
            LOG_STR ("service", service_name (x)), LOG_STR ("route", x->route),
            LOG_STR ("workspace", x->workspace),
            LOG_INT ("config_version", config != NULL ? config->version : 0),
            LOG_INT ("status", x->own.status),
            LOG_STR ("outcome", answer_outcome_name (x->own.outcome)),
            LOG_STR ("reason", x->own.reason),
            LOG_INT ("retry_after_ms", x->own.retry_after_ms),
            LOG_INT ("attempts", x->attempts));
}

void
exchange_answer_own (struct exchange *x, const struct own_answer *own)
{
  if (x->service != NULL)
    caller_service_forget (x->service, &x->waiter);
  await_no_more (x);
  if (own->outcome == ANSWER_NOT_RUN)
    exchange_quota_return (x);
  x->own = *own;
  if (x->own.outcome == ANSWER_UNKNOWN && is_promise (own->status))
    x->own.status = MHD_HTTP_BAD_GATEWAY;
  x->state = EXCHANGE_OWN;
  note_refusal (x);
  caller_counters_add (x->context->counters.refusals, service_name (x),
                       own->reason);
  exchange_ticket_finish (x);
  /* Gives the library a moment to read the rest of the body, so that it can
     answer and keep the connection. */
  if (!x->upload_complete)
    exchange_arm (x, RAW_ANSWER_AFTER_US);
  else
    ev_timer_stop (x->context->loop, &x->timer);
  exchange_kick (x);
}

void
exchange_refuse (struct exchange *x, uint32_t status, const char *reason,
                 uint32_t retry_after_ms, const char *message)
{
  struct own_answer own = { .status = status,
                            .outcome = ANSWER_NOT_RUN,
                            .reason = reason,
                            .retry_after_ms = retry_after_ms };
  snprintf (own.message, sizeof own.message, "%s", message);
  exchange_answer_own (x, &own);
}

void
exchange_answer_target (struct exchange *x)
{
  x->state = EXCHANGE_ANSWERING;
  x->progress_us = clock_now_us ();
  exchange_kick (x);
}

static void
on_decided (struct caller_waiter *waiter,
            const struct policy_decision *decision)
{
  /* The waiter is the first member. */
  struct exchange *x = (struct exchange *)waiter;
  exchange_decided (x, decision);
}

enum answer_outcome
exchange_outcome (const struct exchange *x)
{
  return x->perhaps_ran ? ANSWER_UNKNOWN : ANSWER_NOT_RUN;
}

/* The caller has gone before its answer: whoever looks for the request
   afterwards finds how far it came. */
static void
note_abandoned (const struct exchange *x)
{
  static const char *const stages[] = { [EXCHANGE_NEW] = "begun",
                                        [EXCHANGE_WAITING] = "waiting",
                                        [EXCHANGE_SENT] = "sent",
                                        [EXCHANGE_ANSWERING] = "answering",
                                        [EXCHANGE_OWN] = "answered-by-host",
                                        [EXCHANGE_OVER] = NULL };
  const char *stage = stages[x->state];
  if (stage == NULL)
    return;
  LOG_WARN ("abandoned", LOG_STR ("id", x->head.id),
            LOG_INT ("request", x->id), LOG_STR ("service", service_name (x)),
            LOG_STR ("route", x->route), LOG_STR ("stage", stage),
            LOG_INT ("attempts", x->attempts));
}

void
exchange_released (struct exchange *x, bool ok)
{
  if (x->watched)
    hangup_watch_remove (x->context->hangup, x->fd);
  x->watched = false;
  x->connection = NULL;
  /* All of the answer is written, but libcurl hasn't told its end yet: to
     give the attempt up now would take a good one for a cancelled one. */
  if (ok && x->state == EXCHANGE_ANSWERING && x->attempt.call != NULL)
    return;
  if (!ok)
    note_abandoned (x);
  exchange_abandon (x);
  count_end (x);
  exchange_destroy (x);
}

static void
caller_went_away (struct exchange *x)
{
  note_abandoned (x);
  exchange_abandon (x);
  x->answer_cut = true;
  if (x->state != EXCHANGE_ANSWERING)
    x->state = EXCHANGE_OVER;
}

/* Do what follows from the state; see the header's comment. */
static void
exchange_pump (struct exchange *x)
{
  if (x->connection == NULL)
    {
      if (x->attempt.call != NULL)
        return;
      count_end (x);
      exchange_destroy (x);
      return;
    }
  if (x->caller_gone && x->state != EXCHANGE_OVER)
    caller_went_away (x);
  if (exchange_poison_is_ready (x))
    exchange_resume (x);
  if (x->state == EXCHANGE_SENT && x->attempt.head_seen)
    exchange_judge (x);
  if (x->attempt.call != NULL)
    exchange_go_on (x);
  exchange_wake_caller (x);
}

static void
on_kick (struct ev_loop *loop, ev_prepare *kick, int events)
{
  struct exchange *x = kick->data;
  x->kicked = false;
  exchange_pump (x);
}

/* Give up what is not answered yet and say so, truthfully. */
static void
end_unanswered (struct exchange *x, uint32_t status, const char *reason,
                uint32_t retry_after_ms)
{
  const bool sent
      = x->attempt.call != NULL && target_call_perhaps_sent (x->attempt.call);
  exchange_drop_attempt (x, sent ? ATTEMPT_TIMED_OUT : ATTEMPT_NOT_SENT);
  struct own_answer own
      = { .status = status,
          .outcome = exchange_outcome (x),
          .reason = reason,
          .retry_after_ms = x->perhaps_ran ? 0 : retry_after_ms };
  snprintf (own.message, sizeof own.message, "%s",
            x->perhaps_ran
                ? "no target's answer came in time: find out whether the "
                  "request has run before sending it again"
                : "no target took the request in time: send it again later "
                  "or with more time");
  exchange_answer_own (x, &own);
}

/* The caller may have time left after the route's timeout. */
static void
deadline_passed (struct exchange *x)
{
  const bool sent
      = x->attempt.call != NULL && target_call_perhaps_sent (x->attempt.call);
  const bool may_come_back = x->bounded_by_route && !sent && !x->perhaps_ran;
  end_unanswered (x,
                  may_come_back ? MHD_HTTP_SERVICE_UNAVAILABLE
                                : MHD_HTTP_GATEWAY_TIMEOUT,
                  "deadline", may_come_back ? TIMEOUT_RETRY_AFTER_MS : 0);
}

void
exchange_give_up (struct exchange *x)
{
  if (x->state == EXCHANGE_WAITING || x->state == EXCHANGE_SENT)
    end_unanswered (x, MHD_HTTP_SERVICE_UNAVAILABLE, "host-stops",
                    HOST_STOPS_RETRY_AFTER_MS);
}

/* Once an answer flows, the deadline has been met; from then on a target may
   not stall for longer than a whole request may take. */
static void
check_progress (struct exchange *x)
{
  const int64_t most_us
      = (int64_t)x->service->spec->limits.timeout_ms * US_PER_MS;
  const bool stalled = stream_buffer_waiting (&x->answer) == 0
                       && clock_now_us () - x->progress_us >= most_us;
  if (!stalled)
    {
      exchange_arm (x, most_us);
      return;
    }
  exchange_drop_attempt (x, ATTEMPT_TIMED_OUT);
  x->answer_cut = true;
  exchange_kick (x);
}

static void
raw_answer_due (struct exchange *x)
{
  if (x->answered_raw)
    {
      x->caller_gone = true;
      shutdown (x->fd, SHUT_RDWR);
      exchange_kick (x);
      return;
    }
  if (x->upload_complete || x->connection == NULL)
    return;
  exchange_answer_raw (x);
  exchange_arm (x, RAW_CLOSE_AFTER_US);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct exchange *x = timer->data;
  const int64_t left_us = x->deadline_us - clock_now_us ();
  switch (x->state)
    {
    case EXCHANGE_WAITING:
      if (x->awaits != EXCHANGE_AWAITS_NOTHING)
        exchange_resume (x);
      else if (left_us > 0)
        exchange_arm (x, left_us);
      else
        deadline_passed (x);
      break;
    case EXCHANGE_SENT:
      if (left_us > 0)
        exchange_timeout_due (x);
      else
        deadline_passed (x);
      break;
    case EXCHANGE_ANSWERING:
      check_progress (x);
      break;
    case EXCHANGE_OWN:
      raw_answer_due (x);
      break;
    case EXCHANGE_NEW:
    case EXCHANGE_OVER:
      break;
    }
}
