/** @file
 * May a request run: whose key does it bear, and is that known for sure?
 *
 * What is checked, in this order, and why in this order:
 *  1. The route and the deadline.  Whether a key is needed follows from the
 *     route.  A stranger can so learn which paths have routes; an open route
 *     couldn't be told from a missing one otherwise.
 *  2. Is the configuration fresh enough to say yes or no to any key?  Before
 *     the key, since a key that isn't known may be a new one.
 *  3. The key: one digest and one look into a table, the cheapest answer to a
 *     flood of bad keys.
 *  4. Limits, which need nothing of others.
 *  5. The quota, last: what is refused for another reason costs the workspace
 *     nothing.
 */
#ifndef NODE_CALLER_EXCHANGE_ACCESS_H
#define NODE_CALLER_EXCHANGE_ACCESS_H

#include <stdbool.h>

#include "node/caller/exchange.h"

/** Take the key out of X and find its workspace, if its route needs one.
 * @return false when X is answered or waits to be judged */
bool exchange_access_check (struct exchange *x);

/** A proof that the configuration is fresh has come: judge those that wait
 * for it. */
void exchange_access_resume_all (struct caller_context *context);

#endif
