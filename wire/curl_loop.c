#include "wire/curl_loop.h"

#include <assert.h>
#include <stdbool.h>
#include <stdlib.h>
#include <sys/socket.h>
#include <unistd.h>

#include <uthash.h>
#include <utlist.h>

#include "base/hash.h"
#include "base/xmalloc.h"

static const double MS_PER_SECOND = 1000.0;

/* A handle between curl_loop_start() and its `done`. */
struct curl_transfer
{
  CURL *easy;
  curl_loop_done *done;
  void *owner;
  bool added;     /* to the multi handle */
  bool cancelled; /* run_deferred() will call `done` */
  int fd;         /* of the connection opened for it; -1: none */
  struct curl_transfer *prev;
  struct curl_transfer *next;
};

/* A socket that libcurl monitors. */
struct curl_socket
{
  struct curl_loop *cl;
  ev_io io;
  struct curl_socket *prev;
  struct curl_socket *next;
};

/* An open connection.  libcurl tells the socket of a reused one neither before
   nor during its transfer. */
struct curl_connection
{
  uint64_t key; /* of its ports and remote address */
  int fd;
  UT_hash_handle by_key;
  UT_hash_handle by_fd;
};

struct curl_loop
{
  struct ev_loop *loop;
  CURLM *multi;
  ev_timer timer;
  ev_prepare deferred; /* never started, only fed with events */
  uint32_t depth;      /* nested calls into libcurl */
  uint32_t running;
  struct curl_transfer *transfers;
  struct curl_socket *sockets;
  struct curl_connection *connections_by_key;
  struct curl_connection *connections_by_fd;
};

static void
defer (struct curl_loop *cl)
{
  ev_feed_event (cl->loop, &cl->deferred, EV_CUSTOM);
}

static void
add_handle (struct curl_loop *cl, struct curl_transfer *transfer)
{
  cl->depth++;
  const CURLMcode code = curl_multi_add_handle (cl->multi, transfer->easy);
  cl->depth--;
  assert (code == CURLM_OK);
  (void)code;
  transfer->added = true;
}

static void
remove_handle (struct curl_loop *cl, struct curl_transfer *transfer)
{
  if (!transfer->added)
    return;
  cl->depth++;
  const CURLMcode code = curl_multi_remove_handle (cl->multi, transfer->easy);
  cl->depth--;
  assert (code == CURLM_OK);
  (void)code;
  transfer->added = false;
}

/* Returns TRANSFER, which has left the multi handle, to its owner. */
static void
complete (struct curl_loop *cl, struct curl_transfer *transfer, CURLcode code)
{
  CURL *easy = transfer->easy;
  curl_loop_done *done = transfer->done;
  void *owner = transfer->owner;
  DL_DELETE (cl->transfers, transfer);
  cl->running--;
  free (transfer);
  curl_easy_setopt (easy, CURLOPT_PRIVATE, NULL);
  done (owner, code, easy);
}

static struct curl_transfer *
transfer_of (CURL *easy)
{
  char *data = NULL;
  curl_easy_getinfo (easy, CURLINFO_PRIVATE, &data);
  return (struct curl_transfer *)data;
}

/* A `done` callback may start, cancel and thereby free other transfers, so
   each iteration reads libcurl's own queue, which drops removed handles. */
static void
complete_finished (struct curl_loop *cl)
{
  int remaining;
  const CURLMsg *message;
  while ((message = curl_multi_info_read (cl->multi, &remaining)) != NULL)
    {
      if (message->msg != CURLMSG_DONE)
        continue;
      const CURLcode code = message->data.result;
      struct curl_transfer *transfer = transfer_of (message->easy_handle);
      const bool cancelled = transfer->cancelled;
      remove_handle (cl, transfer);
      complete (cl, transfer, cancelled ? CURLE_ABORTED_BY_CALLBACK : code);
    }
}

static void
socket_action (struct curl_loop *cl, curl_socket_t fd, int events)
{
  int running;
  cl->depth++;
  curl_multi_socket_action (cl->multi, fd, events, &running);
  cl->depth--;
  complete_finished (cl);
}

static void
on_socket (struct ev_loop *loop, ev_io *io, int events)
{
  const struct curl_socket *socket = io->data;
  const int bits = ((events & EV_READ) ? CURL_CSELECT_IN : 0)
                   | ((events & EV_WRITE) ? CURL_CSELECT_OUT : 0);
  socket_action (socket->cl, io->fd, bits);
}

static void
set_timeout (struct curl_loop *cl, long timeout_ms)
{
  ev_timer_stop (cl->loop, &cl->timer);
  if (timeout_ms < 0)
    return;
  ev_timer_set (&cl->timer, (double)timeout_ms / MS_PER_SECOND, 0.);
  ev_timer_start (cl->loop, &cl->timer);
}

static void
on_timer (struct ev_loop *loop, ev_timer *timer, int events)
{
  socket_action (timer->data, CURL_SOCKET_TIMEOUT, 0);
}

static int
on_timeout_change (CURLM *multi, long timeout_ms, void *data)
{
  set_timeout (data, timeout_ms);
  return 0;
}

static void
remove_socket (struct curl_loop *cl, struct curl_socket *socket)
{
  ev_io_stop (cl->loop, &socket->io);
  DL_DELETE (cl->sockets, socket);
  free (socket);
}

static struct curl_socket *
create_socket (struct curl_loop *cl, curl_socket_t fd)
{
  struct curl_socket *socket = xcalloc (1, sizeof *socket);
  socket->cl = cl;
  ev_io_init (&socket->io, on_socket, fd, 0);
  socket->io.data = socket;
  DL_APPEND (cl->sockets, socket);
  curl_multi_assign (cl->multi, fd, socket);
  return socket;
}

static int
on_socket_change (CURL *easy, curl_socket_t fd, int what, void *data,
                  void *socket_data)
{
  struct curl_loop *cl = data;
  struct curl_socket *socket = socket_data;
  if (what == CURL_POLL_REMOVE)
    {
      if (socket != NULL)
        remove_socket (cl, socket);
      curl_multi_assign (cl->multi, fd, NULL);
      return 0;
    }
  if (socket == NULL)
    socket = create_socket (cl, fd);
  const int events = ((what & CURL_POLL_IN) ? EV_READ : 0)
                     | ((what & CURL_POLL_OUT) ? EV_WRITE : 0);
  ev_io_stop (cl->loop, &socket->io);
  ev_io_set (&socket->io, fd, events);
  ev_io_start (cl->loop, &socket->io);
  return 0;
}

static struct curl_transfer *
first_cancelled (const struct curl_loop *cl)
{
  struct curl_transfer *transfer;
  DL_FOREACH (cl->transfers, transfer)
  {
    if (transfer->cancelled)
      return transfer;
  }
  return NULL;
}

/* Runs operations that were deferred because libcurl forbids them in its
   callbacks.  A `done` callback may change the list, so each iteration starts
   at its head. */
static void
run_deferred (struct ev_loop *loop, ev_prepare *deferred, int events)
{
  struct curl_loop *cl = deferred->data;
  struct curl_transfer *transfer;
  while ((transfer = first_cancelled (cl)) != NULL)
    {
      remove_handle (cl, transfer);
      complete (cl, transfer, CURLE_ABORTED_BY_CALLBACK);
    }
  DL_FOREACH (cl->transfers, transfer)
  {
    if (!transfer->added)
      add_handle (cl, transfer);
  }
}

static int
on_socket_opened (void *data, curl_socket_t fd, curlsocktype purpose)
{
  struct curl_transfer *transfer = data;
  transfer->fd = fd;
  return CURL_SOCKOPT_OK;
}

static void
remove_connection (struct curl_loop *cl, struct curl_connection *connection)
{
  HASH_DELETE (by_key, cl->connections_by_key, connection);
  HASH_DELETE (by_fd, cl->connections_by_fd, connection);
  free (connection);
}

static int
on_socket_close (void *data, curl_socket_t fd)
{
  struct curl_loop *cl = data;
  struct curl_connection *connection;
  HASH_FIND (by_fd, cl->connections_by_fd, &fd, sizeof fd, connection);
  if (connection != NULL)
    remove_connection (cl, connection);
  return close (fd);
}

static struct curl_connection *
find_connection (const struct curl_loop *cl, uint64_t key)
{
  struct curl_connection *connection;
  HASH_FIND (by_key, cl->connections_by_key, &key, sizeof key, connection);
  return connection;
}

static struct curl_connection *
add_connection (struct curl_loop *cl, uint64_t key, int fd)
{
  struct curl_connection *connection = find_connection (cl, key);
  if (connection != NULL)
    remove_connection (cl, connection);
  connection = xcalloc (1, sizeof *connection);
  connection->key = key;
  connection->fd = fd;
  HASH_ADD (by_key, cl->connections_by_key, key, sizeof key, connection);
  HASH_ADD (by_fd, cl->connections_by_fd, fd, sizeof fd, connection);
  return connection;
}

bool
curl_loop_has_input (struct curl_loop *cl, CURL *easy,
                     const struct curl_loop_peer *peer)
{
  const struct curl_transfer *transfer = transfer_of (easy);
  const uint64_t ports = (uint64_t)peer->local_port << 16 | peer->remote_port;
  const uint64_t key = hash_pair (ports, hash_string (peer->remote_ip));
  const struct curl_connection *connection
      = transfer->fd >= 0 ? add_connection (cl, key, transfer->fd)
                          : find_connection (cl, key);
  char byte;
  return connection != NULL
         && recv (connection->fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT)
                > 0;
}

struct curl_loop *
curl_loop_create (struct ev_loop *loop,
                  const struct curl_loop_options *options)
{
  curl_global_init (CURL_GLOBAL_DEFAULT);
  struct curl_loop *cl = xcalloc (1, sizeof *cl);
  cl->loop = loop;
  cl->multi = curl_multi_init ();
  ev_timer_init (&cl->timer, on_timer, 0., 0.);
  cl->timer.data = cl;
  ev_prepare_init (&cl->deferred, run_deferred);
  cl->deferred.data = cl;
  curl_multi_setopt (cl->multi, CURLMOPT_SOCKETFUNCTION, on_socket_change);
  curl_multi_setopt (cl->multi, CURLMOPT_SOCKETDATA, cl);
  curl_multi_setopt (cl->multi, CURLMOPT_TIMERFUNCTION, on_timeout_change);
  curl_multi_setopt (cl->multi, CURLMOPT_TIMERDATA, cl);
  curl_multi_setopt (cl->multi, CURLMOPT_PIPELINING, (long)CURLPIPE_NOTHING);
  curl_multi_setopt (cl->multi, CURLMOPT_MAX_TOTAL_CONNECTIONS,
                     (long)options->connections_max);
  curl_multi_setopt (cl->multi, CURLMOPT_MAX_HOST_CONNECTIONS,
                     (long)options->connections_host_max);
  if (options->connections_idle_max > 0)
    curl_multi_setopt (cl->multi, CURLMOPT_MAXCONNECTS,
                       (long)options->connections_idle_max);
  return cl;
}

void
curl_loop_destroy (struct curl_loop *cl)
{
  if (cl == NULL)
    return;
  assert (cl->depth == 0);
  while (cl->transfers != NULL)
    {
      struct curl_transfer *transfer = cl->transfers;
      remove_handle (cl, transfer);
      complete (cl, transfer, CURLE_ABORTED_BY_CALLBACK);
    }
  cl->depth++;
  curl_multi_cleanup (cl->multi);
  while (cl->sockets != NULL)
    remove_socket (cl, cl->sockets);
  /* Closing its connections has removed them from the tables. */
  assert (cl->connections_by_fd == NULL);
  ev_timer_stop (cl->loop, &cl->timer);
  ev_clear_pending (cl->loop, &cl->deferred);
  free (cl);
  curl_global_cleanup ();
}

CURL *
curl_loop_create_easy (void)
{
  CURL *easy = curl_easy_init ();
  if (easy == NULL)
    abort ();
  curl_easy_setopt (easy, CURLOPT_NOSIGNAL, 1L);
  curl_easy_setopt (easy, CURLOPT_PROXY, "");
  curl_easy_setopt (easy, CURLOPT_NOPROXY, "*");
  curl_easy_setopt (easy, CURLOPT_FOLLOWLOCATION, 0L);
  curl_easy_setopt (easy, CURLOPT_PROTOCOLS_STR, "http");
  curl_easy_setopt (easy, CURLOPT_HTTP_VERSION, (long)CURL_HTTP_VERSION_1_1);
  return easy;
}

void
curl_loop_start (struct curl_loop *cl, CURL *easy, curl_loop_done *done,
                 void *owner)
{
  struct curl_transfer *transfer = xcalloc (1, sizeof *transfer);
  transfer->easy = easy;
  transfer->done = done;
  transfer->owner = owner;
  transfer->fd = -1;
  curl_easy_setopt (easy, CURLOPT_PRIVATE, transfer);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTFUNCTION, on_socket_opened);
  curl_easy_setopt (easy, CURLOPT_SOCKOPTDATA, transfer);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETFUNCTION, on_socket_close);
  curl_easy_setopt (easy, CURLOPT_CLOSESOCKETDATA, cl);
  DL_APPEND (cl->transfers, transfer);
  cl->running++;
  if (cl->depth == 0)
    add_handle (cl, transfer);
  else
    defer (cl);
}

void
curl_loop_cancel (struct curl_loop *cl, CURL *easy)
{
  struct curl_transfer *transfer = transfer_of (easy);
  assert (transfer != NULL);
  transfer->cancelled = true;
  if (cl->depth == 0)
    remove_handle (cl, transfer);
  defer (cl);
}

void
curl_loop_pause (struct curl_loop *cl, CURL *easy, int bitmask)
{
  cl->depth++;
  curl_easy_pause (easy, bitmask);
  cl->depth--;
}

uint32_t
curl_loop_running (const struct curl_loop *cl)
{
  return cl->running;
}
