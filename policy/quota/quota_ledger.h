/** @file
 * A keeper's accounts: what the shares it may use have made for each
 * workspace, and what of it was granted.  See quota_limit.h.
 */
#ifndef POLICY_QUOTA_QUOTA_LEDGER_H
#define POLICY_QUOTA_QUOTA_LEDGER_H

#include <stdint.h>

#include "policy/quota/quota_limit.h"
#include "policy/quota/quota_shares.h"

struct quota_ledger;

/** Accounts fed by SHARES, which outlives them. */
struct quota_ledger *quota_ledger_create (struct quota_shares *shares,
                                          const struct quota_terms *terms);
void quota_ledger_destroy (struct quota_ledger *ledger);

struct quota_grant
{
  uint32_t tokens;
  uint32_t term_ms; /**< they may be used for, from the question on */
  uint32_t due_ms;  /**< until the next token is made; 0 if there is one, or
                       if none is made here now and nobody can tell */
};

/** Take up to WANTED tokens of WORKSPACE, for a holder. */
struct quota_grant quota_ledger_grant (struct quota_ledger *ledger,
                                       int64_t now_ms, uint64_t workspace,
                                       const struct quota_limit *limit,
                                       uint32_t wanted);

/** Take up to WANTED tokens for another keeper, of what holders here don't
 * need soon. */
uint32_t quota_ledger_spare (struct quota_ledger *ledger, int64_t now_ms,
                             uint64_t workspace,
                             const struct quota_limit *limit, uint32_t wanted);

/** Another keeper has given TOKENS; what doesn't fit is lost. */
void quota_ledger_add (struct quota_ledger *ledger, int64_t now_ms,
                       uint64_t workspace, const struct quota_limit *limit,
                       uint32_t tokens);

/** How many tokens of WORKSPACE to ask other keepers for, since what is here
 * doesn't last until they are asked again. */
uint32_t quota_ledger_lacks (struct quota_ledger *ledger, int64_t now_ms,
                             uint64_t workspace,
                             const struct quota_limit *limit);

#endif
