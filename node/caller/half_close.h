/** @file
 * Callers that close their connection for writing only, and wait for the
 * response.
 *
 * A full close and a half-close begin with the same segment.  They differ in
 * what the peer's kernel does with data: it resets a connection that is
 * closed, and acknowledges the data on one that can still be read.  So the
 * host sends the interim response 100, which HTTP/1.1 callers skip (RFC
 * 9110, 15.2), and waits for the reset.  It repeats that until the response
 * begins, since a close that follows a half-close isn't announced by any
 * segment.
 */
#ifndef NODE_CALLER_HALF_CLOSE_H
#define NODE_CALLER_HALF_CLOSE_H

#include <stdbool.h>

#include <ev.h>

struct exchange;

/** Of one request; a member of its exchange. */
struct half_close
{
  ev_timer timer;
  bool was_asked;  /**< an interim response was sent */
  const char *why; /**< why the caller counts as gone; NULL: it doesn't */
};

void half_close_init (struct half_close *h, struct exchange *x);

/** The caller of X has ended its sending side; IS_RESET: the connection is
 * gone.  Marks X as disconnected unless the caller may wait for a response. */
void half_close_begin (struct exchange *x, bool is_reset);

/** The request ends; IS_ANSWERED: its response was written. */
void half_close_end (struct exchange *x, bool is_answered);

#endif
