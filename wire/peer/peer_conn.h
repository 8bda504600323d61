/** @file
 * One connection between two hosts, from either side: handshake, frames and
 * a bounded queue of what is to be sent.
 */
#ifndef WIRE_PEER_PEER_CONN_H
#define WIRE_PEER_PEER_CONN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "base/status.h"
#include "wire/peer/peer_auth.h"
#include "wire/peer/peer_message.h"

enum peer_conn_limit
{
  /** Most bytes queued on one connection. */
  PEER_QUEUE_MAX_BYTES = 4 * 1024 * 1024,
  PEER_HANDSHAKE_TIMEOUT_MS = 5000,
};

/** Bytes and frames over all connections of a host. */
struct peer_traffic
{
  int64_t bytes_in;
  int64_t bytes_out;
  int64_t frames_in;
  int64_t frames_out;
  int64_t refused; /**< connections closed for what they sent */
};

/** Who this host is, for all its connections. */
struct peer_identity
{
  struct peer_hello hello; /**< its nonce isn't used */
  struct peer_secret secret;
  struct peer_traffic traffic;
};

struct peer_conn;

/** What the owner of a connection is told. */
struct peer_conn_events
{
  /** The handshake is done: peer_conn_hello() tells who it is. */
  void (*ready) (void *owner, struct peer_conn *conn);
  void (*message) (void *owner, struct peer_conn *conn,
                   const struct peer_message *message);
  /** It is over; status_message() says why.  Destroy it. */
  void (*closed) (void *owner, struct peer_conn *conn);
};

struct peer_conn_options
{
  struct ev_loop *loop;
  struct peer_identity *identity;
  const struct peer_conn_events *events;
  void *owner;
  int fd;         /**< non-blocking; becomes the connection's */
  bool is_client; /**< opened by this side */
  uint32_t
      idle_timeout_ms; /**< closed after so long without a frame; 0: never */
};

struct peer_conn *peer_conn_create (const struct peer_conn_options *options);
/** Close it at once, without a callback; what is queued is dropped.  May be
 * called from its own callbacks. */
void peer_conn_destroy (struct peer_conn *conn);

/** Queue MESSAGE; before the handshake is done it waits for that.
 * STATUS_LIMIT: the queue is full. */
enum status peer_conn_send (struct peer_conn *conn,
                            const struct peer_message *message);

bool peer_conn_is_ready (const struct peer_conn *conn);
/** Who is at the other end, once ready. */
const struct peer_hello *peer_conn_hello (const struct peer_conn *conn);

#endif
