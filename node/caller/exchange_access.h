/** @file
 * Checks the key of a request and whether the known keys are up to date.
 *
 * The order of all checks before the first attempt, with its reasons:
 *
 * 1. The route and the deadline, since the route decides whether a key is
 * needed.  Unauthorized callers can learn from this which paths have routes;
 * otherwise an open route couldn't be told from a missing one.
 *
 * 2. Whether the configuration is fresh enough to accept or reject any key.
 * It precedes the key, since an unknown key may be a new one.
 *
 * 3. The key: one digest and one table lookup, the cheapest way to handle a
 * flood of bad keys.
 *
 * 4. The size limits and the check for poison requests, which need no other
 * host.
 *
 * 5. The quota, after these, so that a request that is refused for another
 * reason costs the workspace nothing.  If the request is refused later and has
 * certainly not run, its token is returned.
 *
 * 6. The ticket of an unrepeatable request, which may be relayed to the host
 * that issued it.
 */
#ifndef NODE_CALLER_EXCHANGE_ACCESS_H
#define NODE_CALLER_EXCHANGE_ACCESS_H

#include <stdbool.h>

#include "node/caller/exchange.h"

/** Remove the key from X's header fields and find its workspace, if the route
 * needs one.
 * @return false if X was refused or waits for a freshness proof */
bool exchange_access_check (struct exchange *x);

/** Resume the exchanges that wait for a freshness proof of the configuration,
 * after one was received. */
void exchange_access_resume_all (struct caller_context *context);

#endif
