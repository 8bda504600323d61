#define LOG_MODULE "caller"

#include "node/caller/half_close.h"

#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base/log.h"
#include "node/caller/exchange.h"

/* A request ends at most this time and a round trip after its caller's
   close. */
static const double INTERIM_INTERVAL_S = 0.3;

static const char interim_response[] = "HTTP/1.1 100 Continue\r\n\r\n";

static const char *
service_name (const struct exchange *x)
{
  return x->service != NULL ? x->service->name : "none";
}

static void
count (const struct exchange *x, const char *then)
{
  caller_counters_add (x->context->counters.half_closed, service_name (x),
                       then);
}

static void
give_up (struct exchange *x, const char *why, const char *then)
{
  ev_timer_stop (x->context->loop, &x->half_close.timer);
  x->half_close.why = why;
  x->caller_disconnected = true;
  count (x, then);
  exchange_schedule_run (x);
}

/* An interim response is legal before the response, and not to callers of
   HTTP/1.0.  The rest of a request that isn't whole will never come. */
static bool
can_ask (const struct exchange *x)
{
  return x->upload_complete && !x->head.http_1_0 && !x->response_queued
         && !x->raw_response_sent;
}

static bool
has_unacknowledged (const struct exchange *x)
{
  int bytes = 0;
  return ioctl (x->fd, SIOCOUTQ, &bytes) == 0 && bytes > 0;
}

/* Data that isn't acknowledged yet serves as well; with an empty buffer, the
   kernel takes the interim response whole. */
static void
ask (struct exchange *x)
{
  x->half_close.was_asked = true;
  if (!has_unacknowledged (x))
    send (x->fd, interim_response, sizeof interim_response - 1,
          MSG_DONTWAIT | MSG_NOSIGNAL);
}

static void
on_interval (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct exchange *x = timer->data;
  if (!can_ask (x))
    ev_timer_stop (loop, timer);
  else if (has_unacknowledged (x))
    give_up (x, "caller-silent", "silent");
  else
    ask (x);
}

void
half_close_init (struct half_close *h, struct exchange *x)
{
  ev_timer_init (&h->timer, on_interval, INTERIM_INTERVAL_S,
                 INTERIM_INTERVAL_S);
  h->timer.data = x;
}

void
half_close_begin (struct exchange *x, bool is_reset)
{
  struct half_close *h = &x->half_close;
  if (is_reset)
    give_up (x, "caller-left", "left");
  else if (!can_ask (x))
    give_up (x, "caller-closed", "not-asked");
  else
    {
      hangup_watch_await_reset (x->context->hangup, x->fd, x);
      ask (x);
      ev_now_update (x->context->loop);
      ev_timer_again (x->context->loop, &h->timer);
    }
}

void
half_close_end (struct exchange *x, bool is_answered)
{
  const struct half_close *h = &x->half_close;
  ev_timer_stop (x->context->loop, &x->half_close.timer);
  if (!is_answered || !h->was_asked || h->why != NULL)
    return;
  count (x, "answered");
  LOG_INFO ("half-closed", LOG_STR ("id", x->head.id),
            LOG_INT ("request", x->id), LOG_STR ("service", service_name (x)),
            LOG_STR ("route", x->route));
}
