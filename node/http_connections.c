#include "node/http_connections.h"

#include <stdlib.h>
#include <sys/ioctl.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/xmalloc.h"

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
};

struct http_connection
{
  struct http_connections *set;
  struct MHD_Connection *connection;
  int fd;
  enum connection_phase phase;
  int64_t idle_since_ms;
  struct http_connection *prev;
  struct http_connection *next;
};

struct http_connections
{
  struct http_connections_options options;
  struct http_connection *lists[CONNECTION_BUSY + 1]; /* the longest first */
  ev_timer expiry;
  void (*changed) (void *owner);
  void *owner;
  bool is_stopping;
};

static void
set_timeout (const struct http_connection *c, unsigned int seconds)
{
  MHD_set_connection_option (c->connection, MHD_CONNECTION_OPTION_TIMEOUT,
                             seconds);
}

static void
begin_phase (struct http_connection *c, enum connection_phase phase)
{
  struct http_connections *set = c->set;
  c->phase = phase;
  DL_APPEND (set->lists[phase], c);
  /* Without a timeout first, the library counts the new one from the last
     activity. */
  set_timeout (c, 0);
  if (phase == CONNECTION_ENDING)
    set_timeout (c, ENDING_TIMEOUT_S);
  else if (phase == CONNECTION_BUSY)
    set_timeout (c, set->options.progress_s);
}

static void
set_phase (struct http_connection *c, enum connection_phase phase)
{
  DL_DELETE (c->set->lists[c->phase], c);
  begin_phase (c, phase);
}

static bool
has_unread (const struct http_connection *c)
{
  int bytes = 0;
  return ioctl (c->fd, FIONREAD, &bytes) == 0 && bytes > 0;
}

/* How long a connection is idle before its timeout is set. */
static int64_t
open_ms (const struct http_connections *set)
{
  const int64_t ending_ms = ENDING_TIMEOUT_S * INT64_C (1000);
  return set->options.idle_ms > ending_ms ? set->options.idle_ms - ending_ms
                                          : 0;
}

static void
arm_expiry (struct http_connections *set)
{
  const struct http_connection *first = set->lists[CONNECTION_IDLE];
  if (first == NULL || ev_is_active (&set->expiry))
    return;
  const int64_t left_ms
      = first->idle_since_ms + open_ms (set) - clock_now_ms ();
  ev_now_update (set->options.loop);
  ev_timer_set (&set->expiry,
                left_ms > 0 ? (double)left_ms / MS_PER_SECOND : 0., 0.);
  ev_timer_start (set->options.loop, &set->expiry);
}

static void
become_idle (struct http_connection *c)
{
  c->idle_since_ms = clock_now_ms ();
  set_phase (c, CONNECTION_IDLE);
  arm_expiry (c->set);
}

static void
on_expiry (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct http_connections *set = timer->data;
  const int64_t expired_ms = clock_now_ms () - open_ms (set);
  struct http_connection *c;
  struct http_connection *next;
  DL_FOREACH_SAFE (set->lists[CONNECTION_IDLE], c, next)
  {
    if (c->idle_since_ms > expired_ms)
      break;
    set_phase (c, CONNECTION_ENDING);
  }
  arm_expiry (set);
  if (set->changed != NULL)
    set->changed (set->owner);
}

struct http_connections *
http_connections_create (const struct http_connections_options *options)
{
  struct http_connections *set = xcalloc (1, sizeof *set);
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
  for (size_t i = 0; i < sizeof set->lists / sizeof set->lists[0]; i++)
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
http_connections_notify (struct http_connections *set,
                         void (*changed) (void *owner), void *owner)
{
  set->changed = changed;
  set->owner = owner;
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
  c->idle_since_ms = clock_now_ms ();
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
  if (c->phase != CONNECTION_BUSY)
    end.idle_ms = clock_now_ms () - c->idle_since_ms;
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
    set_phase (c, CONNECTION_BUSY);
}

void
http_connections_request_ended (struct MHD_Connection *connection)
{
  struct http_connection *c = connection_of (connection);
  if (c != NULL)
    become_idle (c);
}

void
http_connections_keep_readable (struct http_connections *set)
{
  struct http_connection *c;
  struct http_connection *next;
  DL_FOREACH_SAFE (set->lists[CONNECTION_ENDING], c, next)
  {
    if (has_unread (c))
      become_idle (c);
  }
}

bool
http_connections_have_unread (const struct http_connections *set)
{
  const struct http_connection *c;
  for (int phase = CONNECTION_IDLE; phase <= CONNECTION_BUSY; phase++)
    DL_FOREACH (set->lists[phase], c)
    {
      if (has_unread (c))
        return true;
    }
  return false;
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
