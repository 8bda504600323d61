/** @file
 * The connections that callers have open, and those that are to close because
 * they are idle.
 */
#ifndef NODE_CALLER_CALLER_CONNECTIONS_H
#define NODE_CALLER_CALLER_CONNECTIONS_H

#include <stddef.h>
#include <stdint.h>

#include <microhttpd.h>

struct caller_connections;

/** @param idle_s idle time in seconds after which connections close */
struct caller_connections *caller_connections_create (unsigned int idle_s);

/** CONNECTION was accepted; STATE is its socket context. */
void caller_connections_opened (struct caller_connections *connections,
                                struct MHD_Connection *connection,
                                void **state);
/** @return how long it had no request, in milliseconds */
int64_t caller_connections_closed (struct caller_connections *connections,
                                   void **state);

/** A request begins or has ended on CONNECTION. */
void caller_connections_request_begins (struct MHD_Connection *connection);
void caller_connections_request_ended (struct MHD_Connection *connection);

/** From now on, close connections that have no request for a second.  What
 * their callers have sent by then is read first. */
void caller_connections_close_idle (struct caller_connections *connections);

void caller_connections_destroy (struct caller_connections *connections);

#endif
