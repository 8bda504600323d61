/** @file
 * The open connections of an HTTP server, and the end of those that are idle.
 *
 * libmicrohttpd looks at its timeouts before it reads, so that it closes a
 * connection on which a request has come while the process wasn't scheduled.
 * Its timeout is therefore off while a connection has no request.  One that
 * has been idle for too long is shut down for reading: the library reads what
 * the kernel has received by then, and closes it behind that.  If a response
 * isn't delivered yet, the connection has to be read until its peer closes;
 * it gets a short timeout, which is taken back when something is received.
 */
#ifndef NODE_HTTP_CONNECTIONS_H
#define NODE_HTTP_CONNECTIONS_H

#include <stdbool.h>
#include <stdint.h>

#include <ev.h>
#include <microhttpd.h>

#include "node/mhd_loop.h"

struct http_connections;

struct http_connections_options
{
  struct ev_loop *loop;
  /** Connections without a request close after this time, or up to a second
   * later. */
  int64_t idle_ms;
  /** Connections whose request or response makes no progress for this time
   * are closed, by twice the time at the latest. */
  unsigned int progress_s;
};

/** How a connection ended. */
struct http_connection_end
{
  int64_t idle_ms; /**< how long it had no request */
  bool is_idle;    /**< it is closed for that reason, not behind a response */
};

struct http_connections *
http_connections_create (const struct http_connections_options *options);
void http_connections_destroy (struct http_connections *connections);

/** What drives the server asks these; NULL for NULL. */
struct mhd_connections *
http_connections_for_loop (struct http_connections *connections);

/** CONNECTION was accepted; STATE is its socket context. */
void http_connections_opened (struct http_connections *connections,
                              struct MHD_Connection *connection, void **state);
struct http_connection_end
http_connections_closed (struct http_connections *connections, void **state);

/** A request begins or has ended on CONNECTION. */
void http_connections_request_begins (struct MHD_Connection *connection);
void http_connections_request_ended (struct MHD_Connection *connection);

/** CONNECTION ends behind its request: no more is read from it, so that its
 * peer seems to have closed it. */
bool http_connections_is_ending (struct MHD_Connection *connection);

/** Change the idle time, of connections that are open too. */
void http_connections_set_idle_ms (struct http_connections *connections,
                                   int64_t idle_ms);

/** Callbacks for a server that keeps no state of its own for a connection or
 * a request line: MHD_OPTION_NOTIFY_CONNECTION, whose argument is the
 * `struct http_connections *`, and MHD_OPTION_URI_LOG_CALLBACK. */
void http_connections_on_event (void *connections,
                                struct MHD_Connection *connection,
                                void **state,
                                enum MHD_ConnectionNotificationCode code);
void *http_connections_on_request_line (void *owner, const char *uri,
                                        struct MHD_Connection *connection);

/** All connections are closed next. */
void http_connections_begin_stop (struct http_connections *connections);

#endif
