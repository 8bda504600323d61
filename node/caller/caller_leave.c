#define LOG_MODULE "caller"

#include "node/caller/caller_leave.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/caller/caller_server.h"
#include "node/caller/exchange_leave.h"

static const double CHECK_INTERVAL_S = 0.02;

enum
{
  /* For connections to close in; a part of the shutdown time at the most. */
  LAST_REQUESTS_MAX_MS = 1500,
  LAST_REQUESTS_DIVISOR = 20,
};

enum leave_phase
{
  LEAVE_SERVING,
  LEAVE_NOT_LISTENING,
  LEAVE_CLOSING,
};

struct caller_leave
{
  struct caller_context *context;
  enum leave_phase phase;
  bool is_hurried;
  int64_t phase_ends_ms; /* of serving: at the earliest, else at the latest */
  ev_timer check;
  caller_leave_done *done;
  void *owner;
};

static void
begin_phase (struct caller_leave *leave, enum leave_phase phase, int64_t ms)
{
  leave->phase = phase;
  leave->phase_ends_ms = clock_now_ms () + ms;
}

static int64_t
last_requests_ms (const struct caller_leave *leave)
{
  const struct host_settings *settings = leave->context->settings;
  const int64_t part_ms = settings->times.shutdown_ms / LAST_REQUESTS_DIVISOR;
  const int64_t slack_ms
      = part_ms < LAST_REQUESTS_MAX_MS ? part_ms : LAST_REQUESTS_MAX_MS;
  /* What comes now is better refused by the kernel, so that its caller knows
     at once, than met by the end of the process. */
  if (leave->is_hurried)
    return 0;
  return host_settings_reuse_max_ms (settings) + slack_ms;
}

static void
finish (struct caller_leave *leave)
{
  ev_timer_stop (leave->context->loop, &leave->check);
  LOG_INFO ("left");
  leave->done (leave->owner);
}

static void
refuse_waiting (struct caller_context *context)
{
  struct exchange *x;
  struct exchange *next;
  if (clock_now_ms () < context->leave_times.refuse_long_from_ms)
    return;
  DL_FOREACH_SAFE (context->exchanges, x, next)
  {
    exchange_leave_refuse_waiting (x);
  }
}

static void
on_check (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct caller_leave *leave = timer->data;
  refuse_waiting (leave->context);
  struct caller_server *server = leave->context->server;
  const bool is_over = clock_now_ms () >= leave->phase_ends_ms;
  if (leave->phase == LEAVE_CLOSING)
    {
      if (is_over || caller_server_is_closed (server))
        finish (leave);
      return;
    }
  if (leave->context->in_flight > 0)
    return;
  if (leave->phase == LEAVE_SERVING)
    {
      if (!is_over)
        return;
      caller_server_stop_listening (server);
      begin_phase (leave, LEAVE_NOT_LISTENING, last_requests_ms (leave));
      return;
    }
  if (caller_server_connection_count (server) > 0 && !is_over)
    return;
  caller_server_read_pending (server);
  if (leave->context->in_flight > 0)
    return;
  const uint32_t open = caller_server_connection_count (server);
  LOG_INFO ("closing", LOG_INT ("connections", open));
  caller_server_close_connections (server);
  begin_phase (leave, LEAVE_CLOSING,
               leave->context->settings->times.shutdown_ms);
}

struct caller_leave *
caller_leave_create (struct caller_context *context)
{
  struct caller_leave *leave = xcalloc (1, sizeof *leave);
  leave->context = context;
  ev_timer_init (&leave->check, on_check, 0., CHECK_INTERVAL_S);
  leave->check.data = leave;
  return leave;
}

void
caller_leave_begin (struct caller_leave *leave, caller_leave_done *done,
                    void *owner)
{
  struct caller_context *context = leave->context;
  const struct host_settings *settings = context->settings;
  leave->done = done;
  leave->owner = owner;
  if (context->leaving)
    return;
  context->leaving = true;
  const int64_t now_ms = clock_now_ms ();
  context->leave_times
      = leave_times_of (settings->times.shutdown_ms, now_ms, now_ms);
  begin_phase (leave, LEAVE_SERVING, host_settings_leave_min_ms (settings));
  LOG_INFO ("leaving", LOG_INT ("in_flight", context->in_flight));
  caller_server_begin_leaving (context->server);
  ev_timer_again (context->loop, &leave->check);
}

void
caller_leave_hurry (struct caller_leave *leave)
{
  leave->is_hurried = true;
  if (leave->phase == LEAVE_SERVING)
    leave->phase_ends_ms = 0;
  else if (leave->phase == LEAVE_NOT_LISTENING)
    begin_phase (leave, LEAVE_NOT_LISTENING, last_requests_ms (leave));
}

void
caller_leave_destroy (struct caller_leave *leave)
{
  if (leave == NULL)
    return;
  ev_timer_stop (leave->context->loop, &leave->check);
  free (leave);
}
