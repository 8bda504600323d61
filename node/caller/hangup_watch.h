/** @file
 * Tells when the other end of a connection goes away while nobody reads it.
 *
 * libmicrohttpd doesn't look at a suspended connection, so a caller that goes
 * away would be noticed only when its answer is written, and the work at the
 * target would go on for nobody.  An epoll set that asks for hang-ups only
 * sees it at once, also behind bytes that wait to be read, and never wakes
 * for those.
 */
#ifndef NODE_CALLER_HANGUP_WATCH_H
#define NODE_CALLER_HANGUP_WATCH_H

#include <ev.h>

struct hangup_watch;

/** The other end of WATCHED's connection is gone; told once. */
typedef void hangup_watch_fn (void *watched);

/** @return NULL on failure, with a message */
struct hangup_watch *hangup_watch_create (struct ev_loop *loop,
                                          hangup_watch_fn *gone);
void hangup_watch_destroy (struct hangup_watch *watch);

void hangup_watch_add (struct hangup_watch *watch, int fd, void *watched);
void hangup_watch_remove (struct hangup_watch *watch, int fd);

#endif
