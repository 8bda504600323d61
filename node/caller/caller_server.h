/** @file
 * The HTTP server that callers connect to.
 */
#ifndef NODE_CALLER_CALLER_SERVER_H
#define NODE_CALLER_CALLER_SERVER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/status.h"
#include "node/caller/caller_context.h"

struct caller_server;

/** Listen on the caller address of the settings and set `mhd_loop`, `hangup`
 * and `own_address` of CONTEXT.
 * @return NULL on failure, with a message */
struct caller_server *caller_server_create (struct caller_context *context);

/** Whether nearly all connections are in use, so that responses should close
 * theirs. */
bool caller_server_is_near_connection_limit (struct caller_server *server);

/** Connections that callers have open. */
uint32_t caller_server_connection_count (const struct caller_server *server);

/** From now on, close idle connections as soon as their callers don't use them
 * again, by the `Keep-Alive` that they got. */
void caller_server_begin_leaving (struct caller_server *server);

/** Accept no more connections; callers that connect are refused. */
void caller_server_stop_listening (struct caller_server *server);

/** Read the requests that the kernel has received. */
void caller_server_read_pending (struct caller_server *server);

/** Close all connections, which breaks off the requests in flight.  What was
 * written of responses is still delivered until caller_server_destroy(). */
void caller_server_close_connections (struct caller_server *server);

/** All connections are closed, by their callers too. */
bool caller_server_is_closed (const struct caller_server *server);

/** Close all connections and end what is still delivered. */
void caller_server_destroy (struct caller_server *server);

#endif
