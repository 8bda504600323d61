#define LOG_MODULE "peer"

#include "wire/peer/peer_server.h"

#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utlist.h>

#include "base/log.h"
#include "base/xmalloc.h"
#include "wire/peer/peer_address.h"

enum
{
  LISTEN_BACKLOG = 128,
  ACCEPTS_PER_EVENT = 16,
};

struct accepted_conn
{
  struct peer_server *server;
  struct peer_conn *conn;
  struct accepted_conn *prev;
  struct accepted_conn *next;
};

struct peer_server
{
  struct peer_server_options options;
  struct ev_io listener;
  int fd;
  struct accepted_conn *connections;
  uint32_t count;
};

static void
conn_ready (void *owner, struct peer_conn *conn)
{
  const struct peer_server_options *options
      = &((struct accepted_conn *)owner)->server->options;
  if (options->events->ready != NULL)
    options->events->ready (options->owner, conn);
}

static void
conn_message (void *owner, struct peer_conn *conn,
              const struct peer_message *message)
{
  const struct peer_server_options *options
      = &((struct accepted_conn *)owner)->server->options;
  options->events->message (options->owner, conn, message);
}

static void
remove_connection (struct accepted_conn *accepted_conn)
{
  struct peer_server *server = accepted_conn->server;
  DL_DELETE (server->connections, accepted_conn);
  server->count--;
  peer_conn_destroy (accepted_conn->conn);
  free (accepted_conn);
}

static void
conn_closed (void *owner, struct peer_conn *conn)
{
  struct accepted_conn *accepted_conn = owner;
  const struct peer_server_options *options = &accepted_conn->server->options;
  if (options->events->closed != NULL)
    options->events->closed (options->owner, conn);
  remove_connection (accepted_conn);
}

static const struct peer_conn_events conn_events
    = { .ready = conn_ready, .message = conn_message, .closed = conn_closed };

static void
add_connection (struct peer_server *server, int fd)
{
  if (server->count == PEER_SERVER_CONNECTIONS_MAX)
    {
      LOG_WARN ("connection-limit", LOG_INT ("open", server->count));
      close (fd);
      return;
    }
  const int on = 1;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  struct accepted_conn *accepted_conn = xcalloc (1, sizeof *accepted_conn);
  accepted_conn->server = server;
  const struct peer_conn_options options
      = { .loop = server->options.loop,
          .identity = server->options.identity,
          .events = &conn_events,
          .owner = accepted_conn,
          .fd = fd,
          .idle_timeout_ms = server->options.idle_timeout_ms };
  accepted_conn->conn = peer_conn_create (&options);
  DL_APPEND (server->connections, accepted_conn);
  server->count++;
}

static void
accept_cb (struct ev_loop *loop, struct ev_io *watcher, int events)
{
  struct peer_server *server = watcher->data;
  for (int i = 0; i < ACCEPTS_PER_EVENT; i++)
    {
      const int fd
          = accept4 (server->fd, NULL, NULL, SOCK_NONBLOCK | SOCK_CLOEXEC);
      if (fd < 0)
        return;
      add_connection (server, fd);
    }
}

static enum status
listen_on (const char *text, int *listener)
{
  struct sockaddr_storage address;
  socklen_t size;
  const enum status status = peer_address_parse (text, &address, &size);
  if (status != STATUS_OK)
    return status;
  const int fd = socket (address.ss_family,
                         SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return status_errno ("peer_address %s", text);
  const int on = 1;
  setsockopt (fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
  if (bind (fd, (struct sockaddr *)&address, size) < 0
      || listen (fd, LISTEN_BACKLOG) < 0)
    {
      const enum status failed = status_errno (
          "can't listen on peer_address %s; choose another address, or stop "
          "the process that uses it",
          text);
      close (fd);
      return failed;
    }
  *listener = fd;
  return STATUS_OK;
}

enum status
peer_server_create (const struct peer_server_options *options,
                    struct peer_server **server)
{
  int fd = -1;
  const enum status status = listen_on (options->address, &fd);
  if (status != STATUS_OK)
    return status;
  struct peer_server *created = xcalloc (1, sizeof *created);
  created->options = *options;
  created->fd = fd;
  ev_io_init (&created->listener, accept_cb, fd, EV_READ);
  created->listener.data = created;
  ev_io_start (options->loop, &created->listener);
  *server = created;
  return STATUS_OK;
}

void
peer_server_destroy (struct peer_server *server)
{
  if (server == NULL)
    return;
  ev_io_stop (server->options.loop, &server->listener);
  close (server->fd);
  struct accepted_conn *accepted_conn;
  struct accepted_conn *next;
  DL_FOREACH_SAFE (server->connections, accepted_conn, next)
  {
    remove_connection (accepted_conn);
  }
  free (server);
}

uint16_t
peer_server_port (const struct peer_server *server)
{
  union
  {
    struct sockaddr any;
    struct sockaddr_in ipv4;
    struct sockaddr_in6 ipv6;
  } address = { .ipv6 = { .sin6_family = AF_UNSPEC } };
  socklen_t size = sizeof address;
  if (getsockname (server->fd, &address.any, &size) != 0)
    return 0;
  if (address.any.sa_family == AF_INET6)
    return ntohs (address.ipv6.sin6_port);
  return ntohs (address.ipv4.sin_port);
}
