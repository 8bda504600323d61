#include "node/ejection/target_probe.h"

#include <errno.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/xmalloc.h"
#include "wire/peer/peer_address.h"

struct target_probe
{
  struct ev_loop *loop;
  int fd;
  int error; /* errno of the connection attempt; 0: none */
  struct ev_io writable;
  struct ev_timer timeout;
  target_probe_done *done;
  void *owner;
};

static void
on_writable (struct ev_loop *loop, struct ev_io *watcher, int events)
{
  struct target_probe *probe = watcher->data;
  socklen_t size = sizeof probe->error;
  const bool ok
      = getsockopt (probe->fd, SOL_SOCKET, SO_ERROR, &probe->error, &size) == 0
        && probe->error == 0;
  probe->done (probe->owner, probe, ok);
}

static void
on_timeout (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct target_probe *probe = watcher->data;
  probe->done (probe->owner, probe, false);
}

static int
start_connect (const char *address, int *error)
{
  struct sockaddr_storage to;
  socklen_t size;
  if (peer_address_parse (address, &to, &size) != STATUS_OK)
    return -1;
  const int fd
      = socket (to.ss_family, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (fd < 0)
    return -1;
  if (connect (fd, (struct sockaddr *)&to, size) < 0 && errno != EINPROGRESS)
    {
      *error = errno;
      close (fd);
      return -1;
    }
  return fd;
}

struct target_probe *
target_probe_start (struct ev_loop *loop, const char *address,
                    uint32_t timeout_ms, target_probe_done *done, void *owner)
{
  struct target_probe *probe = xcalloc (1, sizeof *probe);
  probe->loop = loop;
  probe->done = done;
  probe->owner = owner;
  probe->fd = start_connect (address, &probe->error);
  const double timeout_s = probe->fd < 0 ? 0 : timeout_ms / 1000.0;
  ev_timer_init (&probe->timeout, on_timeout, timeout_s, 0);
  probe->timeout.data = probe;
  ev_timer_start (loop, &probe->timeout);
  ev_io_init (&probe->writable, on_writable, probe->fd, EV_WRITE);
  probe->writable.data = probe;
  if (probe->fd >= 0)
    ev_io_start (loop, &probe->writable);
  return probe;
}

bool
target_probe_was_refused (const struct target_probe *probe)
{
  return probe->error == ECONNREFUSED;
}

void
target_probe_destroy (struct target_probe *probe)
{
  if (probe == NULL)
    return;
  ev_timer_stop (probe->loop, &probe->timeout);
  ev_io_stop (probe->loop, &probe->writable);
  if (probe->fd >= 0)
    close (probe->fd);
  free (probe);
}
