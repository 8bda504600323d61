/** @file
 * Asks the policy for a target of an exchange and applies its decision.
 */
#ifndef NODE_CALLER_EXCHANGE_ADMIT_H
#define NODE_CALLER_EXCHANGE_ADMIT_H

#include "node/caller/exchange.h"

/** Ask the policy for a target and apply its decision; or pass X on, if this
 * host is cut from all targets. */
void exchange_admit (struct exchange *x);

/** Apply the policy's DECISION on X. */
void exchange_apply_decision (struct exchange *x,
                              const struct policy_decision *decision);

/** Which requests go before X if capacity is short: those of a lower number.
 * 0 unless the settings give precedence. */
uint32_t exchange_precedence (const struct exchange *x);

/** The next attempt of X as a policy request. */
struct policy_request exchange_policy_request (const struct exchange *x);

/** The time after which the caller of X may come back: OWN_MS, or what a
 * target has asked for if that is longer. */
uint32_t exchange_retry_after_ms (const struct exchange *x, uint32_t own_ms);

#endif
