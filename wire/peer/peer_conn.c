#define LOG_MODULE "peer"

#include "wire/peer/peer_conn.h"

#include <assert.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/log.h"
#include "base/rng.h"
#include "base/xmalloc.h"
#include "wire/peer/frame.h"
#include "wire/peer/peer_buffer.h"

enum
{
  READ_BYTES = 64 * 1024,
  /** Reads per wake-up, so that one peer can't hold up the loop. */
  READS_MAX = 4,
};

enum stage
{
  STAGE_HELLO, /**< waiting for the other's HELLO */
  STAGE_PROOF,
  STAGE_READY,
  STAGE_CLOSED,
};

struct peer_conn
{
  struct peer_conn_options options;
  struct ev_io reader;
  struct ev_io writer;
  struct ev_timer deadline; /**< of the handshake, then of idleness */
  enum stage stage;
  struct peer_hello own;
  struct peer_hello other;
  struct peer_buffer in;
  struct peer_buffer out;
  struct peer_buffer waiting; /**< frames queued before the handshake */
  bool is_busy;               /**< in its own callbacks */
  bool is_doomed;             /**< destroyed while busy */
};

static void
stop (struct peer_conn *conn)
{
  ev_io_stop (conn->options.loop, &conn->reader);
  ev_io_stop (conn->options.loop, &conn->writer);
  ev_timer_stop (conn->options.loop, &conn->deadline);
  if (conn->options.fd >= 0)
    close (conn->options.fd);
  conn->options.fd = -1;
  conn->stage = STAGE_CLOSED;
}

static void
release (struct peer_conn *conn)
{
  peer_buffer_release (&conn->in);
  peer_buffer_release (&conn->out);
  peer_buffer_release (&conn->waiting);
  free (conn);
}

void
peer_conn_destroy (struct peer_conn *conn)
{
  if (conn == NULL)
    return;
  if (conn->stage != STAGE_CLOSED)
    stop (conn);
  if (conn->is_busy)
    conn->is_doomed = true;
  else
    release (conn);
}

/* The connection is over; status_message() says why. */
static void
fail (struct peer_conn *conn)
{
  if (conn->stage == STAGE_CLOSED)
    return;
  stop (conn);
  conn->options.events->closed (conn->options.owner, conn);
}

/* What came isn't what a peer sends: told apart from a broken network. */
static void
refuse (struct peer_conn *conn)
{
  conn->options.identity->traffic.refused++;
  LOG_WARN ("connection-refused", LOG_STR ("host", conn->other.name),
            LOG_STR ("why", status_message ()));
  fail (conn);
}

static void
flush (struct peer_conn *conn)
{
  struct peer_buffer *out = &conn->out;
  while (peer_buffer_size (out) > 0)
    {
      const ssize_t sent
          = send (conn->options.fd, out->bytes + out->begin,
                  peer_buffer_size (out), MSG_NOSIGNAL | MSG_DONTWAIT);
      if (sent < 0 && errno == EINTR)
        continue;
      if (sent < 0 && (errno == EAGAIN || errno == ENOTCONN))
        break;
      if (sent < 0)
        {
          status_errno ("sending to host %s", conn->other.name);
          fail (conn);
          return;
        }
      conn->options.identity->traffic.bytes_out += sent;
      peer_buffer_consume (out, (size_t)sent);
    }
  if (peer_buffer_size (out) > 0)
    ev_io_start (conn->options.loop, &conn->writer);
  else
    ev_io_stop (conn->options.loop, &conn->writer);
}

static void
queue (struct peer_conn *conn, struct peer_buffer *buffer,
       const struct peer_message *message)
{
  size_t size;
  char *bytes = peer_message_encode (message, &size);
  frame_append (buffer, bytes, size);
  free (bytes);
  conn->options.identity->traffic.frames_out++;
}

/* Sending never fails the connection from within: the writer does it from
   the loop, so that no callback comes while the caller holds the pointer. */
enum status
peer_conn_send (struct peer_conn *conn, const struct peer_message *message)
{
  if (conn->stage == STAGE_CLOSED)
    return status_set (STATUS_UNREACHABLE, "the connection is closed");
  struct peer_buffer *buffer
      = conn->stage == STAGE_READY ? &conn->out : &conn->waiting;
  if (peer_buffer_size (buffer) > PEER_QUEUE_MAX_BYTES)
    return status_set (STATUS_LIMIT,
                       "%d bytes wait for host %s already; is the link slow?",
                       PEER_QUEUE_MAX_BYTES, conn->other.name);
  queue (conn, buffer, message);
  if (conn->stage == STAGE_READY)
    ev_io_start (conn->options.loop, &conn->writer);
  return STATUS_OK;
}

static void
handle_hello (struct peer_conn *conn, const struct peer_hello *hello)
{
  conn->other = *hello;
  conn->stage = STAGE_PROOF;
  struct peer_message message = { .type = PEER_PROOF };
  peer_auth_compute_proof (&conn->options.identity->secret,
                           conn->options.is_client, &conn->own, &conn->other,
                           &message.proof);
  queue (conn, &conn->out, &message);
  ev_io_start (conn->options.loop, &conn->writer);
}

static void
restart_idle (struct peer_conn *conn)
{
  if (conn->options.idle_timeout_ms == 0)
    return;
  conn->deadline.repeat = conn->options.idle_timeout_ms / 1000.0;
  ev_timer_again (conn->options.loop, &conn->deadline);
}

static void
handle_proof (struct peer_conn *conn, const struct peer_proof *proof)
{
  if (peer_auth_verify_proof (&conn->options.identity->secret,
                              !conn->options.is_client, &conn->other,
                              &conn->own, proof)
      != STATUS_OK)
    {
      refuse (conn);
      return;
    }
  conn->stage = STAGE_READY;
  ev_timer_stop (conn->options.loop, &conn->deadline);
  restart_idle (conn);
  if (peer_buffer_size (&conn->waiting) > 0)
    {
      peer_buffer_append (&conn->out,
                          conn->waiting.bytes + conn->waiting.begin,
                          peer_buffer_size (&conn->waiting));
      peer_buffer_release (&conn->waiting);
      ev_io_start (conn->options.loop, &conn->writer);
    }
  conn->options.events->ready (conn->options.owner, conn);
}

static void
dispatch (struct peer_conn *conn, const struct peer_message *message)
{
  const bool is_handshake
      = message->type == PEER_HELLO || message->type == PEER_PROOF;
  if (conn->stage == STAGE_HELLO && message->type == PEER_HELLO)
    handle_hello (conn, &message->hello);
  else if (conn->stage == STAGE_PROOF && message->type == PEER_PROOF)
    handle_proof (conn, &message->proof);
  else if (conn->stage == STAGE_READY && !is_handshake)
    {
      restart_idle (conn);
      conn->options.events->message (conn->options.owner, conn, message);
    }
  else
    {
      status_set (STATUS_INVALID, "message %s came out of its order",
                  peer_type_name (message->type));
      refuse (conn);
    }
}

static void
handle_frames (struct peer_conn *conn)
{
  const char *payload;
  size_t size;
  while (conn->stage != STAGE_CLOSED)
    {
      const enum status status = frame_peek (&conn->in, &payload, &size);
      if (status == STATUS_NOT_FOUND)
        return;
      struct peer_message message;
      if (status != STATUS_OK
          || peer_message_decode (payload, size, &message) != STATUS_OK)
        {
          refuse (conn);
          return;
        }
      conn->options.identity->traffic.frames_in++;
      peer_buffer_consume (&conn->in, FRAME_HEADER_BYTES + size);
      dispatch (conn, &message);
      peer_message_release (&message);
    }
}

/* Read once.
   @return false when there is nothing more to read now. */
static bool
read_some (struct peer_conn *conn)
{
  static char bytes[READ_BYTES];
  const ssize_t got
      = recv (conn->options.fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (got < 0 && (errno == EAGAIN || errno == EINTR))
    return false;
  if (got <= 0)
    {
      if (got == 0)
        status_set (STATUS_UNREACHABLE, "host %s closed the connection",
                    conn->other.name);
      else
        status_errno ("receiving from host %s", conn->other.name);
      fail (conn);
      return false;
    }
  conn->options.identity->traffic.bytes_in += got;
  peer_buffer_append (&conn->in, bytes, (size_t)got);
  handle_frames (conn);
  return conn->stage != STAGE_CLOSED && (size_t)got == sizeof bytes;
}

static void
leave (struct peer_conn *conn)
{
  conn->is_busy = false;
  if (conn->is_doomed)
    release (conn);
}

static void
read_cb (struct ev_loop *loop, struct ev_io *watcher, int events)
{
  struct peer_conn *conn = watcher->data;
  conn->is_busy = true;
  for (int i = 0; i < READS_MAX; i++)
    if (!read_some (conn))
      break;
  leave (conn);
}

static void
write_cb (struct ev_loop *loop, struct ev_io *watcher, int events)
{
  struct peer_conn *conn = watcher->data;
  conn->is_busy = true;
  flush (conn);
  leave (conn);
}

static void
deadline_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct peer_conn *conn = watcher->data;
  conn->is_busy = true;
  status_set (STATUS_TIMEOUT, "host %s said nothing in time",
              conn->other.name);
  fail (conn);
  leave (conn);
}

struct peer_conn *
peer_conn_create (const struct peer_conn_options *options)
{
  assert (options->fd >= 0);
  struct peer_conn *conn = xcalloc (1, sizeof *conn);
  conn->options = *options;
  conn->own = options->identity->hello;
  rng_secure_bytes (conn->own.nonce, sizeof conn->own.nonce);
  ev_io_init (&conn->reader, read_cb, options->fd, EV_READ);
  ev_io_init (&conn->writer, write_cb, options->fd, EV_WRITE);
  ev_timer_init (&conn->deadline, deadline_cb,
                 PEER_HANDSHAKE_TIMEOUT_MS / 1000.0, 0);
  conn->reader.data = conn;
  conn->writer.data = conn;
  conn->deadline.data = conn;
  ev_io_start (options->loop, &conn->reader);
  ev_io_start (options->loop, &conn->writer);
  ev_timer_start (options->loop, &conn->deadline);
  const struct peer_message message
      = { .type = PEER_HELLO, .hello = conn->own };
  queue (conn, &conn->out, &message);
  return conn;
}

bool
peer_conn_is_ready (const struct peer_conn *conn)
{
  return conn->stage == STAGE_READY;
}

const struct peer_hello *
peer_conn_hello (const struct peer_conn *conn)
{
  return &conn->other;
}
