/** @file
 * Callers' connections that this host has closed and whose callers haven't.
 *
 * Closing a socket while bytes of the peer are unread, or still on their way,
 * resets the connection: the kernel discards what it hasn't delivered of the
 * response.  A connection is therefore closed for writing only, and what the
 * caller still sends is read and discarded until the caller closes, or until
 * two seconds have passed in which nothing was delivered.
 */
#ifndef NODE_CALLER_LINGERING_CLOSE_H
#define NODE_CALLER_LINGERING_CLOSE_H

#include <stddef.h>
#include <stdint.h>

#include <ev.h>

#include "base/counters.h"

struct lingering_close;

/** @param max when there would be more than MAX connections, one with nothing
 * left to deliver is closed, or else the oldest one
 * @param count shows the number of connections */
struct lingering_close *lingering_close_create (struct ev_loop *loop,
                                                size_t max,
                                                struct counter *count);

/** Take over the connection FD, which the caller of this function closes next.
 * Nothing is done if the peer has closed, or if closing FD is meant to reset
 * the connection (SO_LINGER).
 * @param idle_ms how long it had no request, for the log */
void lingering_close_add (struct lingering_close *lingering, int fd,
                          int64_t idle_ms);

size_t lingering_close_count (const struct lingering_close *lingering);

/** Close all connections at once. */
void lingering_close_destroy (struct lingering_close *lingering);

#endif
