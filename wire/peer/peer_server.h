/** @file
 * Listener for connections that other hosts open.
 */
#ifndef WIRE_PEER_PEER_SERVER_H
#define WIRE_PEER_PEER_SERVER_H

#include <stdint.h>

#include <ev.h>

#include "wire/peer/peer_conn.h"

struct peer_server;

enum peer_server_limit
{
  /** Maximum number of open connections. */
  PEER_SERVER_CONNECTIONS_MAX = 1024,
};

struct peer_server_options
{
  struct ev_loop *loop;
  struct peer_identity *identity;
  /** Callbacks of accepted connections.  `ready` and `closed` may be NULL.
   * After `closed` the server itself destroys the connection. */
  const struct peer_conn_events *events;
  void *owner;
  const char *address; /**< IP:PORT to listen on */
  uint32_t idle_timeout_ms;
};

enum status peer_server_create (const struct peer_server_options *options,
                                struct peer_server **server);
void peer_server_destroy (struct peer_server *server);

/** Port that the server listens on, for tests that use port 0. */
uint16_t peer_server_port (const struct peer_server *server);

#endif
