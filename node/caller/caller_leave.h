/** @file
 * The way in which a host leaves its callers: it serves on while it may still
 * be listed, then takes no more connections, and closes those it has when
 * nothing is in flight.
 */
#ifndef NODE_CALLER_CALLER_LEAVE_H
#define NODE_CALLER_CALLER_LEAVE_H

#include "node/caller/caller_context.h"

struct caller_leave;

/** Called when all connections are closed. */
typedef void caller_leave_done (void *owner);

struct caller_leave *caller_leave_create (struct caller_context *context);

/** Set `leaving` of the context.  DONE is called with OWNER at the end. */
void caller_leave_begin (struct caller_leave *leave, caller_leave_done *done,
                         void *owner);

/** Don't wait for the time in which other hosts may list this one. */
void caller_leave_hurry (struct caller_leave *leave);

void caller_leave_destroy (struct caller_leave *leave);

#endif
