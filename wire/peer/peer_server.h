/** @file
 * The listener for connections that other hosts open.
 */
#ifndef WIRE_PEER_PEER_SERVER_H
#define WIRE_PEER_PEER_SERVER_H

#include <stdint.h>

#include <ev.h>

#include "wire/peer/peer_conn.h"

struct peer_server;

enum peer_server_limit
{
  /** Most connections accepted at once. */
  PEER_SERVER_CONNECTIONS_MAX = 1024,
};

struct peer_server_options
{
  struct ev_loop *loop;
  struct peer_identity *identity;
  /** `message` and `ready` of accepted connections; `closed` is told after
   * the last message and needs no destroying.  May be NULL each. */
  const struct peer_conn_events *events;
  void *owner;
  const char *address; /**< IP:PORT to listen on */
  uint32_t idle_timeout_ms;
};

enum status peer_server_create (const struct peer_server_options *options,
                                struct peer_server **server);
void peer_server_destroy (struct peer_server *server);

/** The port listened on, for tests that ask for port 0. */
uint16_t peer_server_port (const struct peer_server *server);

#endif
