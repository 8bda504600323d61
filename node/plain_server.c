#include "node/plain_server.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "node/http_connections.h"
#include "node/mhd_loop.h"

enum
{
  CONNECTIONS_MAX = 500,
  CONNECTION_MEMORY_BYTES = 8192,
  CONNECTION_TIMEOUT_S = 30,
  MS_PER_SECOND = 1000,
};

struct plain_server
{
  struct plain_server_options options;
  struct http_connections *connections;
  struct MHD_Daemon *daemon;
  struct mhd_loop *mhd_loop;
};

/* No request that is served here has a body; one that is sent is read and
   dropped. */
static enum MHD_Result
on_request (void *owner, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *upload_data,
            size_t *upload_data_size, void **state)
{
  const struct plain_server *server = owner;
  static int header_seen;
  if (*state == NULL)
    {
      *state = &header_seen;
      return MHD_YES;
    }
  if (*upload_data_size > 0)
    {
      *upload_data_size = 0;
      return MHD_YES;
    }
  return server->options.answer (server->options.owner, connection, url,
                                 method);
}

static void
on_completed (void *owner, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  http_connections_request_ended (connection);
}

static struct MHD_Daemon *
start_daemon (struct plain_server *server,
              const struct sockaddr_storage *address)
{
  const unsigned int family
      = address->ss_family == AF_INET6 ? MHD_USE_IPv6 : 0;
  return MHD_start_daemon (
      MHD_USE_EPOLL | family, 0, NULL, NULL, on_request, server,
      MHD_OPTION_SOCK_ADDR, address, MHD_OPTION_CONNECTION_LIMIT,
      (unsigned int)CONNECTIONS_MAX, MHD_OPTION_CONNECTION_MEMORY_LIMIT,
      (size_t)CONNECTION_MEMORY_BYTES, MHD_OPTION_URI_LOG_CALLBACK,
      http_connections_on_request_line, NULL, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, NULL, MHD_OPTION_NOTIFY_CONNECTION,
      http_connections_on_event, server->connections, MHD_OPTION_END);
}

enum status
plain_server_create (const struct plain_server_options *options,
                     struct plain_server **created)
{
  struct sockaddr_storage address;
  *created = NULL;
  if (mhd_loop_parse_address (options->address, &address) == 0)
    return status_set (STATUS_INVALID,
                       "%s address \"%s\": expected a numeric IP:PORT",
                       options->what, options->address);
  struct plain_server *server = xcalloc (1, sizeof *server);
  server->options = *options;
  const struct http_connections_options connections
      = { .loop = options->loop,
          .idle_ms = CONNECTION_TIMEOUT_S * MS_PER_SECOND,
          .progress_s = CONNECTION_TIMEOUT_S };
  server->connections = http_connections_create (&connections);
  server->daemon = start_daemon (server, &address);
  if (server->daemon == NULL)
    {
      http_connections_destroy (server->connections);
      free (server);
      return status_errno ("can't listen on %s address %s: free the port or "
                           "choose another",
                           options->what, options->address);
    }
  server->mhd_loop
      = mhd_loop_create (options->loop, server->daemon,
                         http_connections_for_loop (server->connections));
  if (server->mhd_loop == NULL)
    {
      plain_server_destroy (server);
      return STATUS_SYSTEM;
    }
  *created = server;
  return STATUS_OK;
}

void
plain_server_destroy (struct plain_server *server)
{
  if (server == NULL)
    return;
  if (server->mhd_loop != NULL)
    {
      mhd_loop_accept_pending (server->mhd_loop);
      mhd_loop_read_pending (server->mhd_loop);
    }
  mhd_loop_destroy (server->mhd_loop);
  MHD_stop_daemon (server->daemon);
  http_connections_destroy (server->connections);
  free (server);
}

enum MHD_Result
plain_server_respond (struct MHD_Connection *connection, unsigned int status,
                      const char *content_type, const char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           content_type);
  const enum MHD_Result result
      = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}
