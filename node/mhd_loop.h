/** @file
 * An HTTP server of libmicrohttpd driven by a libev loop.
 *
 * The daemon is started with MHD_USE_EPOLL and without a thread of its own
 * (add MHD_ALLOW_SUSPEND_RESUME where connections are suspended).  Its epoll
 * descriptor is watched by the loop and its timeouts become a timer, so that
 * all of its callbacks run on the loop.
 */
#ifndef NODE_MHD_LOOP_H
#define NODE_MHD_LOOP_H

#include <stdint.h>
#include <sys/socket.h>

#include <ev.h>
#include <microhttpd.h>

#include "base/status.h"

struct mhd_loop;

/** Watch DAEMON on LOOP.
 * @return NULL when the daemon has no epoll descriptor of its own; the
 * message says which flags are missing. */
struct mhd_loop *mhd_loop_create (struct ev_loop *loop,
                                  struct MHD_Daemon *daemon);

/** Stop watching; call it before MHD_stop_daemon(). NULL does nothing. */
void mhd_loop_destroy (struct mhd_loop *mhd_loop);

/** Let the daemon go on after MHD_resume_connection() or a response queued
 * outside its callbacks.  Runs it from the loop, never from here, so it may be
 * called within the daemon's callbacks. */
void mhd_loop_wake (struct mhd_loop *mhd_loop);

/** The port that DAEMON listens on, for one bound to port 0; 0 on failure. */
uint16_t mhd_loop_bound_port (struct MHD_Daemon *daemon);

/** The numeric ADDRESS (`IP:PORT` or `[IP6]:PORT`) as a socket address.
 * @return its size in bytes; 0 when it can't be understood. */
socklen_t mhd_loop_parse_address (const char *address,
                                  struct sockaddr_storage *storage);

#endif
