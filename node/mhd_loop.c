#include "node/mhd_loop.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

enum
{
  ADDRESS_SIZE = 64,
  PORT_MAX = 65535,
  /* Peers that send without end don't hold the loop. */
  PENDING_ROUNDS_MAX = 10,
  /* The library accepts several connections a round. */
  ACCEPT_ROUNDS_MAX = 1000,
};

static const double MS_PER_SECOND = 1000.0;

struct mhd_loop
{
  struct ev_loop *loop;
  struct MHD_Daemon *daemon;
  struct mhd_connections *connections;
  ev_io io;
  ev_timer timer;
};

/* The daemon's timeout changes with each run, so the timer is set again
   after each.  A timeout of 0 means that work is pending: it is done in the
   next loop iteration, so that other watchers run in between. */
static void
arm_timer (struct mhd_loop *mhd_loop)
{
  MHD_UNSIGNED_LONG_LONG timeout_ms;
  ev_timer_stop (mhd_loop->loop, &mhd_loop->timer);
  if (MHD_get_timeout (mhd_loop->daemon, &timeout_ms) != MHD_YES)
    return;
  ev_timer_set (&mhd_loop->timer, (double)timeout_ms / MS_PER_SECOND, 0.);
  ev_timer_start (mhd_loop->loop, &mhd_loop->timer);
}

void
mhd_loop_run (struct mhd_loop *mhd_loop)
{
  if (mhd_loop->connections != NULL)
    mhd_loop->connections->ops->before_run (mhd_loop->connections);
  MHD_run (mhd_loop->daemon);
  arm_timer (mhd_loop);
}

static void
on_ready (struct ev_loop *loop, ev_io *io, int events)
{
  mhd_loop_run (io->data);
}

static void
on_timeout (struct ev_loop *loop, ev_timer *timer, int events)
{
  mhd_loop_run (timer->data);
}

static void
on_timeouts_changed (void *owner)
{
  mhd_loop_wake (owner);
}

struct mhd_loop *
mhd_loop_create (struct ev_loop *loop, struct MHD_Daemon *daemon,
                 struct mhd_connections *connections)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_EPOLL_FD);
  if (info == NULL || info->epoll_fd < 0)
    {
      status_set (STATUS_INVALID,
                  "the HTTP server has no epoll descriptor: start it with "
                  "MHD_USE_EPOLL and without a thread of its own");
      return NULL;
    }
  struct mhd_loop *mhd_loop = xcalloc (1, sizeof *mhd_loop);
  mhd_loop->loop = loop;
  mhd_loop->daemon = daemon;
  mhd_loop->connections = connections;
  if (connections != NULL)
    connections->ops->notify (connections, on_timeouts_changed, mhd_loop);
  ev_io_init (&mhd_loop->io, on_ready, info->epoll_fd, EV_READ);
  mhd_loop->io.data = mhd_loop;
  ev_timer_init (&mhd_loop->timer, on_timeout, 0., 0.);
  mhd_loop->timer.data = mhd_loop;
  ev_io_start (loop, &mhd_loop->io);
  arm_timer (mhd_loop);
  return mhd_loop;
}

void
mhd_loop_destroy (struct mhd_loop *mhd_loop)
{
  if (mhd_loop == NULL)
    return;
  if (mhd_loop->connections != NULL)
    mhd_loop->connections->ops->notify (mhd_loop->connections, NULL, NULL);
  ev_io_stop (mhd_loop->loop, &mhd_loop->io);
  ev_timer_stop (mhd_loop->loop, &mhd_loop->timer);
  free (mhd_loop);
}

void
mhd_loop_wake (struct mhd_loop *mhd_loop)
{
  ev_feed_event (mhd_loop->loop, &mhd_loop->io, EV_READ);
}

void
mhd_loop_read_pending (struct mhd_loop *mhd_loop)
{
  const struct mhd_connections *connections = mhd_loop->connections;
  for (int i = 0; i < PENDING_ROUNDS_MAX && connections != NULL
                  && connections->ops->have_unread (connections);
       i++)
    mhd_loop_run (mhd_loop);
}

void
mhd_loop_accept_pending (struct mhd_loop *mhd_loop)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (mhd_loop->daemon, MHD_DAEMON_INFO_LISTEN_FD);
  if (info == NULL)
    return;
  struct pollfd listener = { .fd = info->listen_fd, .events = POLLIN };
  for (int i = 0; i < ACCEPT_ROUNDS_MAX && poll (&listener, 1, 0) > 0; i++)
    mhd_loop_run (mhd_loop);
}

uint16_t
mhd_loop_bound_port (struct MHD_Daemon *daemon)
{
  const union MHD_DaemonInfo *info
      = MHD_get_daemon_info (daemon, MHD_DAEMON_INFO_BIND_PORT);
  return info == NULL ? 0 : info->port;
}

static socklen_t
parse_ip4 (const char *ip, uint16_t port, struct sockaddr_storage *storage)
{
  struct sockaddr_in *in = (struct sockaddr_in *)storage;
  in->sin_family = AF_INET;
  in->sin_port = htons (port);
  return inet_pton (AF_INET, ip, &in->sin_addr) == 1 ? sizeof *in : 0;
}

static socklen_t
parse_ip6 (const char *ip, uint16_t port, struct sockaddr_storage *storage)
{
  struct sockaddr_in6 *in = (struct sockaddr_in6 *)storage;
  in->sin6_family = AF_INET6;
  in->sin6_port = htons (port);
  return inet_pton (AF_INET6, ip, &in->sin6_addr) == 1 ? sizeof *in : 0;
}

socklen_t
mhd_loop_parse_address (const char *address, struct sockaddr_storage *storage)
{
  char ip[ADDRESS_SIZE];
  memset (storage, 0, sizeof *storage);
  const char *colon = strrchr (address, ':');
  if (colon == NULL || colon[1] < '0' || colon[1] > '9')
    return 0;
  char *end;
  const long port = strtol (colon + 1, &end, 10);
  if (*end != '\0' || port < 0 || port > PORT_MAX)
    return 0;
  size_t length = (size_t)(colon - address);
  const bool bracketed = length >= 2 && address[0] == '[' && colon[-1] == ']';
  if (bracketed)
    {
      address++;
      length -= 2;
    }
  if (length >= sizeof ip)
    return 0;
  memcpy (ip, address, length);
  ip[length] = '\0';
  return bracketed ? parse_ip6 (ip, (uint16_t)port, storage)
                   : parse_ip4 (ip, (uint16_t)port, storage);
}
