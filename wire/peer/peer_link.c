#define LOG_MODULE "peer"

#include "wire/peer/peer_link.h"

#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "base/rng.h"
#include "base/xmalloc.h"
#include "wire/peer/peer_address.h"

enum
{
  BACKOFF_INITIAL_MS = 100,
  BACKOFF_MAX_MS = 5000,
  /** TCP_USER_TIMEOUT: sent data that stays unacknowledged for longer breaks
   * the connection. */
  UNACKNOWLEDGED_TIMEOUT_MS = 10000,
};

struct peer_link
{
  struct peer_link_options options;
  char address[PEER_ADDRESS_SIZE];
  char name[PEER_NAME_SIZE];
  struct peer_conn *conn; /**< NULL while down */
  struct ev_timer retry;
  uint32_t backoff_ms;
  struct rng random;
};

static void
schedule_reconnect (struct peer_link *link)
{
  const double jitter = 0.5 + 0.5 * rng_unit (&link->random);
  ev_timer_set (&link->retry, link->backoff_ms * jitter / 1000.0, 0);
  ev_timer_start (link->options.loop, &link->retry);
  link->backoff_ms *= 2;
  if (link->backoff_ms > BACKOFF_MAX_MS)
    link->backoff_ms = BACKOFF_MAX_MS;
}

static void
disconnect (struct peer_link *link)
{
  peer_conn_destroy (link->conn);
  link->conn = NULL;
  schedule_reconnect (link);
}

static void
conn_ready (void *owner, struct peer_conn *conn)
{
  struct peer_link *link = owner;
  const struct peer_hello *hello = peer_conn_hello (conn);
  if (link->name[0] != '\0' && strcmp (link->name, hello->name) != 0)
    {
      LOG_WARN ("address-moved", LOG_STR ("address", link->address),
                LOG_STR ("expected", link->name),
                LOG_STR ("found", hello->name));
      disconnect (link);
      return;
    }
  link->backoff_ms = BACKOFF_INITIAL_MS;
  link->options.events->ready (link->options.owner, link);
}

static void
conn_message (void *owner, struct peer_conn *conn,
              const struct peer_message *message)
{
  struct peer_link *link = owner;
  link->options.events->message (link->options.owner, link, message);
}

static void
conn_closed (void *owner, struct peer_conn *conn)
{
  struct peer_link *link = owner;
  LOG_DBG ("link-down", LOG_STR ("address", link->address),
           LOG_STR ("why", status_message ()));
  disconnect (link);
}

static const struct peer_conn_events conn_events
    = { .ready = conn_ready, .message = conn_message, .closed = conn_closed };

/* Opens a socket and starts to connect it.
   @return its descriptor, or -1. */
static int
start_connect (const char *text)
{
  struct sockaddr_storage address;
  socklen_t size;
  if (peer_address_parse (text, &address, &size) != STATUS_OK)
    return -1;
  const int fd = socket (address.ss_family,
                         SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  const int on = 1;
  const unsigned int timeout_ms = UNACKNOWLEDGED_TIMEOUT_MS;
  setsockopt (fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
  setsockopt (fd, IPPROTO_TCP, TCP_USER_TIMEOUT, &timeout_ms,
              sizeof timeout_ms);
  if (connect (fd, (struct sockaddr *)&address, size) == 0
      || errno == EINPROGRESS)
    return fd;
  close (fd);
  return -1;
}

static void
connect_now (struct peer_link *link)
{
  const int fd = start_connect (link->address);
  if (fd < 0)
    {
      schedule_reconnect (link);
      return;
    }
  const struct peer_conn_options options
      = { .loop = link->options.loop,
          .identity = link->options.identity,
          .events = &conn_events,
          .owner = link,
          .fd = fd,
          .is_client = true,
          .idle_timeout_ms = link->options.idle_timeout_ms };
  link->conn = peer_conn_create (&options);
}

static void
retry_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  connect_now (watcher->data);
}

struct peer_link *
peer_link_create (const struct peer_link_options *options)
{
  struct peer_link *link = xcalloc (1, sizeof *link);
  link->options = *options;
  link->backoff_ms = BACKOFF_INITIAL_MS;
  strncpy (link->address, options->address, sizeof link->address - 1);
  strncpy (link->name, options->name, sizeof link->name - 1);
  rng_seed (&link->random, options->seed);
  ev_timer_init (&link->retry, retry_cb, 0, 0);
  link->retry.data = link;
  connect_now (link);
  return link;
}

void
peer_link_destroy (struct peer_link *link)
{
  if (link == NULL)
    return;
  ev_timer_stop (link->options.loop, &link->retry);
  peer_conn_destroy (link->conn);
  free (link);
}

enum status
peer_link_send (struct peer_link *link, const struct peer_message *message)
{
  if (link->conn == NULL)
    return status_set (STATUS_UNREACHABLE, "the link to %s is down",
                       link->address);
  return peer_conn_send (link->conn, message);
}

bool
peer_link_is_ready (const struct peer_link *link)
{
  return link->conn != NULL && peer_conn_is_ready (link->conn);
}

const struct peer_hello *
peer_link_hello (const struct peer_link *link)
{
  return peer_conn_hello (link->conn);
}

const char *
peer_link_address (const struct peer_link *link)
{
  return link->address;
}
