#include "node/caller/caller_connections.h"

#include <stdbool.h>
#include <stdlib.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/xmalloc.h"

enum
{
  /* The shortest that the library takes. */
  CLOSING_IDLE_S = 1,
};

struct caller_connection
{
  struct caller_connections *set;
  struct MHD_Connection *connection;
  bool has_request;
  int64_t idle_since_ms;
  struct caller_connection *prev;
  struct caller_connection *next;
};

struct caller_connections
{
  unsigned int idle_s;
  bool closes_idle;
  struct caller_connection *list;
};

/* A connection whose request or response makes slow progress isn't idle. */
static void
set_timeout (struct caller_connection *c)
{
  const unsigned int idle_s = c->set->closes_idle && !c->has_request
                                  ? CLOSING_IDLE_S
                                  : c->set->idle_s;
  MHD_set_connection_option (c->connection, MHD_CONNECTION_OPTION_TIMEOUT,
                             idle_s);
}

struct caller_connections *
caller_connections_create (unsigned int idle_s)
{
  struct caller_connections *connections = xcalloc (1, sizeof *connections);
  connections->idle_s = idle_s;
  return connections;
}

void
caller_connections_opened (struct caller_connections *connections,
                           struct MHD_Connection *connection, void **state)
{
  struct caller_connection *c = xcalloc (1, sizeof *c);
  c->set = connections;
  c->connection = connection;
  c->idle_since_ms = clock_now_ms ();
  *state = c;
  DL_APPEND (connections->list, c);
  if (connections->closes_idle)
    set_timeout (c);
}

int64_t
caller_connections_closed (struct caller_connections *connections,
                           void **state)
{
  struct caller_connection *c = *state;
  if (c == NULL)
    return 0;
  const int64_t idle_ms
      = c->has_request ? 0 : clock_now_ms () - c->idle_since_ms;
  *state = NULL;
  DL_DELETE (connections->list, c);
  free (c);
  return idle_ms;
}

static void
note_request (struct MHD_Connection *connection, bool has_request)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  struct caller_connection *c = info != NULL ? info->socket_context : NULL;
  if (c == NULL)
    return;
  c->has_request = has_request;
  c->idle_since_ms = clock_now_ms ();
  if (c->set->closes_idle)
    set_timeout (c);
}

void
caller_connections_request_begins (struct MHD_Connection *connection)
{
  note_request (connection, true);
}

void
caller_connections_request_ended (struct MHD_Connection *connection)
{
  note_request (connection, false);
}

void
caller_connections_close_idle (struct caller_connections *connections)
{
  struct caller_connection *c;
  if (connections->closes_idle)
    return;
  connections->closes_idle = true;
  DL_FOREACH (connections->list, c)
  {
    if (!c->has_request)
      set_timeout (c);
  }
}

void
caller_connections_destroy (struct caller_connections *connections)
{
  struct caller_connection *c;
  struct caller_connection *next;
  if (connections == NULL)
    return;
  DL_FOREACH_SAFE (connections->list, c, next)
  {
    free (c);
  }
  free (connections);
}
