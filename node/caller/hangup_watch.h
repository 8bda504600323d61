/** @file
 * Reports when the peer of a connection closes it, or only its sending side,
 * while nobody reads from it.
 *
 * libmicrohttpd doesn't poll a suspended connection, so a caller that
 * disconnects would be noticed only when its response is written, and the
 * target would work on a response that nobody receives.  An epoll set that
 * requests only EPOLLRDHUP reports it at once, even behind unread bytes, and
 * is never woken by those.
 */
#ifndef NODE_CALLER_HANGUP_WATCH_H
#define NODE_CALLER_HANGUP_WATCH_H

#include <stdbool.h>

#include <ev.h>

struct hangup_watch;

/** Called once when the peer of WATCHED's connection has ended its sending
 * side.  IS_RESET: the connection is gone in both directions. */
typedef void hangup_watch_fn (void *watched, bool is_reset);

/** @return NULL on failure, with a status message */
struct hangup_watch *hangup_watch_create (struct ev_loop *loop,
                                          hangup_watch_fn *on_hangup);
void hangup_watch_destroy (struct hangup_watch *watch);

void hangup_watch_add (struct hangup_watch *watch, int fd, void *watched);
/** After a report that wasn't a reset: report the reset, if one follows. */
void hangup_watch_await_reset (struct hangup_watch *watch, int fd,
                               void *watched);
void hangup_watch_remove (struct hangup_watch *watch, int fd);

#endif
