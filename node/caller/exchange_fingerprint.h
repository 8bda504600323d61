/** @file
 * The fingerprint of an exchange's request, computed from its method, its
 * route's host, path with query, workspace, body length and body prefix.
 */
#ifndef NODE_CALLER_EXCHANGE_FINGERPRINT_H
#define NODE_CALLER_EXCHANGE_FINGERPRINT_H

#include "base/fingerprint.h"
#include "node/caller/exchange.h"

/** Hash the parts of the fingerprint that precede the body.  X's workspace
 * must be set. */
uint64_t exchange_head_hash (const struct exchange *x);

/** Compute the fingerprint of X.
 * @return false if the body prefix has not been received completely */
bool exchange_fingerprint (const struct exchange *x,
                           struct fingerprint *fingerprint);

/** Format the fingerprint of X; "-" if it is not available yet. */
void exchange_fingerprint_format (const struct exchange *x,
                                  char text[FINGERPRINT_TEXT_SIZE]);

#endif
