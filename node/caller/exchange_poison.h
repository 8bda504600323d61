/** @file
 * Refuses exchanges whose requests are known to crash targets.
 */
#ifndef NODE_CALLER_EXCHANGE_POISON_H
#define NODE_CALLER_EXCHANGE_POISON_H

#include <stdbool.h>
#include <stdint.h>

#include "base/fingerprint.h"
#include "node/caller/caller_context.h"

struct exchange;

/** Check X after routing and before its first attempt.
 * @return false if X was refused or waits for its body prefix */
bool exchange_poison_check (struct exchange *x);

/** Check X again after a target slot was assigned; never waits.
 * @return false if X must be refused; *REMAINING_MS is set as by
 * poison_table_check() */
bool exchange_poison_may_send (struct exchange *x, uint32_t *remaining_ms);

/** Refuse X, with a retry time of REMAINING_MS if it has not run. */
void exchange_poison_refuse (struct exchange *x, uint32_t remaining_ms);

/** Return whether X was waiting for its body prefix and has received it. */
bool exchange_poison_is_ready (const struct exchange *x);

/** Clear the request of X after a complete response without a server error. */
void exchange_poison_clear (const struct exchange *x);

/** Cancel the unanswered attempts of requests with FINGERPRINT, which became
 * blocked, so that their targets can stop before they crash. */
void exchange_poison_cancel_all (struct caller_context *context,
                                 const struct fingerprint *fingerprint,
                                 uint32_t remaining_ms);

#endif
