/** @file
 * Detection of target crashes after a connection broke during a request.
 *
 * A broken connection alone doesn't indicate a crash: the target may have
 * closed that connection only, or the network may have failed.  The check
 * opens another connection to the target.  If it is refused, nothing listens
 * on the target's address any more and the target is reported as crashed; an
 * accepted connection or a timeout is not reported.
 */
#ifndef NODE_CALLER_CRASH_CHECK_H
#define NODE_CALLER_CRASH_CHECK_H

#include "node/caller/exchange.h"

struct crash_checks;

struct crash_checks *crash_checks_create (struct caller_context *context);
/** CHECKS may be NULL. */
void crash_checks_destroy (struct crash_checks *checks);

/** Check the target of X's attempt, whose connection broke.  Requests that
 * break while a check of the same target is in progress are added to that
 * check. `X->attempt` must still identify the target. */
void crash_checks_add (struct crash_checks *checks, const struct exchange *x);

#endif
