#include "node/http_connections.h"

#include <stdlib.h>
#include <sys/socket.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/xmalloc.h"
#include "node/socket_queue.h"

enum
{
  /* The shortest timeout that the library takes. */
  ENDING_TIMEOUT_S = 1,
};

static const double MS_PER_SECOND = 1000.0;

enum connection_phase
{
  CONNECTION_IDLE,
  CONNECTION_ENDING, /* the library closes it unless something comes */
  CONNECTION_BUSY,   /* it has a request */
  CONNECTION_SLOW,   /* it has had one for long */
  CONNECTION_PHASE_COUNT,
};

struct http_connection
{
  struct http_connections *set;
  struct MHD_Connection *connection;
  int fd;
  enum connection_phase phase;
  bool is_shut;     /* for reading */
  int unread_bytes; /* at the last look at a slow one */
  int64_t since_ms; /* without, or with a request */
  struct http_connection *prev;
  struct http_connection *next;
};

struct http_connections
{
  struct mhd_connections base;
  struct http_connections_options options;
  struct http_connection *lists[CONNECTION_PHASE_COUNT]; /* oldest first */
  ev_timer expiry;
  void (*changed) (void *owner);
  void *owner;
  bool is_stopping;
};

/* Without a timeout first, the library counts the new one from the last
   activity. */
static void
restart_timeout (const struct http_connection *c, unsigned int seconds)
{
  MHD_set_connection_option (c->connection, MHD_CONNECTION_OPTION_TIMEOUT, 0);
  if (seconds > 0)
    MHD_set_connection_option (c->connection, MHD_CONNECTION_OPTION_TIMEOUT,
                               seconds);
}

/* In each run, the library walks all connections with a timeout of their own,
   so that only few have one. */
static void
begin_phase (struct http_connection *c, enum connection_phase phase)
{
  const unsigned int timeouts_s[CONNECTION_PHASE_COUNT]
      = { [CONNECTION_ENDING] = ENDING_TIMEOUT_S,
          [CONNECTION_SLOW] = c->set->options.progress_s };
  c->phase = phase;
  DL_APPEND (c->set->lists[phase], c);
  restart_timeout (c, timeouts_s[phase]);
}

static void
set_phase (struct http_connection *c, enum connection_phase phase)
{
  DL_DELETE (c->set->lists[c->phase], c);
  begin_phase (c, phase);
}

/* How long a connection is in PHASE at most. */
static int64_t
phase_max_ms (const struct http_connections *set, enum connection_phase phase)
{
  if (phase == CONNECTION_IDLE)
    return set->options.idle_ms;
  return set->options.progress_s * INT64_C (1000);
}

static void
arm_expiry (struct http_connections *set)
{
  static const enum connection_phase phases[]
      = { CONNECTION_IDLE, CONNECTION_BUSY };
  int64_t next_ms = INT64_MAX;
  if (ev_is_active (&set->expiry))
    return;
  for (size_t i = 0; i < sizeof phases / sizeof phases[0]; i++)
    {
      const struct http_connection *first = set->lists[phases[i]];
      const int64_t ends_ms
          = first != NULL ? first->since_ms + phase_max_ms (set, phases[i])
                          : INT64_MAX;
      if (ends_ms < next_ms)
        next_ms = ends_ms;
    }
  if (next_ms == INT64_MAX)
    return;
  const int64_t left_ms = next_ms - clock_now_ms ();
  ev_now_update (set->options.loop);
  ev_timer_set (&set->expiry,
                left_ms > 0 ? (double)left_ms / MS_PER_SECOND : 0., 0.);
  ev_timer_start (set->options.loop, &set->expiry);
}

static void
begin_timed_phase (struct http_connection *c, enum connection_phase phase)
{
  c->since_ms = clock_now_ms ();
  set_phase (c, phase);
  arm_expiry (c->set);
}

static void
end_idle (struct http_connection *c)
{
  if (socket_queue_unread_bytes (c->fd) > 0)
    {
      begin_timed_phase (c, CONNECTION_IDLE);
      return;
    }
  if (socket_queue_undelivered_bytes (c->fd) == 0)
    {
      c->is_shut = true;
      shutdown (c->fd, SHUT_RD);
    }
  set_phase (c, CONNECTION_ENDING);
}

static void
on_expiry (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct http_connections *set = timer->data;
  const int64_t now_ms = clock_now_ms ();
  struct http_connection *c;
  struct http_connection *next;
  DL_FOREACH_SAFE (set->lists[CONNECTION_IDLE], c, next)
  {
    if (c->since_ms + phase_max_ms (set, CONNECTION_IDLE) > now_ms)
      break;
    end_idle (c);
  }
  DL_FOREACH_SAFE (set->lists[CONNECTION_BUSY], c, next)
  {
    if (c->since_ms + phase_max_ms (set, CONNECTION_BUSY) > now_ms)
      break;
    c->unread_bytes = 0;
    set_phase (c, CONNECTION_SLOW);
  }
  arm_expiry (set);
  if (set->changed != NULL)
    set->changed (set->owner);
}

/* Only what has come since the last look counts as progress: a caller may send
   requests ahead and never read. */
static void
keep_slow (struct http_connection *c)
{
  const int bytes = socket_queue_unread_bytes (c->fd);
  if (bytes > 0 && bytes != c->unread_bytes)
    restart_timeout (c, c->set->options.progress_s);
  c->unread_bytes = bytes;
}

/* Takes back the end of connections on which something has come. */
static void
keep_readable (struct mhd_connections *base)
{
  struct http_connections *set = (struct http_connections *)base;
  struct http_connection *c;
  struct http_connection *next;
  DL_FOREACH_SAFE (set->lists[CONNECTION_ENDING], c, next)
  {
    if (socket_queue_unread_bytes (c->fd) > 0)
      begin_timed_phase (c, CONNECTION_IDLE);
  }
  DL_FOREACH (set->lists[CONNECTION_SLOW], c)
  {
    keep_slow (c);
  }
}

static bool
have_unread (const struct mhd_connections *base)
{
  const struct http_connections *set = (const struct http_connections *)base;
  const struct http_connection *c;
  for (int phase = 0; phase < CONNECTION_PHASE_COUNT; phase++)
    DL_FOREACH (set->lists[phase], c)
    {
      if (socket_queue_unread_bytes (c->fd) > 0)
        return true;
    }
  return false;
}

static void
notify (struct mhd_connections *base, void (*changed) (void *owner),
        void *owner)
{
  struct http_connections *set = (struct http_connections *)base;
  set->changed = changed;
  set->owner = owner;
}

static const struct mhd_connections_ops loop_ops
    = { keep_readable, have_unread, notify };

struct mhd_connections *
http_connections_for_loop (struct http_connections *set)
{
  return set != NULL ? &set->base : NULL;
}

struct http_connections *
http_connections_create (const struct http_connections_options *options)
{
  struct http_connections *set = xcalloc (1, sizeof *set);
  set->base.ops = &loop_ops;
  set->options = *options;
  ev_timer_init (&set->expiry, on_expiry, 0., 0.);
  set->expiry.data = set;
  return set;
}

void
http_connections_destroy (struct http_connections *set)
{
  if (set == NULL)
    return;
  ev_timer_stop (set->options.loop, &set->expiry);
  for (int i = 0; i < CONNECTION_PHASE_COUNT; i++)
    {
      struct http_connection *c;
      struct http_connection *next;
      DL_FOREACH_SAFE (set->lists[i], c, next)
      {
        free (c);
      }
    }
  free (set);
}

void
http_connections_opened (struct http_connections *set,
                         struct MHD_Connection *connection, void **state)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  struct http_connection *c = xcalloc (1, sizeof *c);
  c->set = set;
  c->connection = connection;
  c->fd = info != NULL ? info->connect_fd : -1;
  c->since_ms = clock_now_ms ();
  *state = c;
  begin_phase (c, CONNECTION_IDLE);
  arm_expiry (set);
}

struct http_connection_end
http_connections_closed (struct http_connections *set, void **state)
{
  struct http_connection_end end = { 0 };
  struct http_connection *c = *state;
  if (c == NULL)
    return end;
  if (c->phase < CONNECTION_BUSY)
    end.idle_ms = clock_now_ms () - c->since_ms;
  end.is_idle = c->phase == CONNECTION_ENDING
                || (c->phase == CONNECTION_IDLE && set->is_stopping);
  *state = NULL;
  DL_DELETE (set->lists[c->phase], c);
  free (c);
  return end;
}

static struct http_connection *
connection_of (struct MHD_Connection *connection)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  return info != NULL ? info->socket_context : NULL;
}

void
http_connections_request_begins (struct MHD_Connection *connection)
{
  struct http_connection *c = connection_of (connection);
  if (c != NULL)
    begin_timed_phase (c, CONNECTION_BUSY);
}

void
http_connections_request_ended (struct MHD_Connection *connection)
{
  struct http_connection *c = connection_of (connection);
  if (c != NULL)
    begin_timed_phase (c, CONNECTION_IDLE);
}

bool
http_connections_is_ending (struct MHD_Connection *connection)
{
  const struct http_connection *c = connection_of (connection);
  return c != NULL && c->is_shut;
}

void
http_connections_set_idle_ms (struct http_connections *set, int64_t idle_ms)
{
  set->options.idle_ms = idle_ms;
  ev_timer_stop (set->options.loop, &set->expiry);
  arm_expiry (set);
}

void
http_connections_begin_stop (struct http_connections *set)
{
  set->is_stopping = true;
}

void
http_connections_on_event (void *connections,
                           struct MHD_Connection *connection, void **state,
                           enum MHD_ConnectionNotificationCode code)
{
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    http_connections_opened (connections, connection, state);
  else
    http_connections_closed (connections, state);
}

void *
http_connections_on_request_line (void *owner, const char *uri,
                                  struct MHD_Connection *connection)
{
  http_connections_request_begins (connection);
  return NULL;
}
