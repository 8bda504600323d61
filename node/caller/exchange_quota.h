/** @file
 * May a request run within its workspace's quota?
 */
#ifndef NODE_CALLER_EXCHANGE_QUOTA_H
#define NODE_CALLER_EXCHANGE_QUOTA_H

#include <stdbool.h>

#include "node/caller/exchange.h"

/** Charge X to its workspace, once however often it is tried.
 * @return false when X is answered or waits for a keeper's answer */
bool exchange_quota_check (struct exchange *x);

/** X surely hasn't run and won't: what was charged is given back. */
void exchange_quota_refund (struct exchange *x);

/** A keeper has answered for WORKSPACE, the hash of its name: go on with the
 * requests that wait for it. */
void exchange_quota_resume_all (struct caller_context *context,
                                uint64_t workspace);

#endif
