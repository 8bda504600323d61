/** @file
 * What the head of a target's answer says: whether it may be passed on, and
 * what it tells of the target.
 */
#ifndef NODE_CALLER_RESPONSE_CHECK_H
#define NODE_CALLER_RESPONSE_CHECK_H

#include <stdbool.h>

#include "node/caller/exchange.h"

/** The target refused the request and says that it hasn't run it. */
bool response_check_is_shed (const struct exchange *x);

/** What is wrong with the answer's head; NULL when nothing is. */
const char *response_check_error (const struct exchange *x);

/** Its status would be a promise that the target hasn't made. */
bool response_check_is_unsigned_refusal (const struct exchange *x);

/** The head has more bytes than could be written to the caller. */
bool response_check_is_too_large (const struct exchange *x);

/** Note when a target that shed the request wants to be asked again. */
void response_check_store_retry_after (struct exchange *x);

/** Note what the answer tells of its target: that it leaves, and how long it
 * keeps idle connections. */
void response_check_update_target (struct exchange *x);

#endif
