/** @file
 * A connection between two hosts, opened by either side: handshake, framing
 * and a bounded send queue.
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
  /** Maximum size of a send queue. */
  PEER_QUEUE_MAX_BYTES = 4 * 1024 * 1024,
  PEER_HANDSHAKE_TIMEOUT_MS = 5000,
};

/** Totals over all connections of a host. */
struct peer_traffic
{
  int64_t bytes_in;
  int64_t bytes_out;
  int64_t frames_in;
  int64_t frames_out;
  int64_t refused; /**< connections closed because of invalid input */
};

/** Identity of this host, shared by its connections. */
struct peer_identity
{
  struct peer_hello hello; /**< the nonce is unused */
  struct peer_secret secret;
  struct peer_traffic traffic;
};

struct peer_conn;

/** Callbacks to the owner of a connection. */
struct peer_conn_events
{
  /** The handshake is complete; peer_conn_hello() returns the peer's HELLO. */
  void (*ready) (void *owner, struct peer_conn *conn);
  void (*message) (void *owner, struct peer_conn *conn,
                   const struct peer_message *message);
  /** The connection is closed; status_message() holds the reason.  The owner
   * must destroy it. */
  void (*closed) (void *owner, struct peer_conn *conn);
};

struct peer_conn_options
{
  struct ev_loop *loop;
  struct peer_identity *identity;
  const struct peer_conn_events *events;
  void *owner;
  int fd;                   /**< non-blocking; owned by the connection */
  bool is_client;           /**< opened by this side */
  uint32_t idle_timeout_ms; /**< without a frame; 0: none */
};

struct peer_conn *peer_conn_create (const struct peer_conn_options *options);
/** Close the connection without a callback and discard its queue.  May be
 * called from its own callbacks. */
void peer_conn_destroy (struct peer_conn *conn);

/** Queue MESSAGE, which is sent once the handshake is complete.
 * @return STATUS_LIMIT if the queue is full, STATUS_UNREACHABLE if the
 * connection is closed. */
enum status peer_conn_send (struct peer_conn *conn,
                            const struct peer_message *message);

bool peer_conn_is_ready (const struct peer_conn *conn);
/** The peer's HELLO, once ready. */
const struct peer_hello *peer_conn_hello (const struct peer_conn *conn);

#endif
