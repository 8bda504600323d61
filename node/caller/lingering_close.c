#define LOG_MODULE "caller"

#include "node/caller/lingering_close.h"

#include <errno.h>
#include <fcntl.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/socket_queue.h"

enum
{
  LINGER_IDLE_MAX_MS = 2000,
  LINGER_MAX_MS = 30000,
  DISCARD_BLOCK_BYTES = 16 * 1024,
  /* Other connections get their turn in between. */
  DISCARD_BLOCKS_PER_EVENT = 8,
};

static const double MS_PER_SECOND = 1000.0;

struct closing_connection
{
  struct lingering_close *lingering;
  int fd;
  int undelivered_bytes; /* at the last check */
  int64_t closed_ms;
  int64_t ends_ms; /* at the latest */
  int64_t idle_ms; /* without a request when it was closed */
  int64_t discarded_bytes;
  int64_t first_discarded_ms;
  ev_io readable;
  ev_timer limit;
  struct closing_connection *prev;
  struct closing_connection *next;
};

struct lingering_close
{
  struct ev_loop *loop;
  size_t max;
  size_t count;
  struct counter *counter;
  struct closing_connection *connections; /* the oldest one first */
};

static void
update_count (struct lingering_close *lingering, size_t count)
{
  lingering->count = count;
  if (lingering->counter != NULL)
    counter_set (lingering->counter, (int64_t)count);
}

static void
finish (struct closing_connection *connection)
{
  struct lingering_close *lingering = connection->lingering;
  if (connection->discarded_bytes > 0)
    LOG_INFO ("discarded", LOG_INT ("bytes", connection->discarded_bytes),
              LOG_INT ("after_close_ms",
                       connection->first_discarded_ms - connection->closed_ms),
              LOG_INT ("idle_ms", connection->idle_ms));
  ev_io_stop (lingering->loop, &connection->readable);
  ev_timer_stop (lingering->loop, &connection->limit);
  close (connection->fd);
  DL_DELETE (lingering->connections, connection);
  update_count (lingering, lingering->count - 1);
  free (connection);
}

static void
note_discarded (struct closing_connection *connection, ssize_t bytes)
{
  if (connection->discarded_bytes == 0)
    connection->first_discarded_ms = clock_now_ms ();
  connection->discarded_bytes += bytes;
}

static void
on_readable (struct ev_loop *loop, ev_io *io, int events)
{
  struct closing_connection *connection = io->data;
  char discarded[DISCARD_BLOCK_BYTES];
  for (int i = 0; i < DISCARD_BLOCKS_PER_EVENT; i++)
    {
      const ssize_t got
          = recv (connection->fd, discarded, sizeof discarded, MSG_DONTWAIT);
      if (got > 0)
        {
          note_discarded (connection, got);
          continue;
        }
      if (got == 0 || (errno != EAGAIN && errno != EINTR))
        finish (connection);
      return;
    }
}

static void
on_limit (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct closing_connection *connection = timer->data;
  const int bytes = socket_queue_undelivered_bytes (connection->fd);
  const bool delivers = bytes > 0 && bytes < connection->undelivered_bytes;
  if (!delivers || clock_now_ms () >= connection->ends_ms)
    finish (connection);
  else
    connection->undelivered_bytes = bytes;
}

/* The connection that is missed the least. */
static struct closing_connection *
least_needed (const struct lingering_close *lingering)
{
  struct closing_connection *connection;
  DL_FOREACH (lingering->connections, connection)
  {
    if (socket_queue_undelivered_bytes (connection->fd) == 0)
      return connection;
  }
  return lingering->connections;
}

/* The peer has neither closed nor reset the connection. */
static bool
is_open (int fd)
{
  char byte;
  const ssize_t got = recv (fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT);
  return got > 0 || (got < 0 && (errno == EAGAIN || errno == EINTR));
}

static bool
resets_at_close (int fd)
{
  struct linger linger = { 0 };
  socklen_t size = sizeof linger;
  return getsockopt (fd, SOL_SOCKET, SO_LINGER, &linger, &size) != 0
         || linger.l_onoff != 0;
}

struct lingering_close *
lingering_close_create (struct ev_loop *loop, size_t max,
                        struct counter *count)
{
  struct lingering_close *lingering = xcalloc (1, sizeof *lingering);
  lingering->loop = loop;
  lingering->max = max;
  lingering->counter = count;
  return lingering;
}

void
lingering_close_add (struct lingering_close *lingering, int fd,
                     int64_t idle_ms)
{
  if (!is_open (fd) || resets_at_close (fd))
    return;
  /* Without a descriptor to spare, the connection just closes. */
  const int kept = fcntl (fd, F_DUPFD_CLOEXEC, 0);
  if (kept < 0)
    {
      LOG_ERRNO ("linger-refused", LOG_INT ("lingering", lingering->count));
      return;
    }
  if (lingering->count >= lingering->max && lingering->connections != NULL)
    finish (least_needed (lingering));
  shutdown (kept, SHUT_WR);
  struct closing_connection *connection = xcalloc (1, sizeof *connection);
  connection->lingering = lingering;
  connection->fd = kept;
  connection->undelivered_bytes = socket_queue_undelivered_bytes (kept);
  connection->closed_ms = clock_now_ms ();
  connection->ends_ms = connection->closed_ms + LINGER_MAX_MS;
  connection->idle_ms = idle_ms;
  ev_io_init (&connection->readable, on_readable, kept, EV_READ);
  connection->readable.data = connection;
  ev_io_start (lingering->loop, &connection->readable);
  ev_now_update (lingering->loop);
  ev_timer_init (&connection->limit, on_limit,
                 LINGER_IDLE_MAX_MS / MS_PER_SECOND,
                 LINGER_IDLE_MAX_MS / MS_PER_SECOND);
  connection->limit.data = connection;
  ev_timer_start (lingering->loop, &connection->limit);
  DL_APPEND (lingering->connections, connection);
  update_count (lingering, lingering->count + 1);
}

size_t
lingering_close_count (const struct lingering_close *lingering)
{
  return lingering->count;
}

void
lingering_close_destroy (struct lingering_close *lingering)
{
  if (lingering == NULL)
    return;
  struct closing_connection *connection;
  struct closing_connection *next;
  DL_FOREACH_SAFE (lingering->connections, connection, next)
  {
    finish (connection);
  }
  free (lingering);
}
