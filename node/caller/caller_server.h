/** @file
 * The HTTP server that callers connect to.
 */
#ifndef NODE_CALLER_CALLER_SERVER_H
#define NODE_CALLER_CALLER_SERVER_H

#include <stdbool.h>

#include "base/status.h"
#include "node/caller/caller_context.h"

struct caller_server;

/** Listen on the caller address of the settings; fills the context's
 * `mhd_loop`, `hangup` and `own_address`.
 * @return NULL on failure, with a message */
struct caller_server *caller_server_create (struct caller_context *context);

/** Are nearly all connections taken, so that answers should close theirs? */
bool caller_server_is_near_connection_limit (struct caller_server *server);

/** Close all connections; what is in flight is cut. */
void caller_server_destroy (struct caller_server *server);

#endif
