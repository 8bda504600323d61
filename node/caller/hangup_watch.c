#include "node/caller/hangup_watch.h"

#include <stdlib.h>
#include <sys/epoll.h>
#include <unistd.h>

#include "base/status.h"
#include "base/xmalloc.h"

enum
{
  EVENTS_PER_WAKEUP = 32
};

struct hangup_watch
{
  struct ev_loop *loop;
  hangup_watch_fn *on_hangup;
  int epoll_fd;
  ev_io io;
};

/* on_hangup() only marks the watched object, so no later event of this batch
   can point to one that an earlier event released. */
static void
on_ready (struct ev_loop *loop, ev_io *io, int revents)
{
  const struct hangup_watch *watch = io->data;
  struct epoll_event events[EVENTS_PER_WAKEUP];
  const int count = epoll_wait (watch->epoll_fd, events, EVENTS_PER_WAKEUP, 0);
  for (int i = 0; i < count; i++)
    watch->on_hangup (events[i].data.ptr,
                      (events[i].events & (EPOLLHUP | EPOLLERR)) != 0);
}

struct hangup_watch *
hangup_watch_create (struct ev_loop *loop, hangup_watch_fn *on_hangup)
{
  const int fd = epoll_create1 (EPOLL_CLOEXEC);
  if (fd < 0)
    {
      status_errno ("can't create an epoll set for callers: raise the limit "
                    "of open files");
      return NULL;
    }
  struct hangup_watch *watch = xcalloc (1, sizeof *watch);
  watch->loop = loop;
  watch->on_hangup = on_hangup;
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

/* The kernel reports EPOLLHUP and EPOLLERR without a request for them. */
void
hangup_watch_await_reset (struct hangup_watch *watch, int fd, void *watched)
{
  struct epoll_event event = { .events = EPOLLONESHOT, .data.ptr = watched };
  epoll_ctl (watch->epoll_fd, EPOLL_CTL_MOD, fd, &event);
}

void
hangup_watch_remove (struct hangup_watch *watch, int fd)
{
  epoll_ctl (watch->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
}
