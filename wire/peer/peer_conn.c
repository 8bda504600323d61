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
  READ_BUFFER_BYTES = 64 * 1024,
  /** Reads per event, so that one peer can't block the event loop. */
  READS_PER_EVENT_MAX = 4,
};

enum stage
{
  STAGE_HELLO, /**< waiting for the peer's HELLO */
  STAGE_PROOF,
  STAGE_READY,
  STAGE_CLOSED,
};

struct peer_conn
{
  struct peer_conn_options options;
  struct ev_io reader;
  struct ev_io writer;
  struct ev_timer deadline; /**< handshake timeout, then idle timeout */
  enum stage stage;
  struct peer_hello own_hello;
  struct peer_hello peer_hello;
  struct peer_buffer in;
  struct peer_buffer out;
  struct peer_buffer queued; /**< frames queued before the handshake */
  bool in_callback;          /**< a callback is running */
  bool destroy_pending;      /**< destroy after the callback */
};

static void
close_socket (struct peer_conn *conn)
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
free_conn (struct peer_conn *conn)
{
  peer_buffer_release (&conn->in);
  peer_buffer_release (&conn->out);
  peer_buffer_release (&conn->queued);
  free (conn);
}

void
peer_conn_destroy (struct peer_conn *conn)
{
  if (conn == NULL)
    return;
  if (conn->stage != STAGE_CLOSED)
    close_socket (conn);
  if (conn->in_callback)
    conn->destroy_pending = true;
  else
    free_conn (conn);
}

/* Closes the connection; status_message() holds the reason. */
static void
close_with_callback (struct peer_conn *conn)
{
  if (conn->stage == STAGE_CLOSED)
    return;
  close_socket (conn);
  conn->options.events->closed (conn->options.owner, conn);
}

/* Closes the connection because of invalid input, which is counted and logged
   separately from network failures. */
static void
reject (struct peer_conn *conn)
{
  conn->options.identity->traffic.refused++;
  LOG_WARN ("connection-refused", LOG_STR ("host", conn->peer_hello.name),
            LOG_STR ("why", status_message ()));
  close_with_callback (conn);
}

static void
send_queued (struct peer_conn *conn)
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
          status_errno ("can't send to host %s", conn->peer_hello.name);
          close_with_callback (conn);
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
append_message (struct peer_conn *conn, struct peer_buffer *buffer,
                const struct peer_message *message)
{
  size_t size;
  char *bytes = peer_message_encode (message, &size);
  frame_append (buffer, bytes, size);
  free (bytes);
  conn->options.identity->traffic.frames_out++;
}

/* A send error closes the connection only later, in write_cb(), so that no
   callback runs while the caller still uses the pointer. */
enum status
peer_conn_send (struct peer_conn *conn, const struct peer_message *message)
{
  if (conn->stage == STAGE_CLOSED)
    return status_set (STATUS_UNREACHABLE, "the connection is closed");
  struct peer_buffer *buffer
      = conn->stage == STAGE_READY ? &conn->out : &conn->queued;
  if (peer_buffer_size (buffer) > PEER_QUEUE_MAX_BYTES)
    return status_set (
        STATUS_LIMIT,
        "more than %d bytes are queued for host %s; check for a "
        "slow link",
        PEER_QUEUE_MAX_BYTES, conn->peer_hello.name);
  append_message (conn, buffer, message);
  if (conn->stage == STAGE_READY)
    ev_io_start (conn->options.loop, &conn->writer);
  return STATUS_OK;
}

static void
handle_hello (struct peer_conn *conn, const struct peer_hello *hello)
{
  conn->peer_hello = *hello;
  conn->stage = STAGE_PROOF;
  struct peer_message message = { .type = PEER_PROOF };
  peer_auth_compute_proof (&conn->options.identity->secret,
                           conn->options.is_client, &conn->own_hello,
                           &conn->peer_hello, &message.proof);
  append_message (conn, &conn->out, &message);
  ev_io_start (conn->options.loop, &conn->writer);
}

static void
restart_idle_timer (struct peer_conn *conn)
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
                              !conn->options.is_client, &conn->peer_hello,
                              &conn->own_hello, proof)
      != STATUS_OK)
    {
      reject (conn);
      return;
    }
  conn->stage = STAGE_READY;
  ev_timer_stop (conn->options.loop, &conn->deadline);
  restart_idle_timer (conn);
  if (peer_buffer_size (&conn->queued) > 0)
    {
      peer_buffer_append (&conn->out, conn->queued.bytes + conn->queued.begin,
                          peer_buffer_size (&conn->queued));
      peer_buffer_release (&conn->queued);
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
      restart_idle_timer (conn);
      conn->options.events->message (conn->options.owner, conn, message);
    }
  else
    {
      status_set (STATUS_INVALID,
                  "unexpected message %s in this state of the connection",
                  peer_type_name (message->type));
      reject (conn);
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
          reject (conn);
          return;
        }
      conn->options.identity->traffic.frames_in++;
      peer_buffer_consume (&conn->in, FRAME_HEADER_BYTES + size);
      dispatch (conn, &message);
      peer_message_release (&message);
    }
}

/* Reads once and handles the complete frames.
   @return false if no more can be read now. */
static bool
read_some (struct peer_conn *conn)
{
  static char bytes[READ_BUFFER_BYTES];
  const ssize_t received
      = recv (conn->options.fd, bytes, sizeof bytes, MSG_DONTWAIT);
  if (received < 0 && (errno == EAGAIN || errno == EINTR))
    return false;
  if (received <= 0)
    {
      if (received == 0)
        status_set (STATUS_UNREACHABLE, "host %s closed the connection",
                    conn->peer_hello.name);
      else
        status_errno ("can't receive from host %s", conn->peer_hello.name);
      close_with_callback (conn);
      return false;
    }
  conn->options.identity->traffic.bytes_in += received;
  peer_buffer_append (&conn->in, bytes, (size_t)received);
  handle_frames (conn);
  return conn->stage != STAGE_CLOSED && (size_t)received == sizeof bytes;
}

static void
leave_callback (struct peer_conn *conn)
{
  conn->in_callback = false;
  if (conn->destroy_pending)
    free_conn (conn);
}

static void
read_cb (struct ev_loop *loop, struct ev_io *watcher, int events)
{
  struct peer_conn *conn = watcher->data;
  conn->in_callback = true;
  for (int i = 0; i < READS_PER_EVENT_MAX; i++)
    if (!read_some (conn))
      break;
  leave_callback (conn);
}

static void
write_cb (struct ev_loop *loop, struct ev_io *watcher, int events)
{
  struct peer_conn *conn = watcher->data;
  conn->in_callback = true;
  send_queued (conn);
  leave_callback (conn);
}

static void
deadline_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct peer_conn *conn = watcher->data;
  conn->in_callback = true;
  status_set (STATUS_TIMEOUT, "no message from host %s within the timeout",
              conn->peer_hello.name);
  close_with_callback (conn);
  leave_callback (conn);
}

struct peer_conn *
peer_conn_create (const struct peer_conn_options *options)
{
  assert (options->fd >= 0);
  struct peer_conn *conn = xcalloc (1, sizeof *conn);
  conn->options = *options;
  conn->own_hello = options->identity->hello;
  rng_secure_bytes (conn->own_hello.nonce, sizeof conn->own_hello.nonce);
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
      = { .type = PEER_HELLO, .hello = conn->own_hello };
  append_message (conn, &conn->out, &message);
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
  return &conn->peer_hello;
}
