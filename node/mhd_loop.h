/** @file
 * Drives an HTTP server of libmicrohttpd from a libev loop.
 *
 * The daemon is started with MHD_USE_EPOLL and without a thread of its own
 * (add MHD_ALLOW_SUSPEND_RESUME if connections are suspended).  The loop
 * watches its epoll descriptor and a timer implements its timeouts, so that
 * all of its callbacks run on the loop.
 */
#ifndef NODE_MHD_LOOP_H
#define NODE_MHD_LOOP_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/socket.h>

#include <ev.h>
#include <microhttpd.h>

#include "base/status.h"

struct mhd_loop;
struct mhd_connections;

/** What the loop asks of the module that keeps a daemon's connections. */
struct mhd_connections_ops
{
  /** The library runs next. */
  void (*before_run) (struct mhd_connections *connections);
  /** Whether the kernel has received something on a connection. */
  bool (*have_unread) (const struct mhd_connections *connections);
  /** Call CHANGED with OWNER when a timeout was set outside the library's
   * callbacks, so that the library is asked for its next timeout; NULL: don't
   * any more. */
  void (*notify) (struct mhd_connections *connections,
                  void (*changed) (void *owner), void *owner);
};

/** First member of that module's state. */
struct mhd_connections
{
  const struct mhd_connections_ops *ops;
};

/** Drive DAEMON from LOOP.
 * @param connections those of the daemon; may be NULL
 * @return NULL if the daemon has no epoll descriptor of its own; the message
 * names the missing flags. */
struct mhd_loop *mhd_loop_create (struct ev_loop *loop,
                                  struct MHD_Daemon *daemon,
                                  struct mhd_connections *connections);

/** Stop driving the daemon; call it before MHD_stop_daemon().  NULL is
 * ignored. */
void mhd_loop_destroy (struct mhd_loop *mhd_loop);

/** Schedule a run of the daemon, after MHD_resume_connection() or a response
 * queued outside its callbacks.  It runs from the loop, never from within this
 * call, so this may be called in the daemon's callbacks. */
void mhd_loop_wake (struct mhd_loop *mhd_loop);

/** Let the daemon do what is pending now.  Not to be called from a callback of
 * the daemon. */
void mhd_loop_run (struct mhd_loop *mhd_loop);

/** Run the daemon while requests have come that it hasn't read.  Called before
 * all connections are closed. */
void mhd_loop_read_pending (struct mhd_loop *mhd_loop);

/** Let the daemon accept the connections that the kernel has accepted, which
 * would be reset with the listening socket.  Called before that closes. */
void mhd_loop_accept_pending (struct mhd_loop *mhd_loop);

/** The port that DAEMON listens on, also if it was bound to port 0; 0 on
 * failure. */
uint16_t mhd_loop_bound_port (struct MHD_Daemon *daemon);

/** Parse the numeric ADDRESS (`IP:PORT` or `[IP6]:PORT`) into STORAGE.
 * @return the size of the socket address in bytes; 0 if ADDRESS is invalid. */
socklen_t mhd_loop_parse_address (const char *address,
                                  struct sockaddr_storage *storage);

#endif
