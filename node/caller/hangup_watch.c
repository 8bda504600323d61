#include "node/caller/hangup_watch.h"

#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/status.h"
#include "base/xmalloc.h"

enum
{
  EVENTS_A_TURN = 32
};

struct hangup_watch
{
  struct ev_loop *loop;
  hangup_watch_fn *gone;
  int epoll_fd;
  ev_io io;
};

/* `gone` only marks what is watched, so no event of this turn can point to
   something that an earlier one released. */
static void
on_ready (struct ev_loop *loop, ev_io *io, int revents)
{
  const struct hangup_watch *watch = io->data;
  struct epoll_event events[EVENTS_A_TURN];
  const int count = epoll_wait (watch->epoll_fd, events, EVENTS_A_TURN, 0);
  for (int i = 0; i < count; i++)
    watch->gone (events[i].data.ptr);
}

struct hangup_watch *
hangup_watch_create (struct ev_loop *loop, hangup_watch_fn *gone)
{
  const int fd = epoll_create1 (EPOLL_CLOEXEC);
  if (fd < 0)
    {
      status_errno ("no epoll set for callers: raise the limit of open files");
      return NULL;
    }
  struct hangup_watch *watch = xcalloc (1, sizeof *watch);
  watch->loop = loop;
  watch->gone = gone;
  watch->epoll_fd = fd;
  ev_io_init (&watch->io, on_ready, fd, EV_READ);
  watch->io.data = watch;
  ev_io_start (loop, &watch->io);
  return watch;
}

void
hangup_watch_destroy (struct hangup_watch *watch)
{
  if (watch == NULL)
    return;
  ev_io_stop (watch->loop, &watch->io);
  close (watch->epoll_fd);
  free (watch);
}

void
hangup_watch_add (struct hangup_watch *watch, int fd, void *watched)
{
  struct epoll_event event
      = { .events = EPOLLRDHUP | EPOLLONESHOT, .data.ptr = watched };
  epoll_ctl (watch->epoll_fd, EPOLL_CTL_ADD, fd, &event);
}

void
hangup_watch_remove (struct hangup_watch *watch, int fd)
{
  epoll_ctl (watch->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
}
