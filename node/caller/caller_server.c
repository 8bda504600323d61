#define LOG_MODULE "caller"

#include "node/caller/caller_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include <microhttpd.h>
#include <utlist.h>

#include "base/log.h"
#include "base/xmalloc.h"
#include "node/caller/address_answer.h"
#include "node/caller/exchange.h"
#include "node/caller/exchange_caller.h"
#include "node/caller/half_close.h"
#include "node/caller/lingering_close.h"
#include "node/caller/response_room.h"
#include "node/http_connections.h"
#include "node/socket_queue.h"

enum
{
  MS_PER_SECOND = 1000,
  LOG_TEXT_SIZE = 256,
  /* The remaining connections are for callers that connect within one
     iteration of the event loop. */
  NEAR_CONNECTION_LIMIT_PERCENT = 90,
  /* Descriptors of closing connections, for each of the limit. */
  LINGERING_CONNECTION_DIVISOR = 10,
};

struct caller_server
{
  struct caller_context *context;
  struct MHD_Daemon *daemon; /* NULL: all connections are closed */
  struct http_connections *connections;
  struct lingering_close *lingering;
  bool is_listening;
  bool was_near_limit; /* at the last check */
};

/* The target must get the path as the caller sent it; this is the only
   callback in which libmicrohttpd passes it unmodified. */
static void *
on_request_line (void *owner, const char *uri,
                 struct MHD_Connection *connection)
{
  http_connections_request_begins (connection);
  return exchange_create (owner, connection, uri);
}

static enum MHD_Result
on_head (struct exchange *x, struct MHD_Connection *connection,
         const char *method, const char *version)
{
  /* With a separate directory address, every path is routed to targets. */
  if (x->context->settings->directory_address[0] == '\0'
      && address_answer_matches_uri (x->context, x->uri))
    {
      x->state = EXCHANGE_FINISHED;
      x->is_unrouted = true;
      return address_answer_queue (x->context, connection, method);
    }
  exchange_start (x, method, version);
  if (x->raw_response_sent)
    return MHD_NO;
  /* A caller that sent "Expect: 100-continue" gets the response before it
     sends its body. */
  size_t no_body_bytes = 0;
  if (x->state == EXCHANGE_LOCAL_RESPONSE && x->head.expects_continue)
    return exchange_on_request (x, NULL, &no_body_bytes);
  return MHD_YES;
}

static enum MHD_Result
on_access (void *owner, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload_data,
           size_t *upload_data_size, void **state)
{
  struct exchange *x = *state;
  if (x->state == EXCHANGE_NEW)
    return on_head (x, connection, method, version);
  return exchange_on_request (x, upload_data, upload_data_size);
}

static void
on_completed (void *owner, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct exchange *x = *state;
  *state = NULL;
  http_connections_request_ended (connection);
  if (x != NULL)
    exchange_request_completed (x, code);
}

static void
on_hangup (void *watched, bool is_reset)
{
  half_close_begin (watched, is_reset);
}

static void
on_connection_event (void *owner, struct MHD_Connection *connection,
                     void **state, enum MHD_ConnectionNotificationCode code)
{
  const struct caller_server *server = owner;
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      http_connections_opened (server->connections, connection, state);
      return;
    }
  const struct http_connection_end end
      = http_connections_closed (server->connections, state);
  /* Without a response to deliver, what the caller still sends is better left
     unread: its kernel is then told that the host didn't take it. */
  if (info != NULL
      && !(end.is_idle
           && socket_queue_undelivered_bytes (info->connect_fd) == 0))
    lingering_close_add (server->lingering, info->connect_fd, end.idle_ms);
}

static void
on_log (void *owner, const char *format, va_list arguments)
{
  char text[LOG_TEXT_SIZE];
  vsnprintf (text, sizeof text, format, arguments);
  text[strcspn (text, "\r\n")] = '\0';
  const char *message = text;
  LOG_WARN ("http", LOG_STR ("message", message));
}

/* libmicrohttpd takes whole seconds; 0 would mean no timeout. */
static unsigned int
idle_seconds (const struct caller_limits *limits)
{
  return (limits->idle_timeout_ms + MS_PER_SECOND - 1) / MS_PER_SECOND;
}

static struct MHD_Daemon *
start_daemon (struct caller_server *server,
              const struct sockaddr_storage *address)
{
  struct caller_context *context = server->context;
  const struct caller_limits *limits = &context->settings->limits;
  const unsigned int family
      = address->ss_family == AF_INET6 ? MHD_USE_IPv6 : 0;
  const size_t memory_bytes = response_room_memory_bytes (limits);
  return MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ERROR_LOG | family, 0,
      NULL, NULL, on_access, context, MHD_OPTION_EXTERNAL_LOGGER, on_log,
      context, MHD_OPTION_SOCK_ADDR, address, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)limits->connections, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      memory_bytes, MHD_OPTION_STRICT_FOR_CLIENT, 1,
      MHD_OPTION_URI_LOG_CALLBACK, on_request_line, context,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, context,
      MHD_OPTION_NOTIFY_CONNECTION, on_connection_event, server,
      MHD_OPTION_END);
}

uint32_t
caller_server_connection_count (const struct caller_server *server)
{
  const union MHD_DaemonInfo *info
      = server->daemon == NULL
            ? NULL
            : MHD_get_daemon_info (server->daemon,
                                   MHD_DAEMON_INFO_CURRENT_CONNECTIONS);
  return info != NULL ? info->num_connections : 0;
}

/* When all connections are in use, for example after the loss of many hosts,
   the connections of further callers aren't accepted: these callers wait until
   their timeout and then retry, while other callers keep idle connections
   open.  Closing connections with the response near the limit frees them in
   time. */
bool
caller_server_is_near_connection_limit (struct caller_server *server)
{
  const uint64_t used = caller_server_connection_count (server);
  const uint64_t limit = server->context->settings->limits.connections;
  const bool is_near = used * 100 >= limit * NEAR_CONNECTION_LIMIT_PERCENT;
  if (is_near != server->was_near_limit)
    LOG_WARN ("connections", LOG_INT ("crowded", is_near),
              LOG_INT ("taken", used), LOG_INT ("most", limit));
  server->was_near_limit = is_near;
  return is_near;
}

static void
set_own_address (struct caller_context *context, struct MHD_Daemon *daemon)
{
  const char *advertised = context->settings->caller_advertised;
  if (advertised[0] != '\0')
    {
      snprintf (context->own_address, sizeof context->own_address, "%s",
                advertised);
      return;
    }
  const char *address_text = context->settings->caller_address;
  const char *colon = strrchr (address_text, ':');
  snprintf (context->own_address, sizeof context->own_address, "%.*s:%u",
            (int)(colon - address_text), address_text,
            mhd_loop_bound_port (daemon));
}

static bool
start (struct caller_server *server, const struct sockaddr_storage *address)
{
  struct caller_context *context = server->context;
  server->daemon = start_daemon (server, address);
  if (server->daemon == NULL)
    {
      status_errno ("can't listen for callers on %s: free the address or "
                    "choose another",
                    context->settings->caller_address);
      return false;
    }
  server->is_listening = true;
  context->hangup = hangup_watch_create (context->loop, on_hangup);
  context->mhd_loop
      = mhd_loop_create (context->loop, server->daemon,
                         http_connections_for_loop (server->connections));
  return context->hangup != NULL && context->mhd_loop != NULL;
}

struct caller_server *
caller_server_create (struct caller_context *context)
{
  const char *address_text = context->settings->caller_address;
  struct sockaddr_storage address;
  if (mhd_loop_parse_address (address_text, &address) == 0)
    {
      status_set (STATUS_INVALID,
                  "caller address \"%s\" is not IP:PORT: correct it",
                  address_text);
      return NULL;
    }
  struct caller_server *server = xcalloc (1, sizeof *server);
  server->context = context;
  const struct http_connections_options connections
      = { .loop = context->loop,
          .idle_ms = context->settings->limits.idle_timeout_ms,
          .progress_s = idle_seconds (&context->settings->limits) };
  server->connections = http_connections_create (&connections);
  server->lingering = lingering_close_create (
      context->loop,
      context->settings->limits.connections / LINGERING_CONNECTION_DIVISOR,
      context->counters.lingering);
  if (!start (server, &address))
    {
      caller_server_destroy (server);
      return NULL;
    }
  set_own_address (context, server->daemon);
  return server;
}

void
caller_server_begin_leaving (struct caller_server *server)
{
  http_connections_set_idle_ms (
      server->connections,
      host_settings_reuse_max_ms (server->context->settings));
}

void
caller_server_stop_listening (struct caller_server *server)
{
  if (!server->is_listening)
    return;
  server->is_listening = false;
  mhd_loop_accept_pending (server->context->mhd_loop);
  const int fd = MHD_quiesce_daemon (server->daemon);
  if (fd >= 0)
    close (fd);
  mhd_loop_wake (server->context->mhd_loop);
}

void
caller_server_read_pending (struct caller_server *server)
{
  if (server->daemon != NULL)
    mhd_loop_read_pending (server->context->mhd_loop);
}

void
caller_server_close_connections (struct caller_server *server)
{
  if (server->daemon == NULL)
    return;
  struct caller_context *context = server->context;
  struct exchange *x;
  DL_FOREACH (context->exchanges, x)
  {
    exchange_abort_response (x);
    exchange_resume_connection (x);
  }
  http_connections_begin_stop (server->connections);
  mhd_loop_destroy (context->mhd_loop);
  context->mhd_loop = NULL;
  MHD_stop_daemon (server->daemon);
  server->daemon = NULL;
  struct exchange *next;
  DL_FOREACH_SAFE (context->exchanges, x, next)
  {
    exchange_request_completed (x, MHD_REQUEST_TERMINATED_DAEMON_SHUTDOWN);
  }
}

bool
caller_server_is_closed (const struct caller_server *server)
{
  return server->daemon == NULL
         && lingering_close_count (server->lingering) == 0;
}

/* A host that ends before its connections have got an answer to what has
   come, unless it would pass that on. */
static void
read_last (struct caller_server *server)
{
  if (server->daemon == NULL || server->context->mhd_loop == NULL
      || !exchange_start_refuses_all (server->context))
    return;
  if (server->is_listening)
    mhd_loop_accept_pending (server->context->mhd_loop);
  caller_server_read_pending (server);
}

void
caller_server_destroy (struct caller_server *server)
{
  if (server == NULL)
    return;
  read_last (server);
  caller_server_close_connections (server);
  lingering_close_destroy (server->lingering);
  http_connections_destroy (server->connections);
  hangup_watch_destroy (server->context->hangup);
  free (server);
}
