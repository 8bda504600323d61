/** @file
 * Checks requests against the quota of their workspace.
 */
#ifndef NODE_CALLER_EXCHANGE_QUOTA_H
#define NODE_CALLER_EXCHANGE_QUOTA_H

#include <stdbool.h>

#include "node/caller/exchange.h"

/** Take a token of X's workspace, once for all attempts.
 * @return false if X was refused or waits for the quota coordinator */
bool exchange_quota_check (struct exchange *x);

/** Give back the token of X, which has not run and will not. */
void exchange_quota_refund (struct exchange *x);

/** Resume the exchanges that wait for a token of WORKSPACE, the hash of its
 * name, after its quota coordinator has answered. */
void exchange_quota_resume_all (struct caller_context *context,
                                uint64_t workspace);

#endif
