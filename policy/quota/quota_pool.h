/** @file
 * A keeper's accounts: what the shares it may use have made for each
 * workspace, and what of it was granted.  See quota_limit.h.
 */
#ifndef POLICY_QUOTA_QUOTA_POOL_H
#define POLICY_QUOTA_QUOTA_POOL_H

#include <stdint.h>

#include "policy/quota/quota_limit.h"
#include "policy/quota/quota_shares.h"

struct quota_pool;

/** Accounts fed by SHARES, which outlives them. */
struct quota_pool *quota_pool_create (struct quota_shares *shares,
                                      const struct quota_tolerance *terms);
void quota_pool_destroy (struct quota_pool *ledger);

struct quota_grant
{
  uint32_t tokens;
  uint32_t term_ms;       /**< they may be used for, from the question on */
  uint32_t next_token_ms; /**< until the next token is made; 0 if there is one,
                      or if none is made here now and nobody can tell */
};

/** Take up to WANTED tokens of WORKSPACE, for a holder. */
struct quota_grant quota_pool_grant (struct quota_pool *ledger, int64_t now_ms,
                                     uint64_t workspace,
                                     const struct quota_limit *limit,
                                     uint32_t wanted);

/** Take up to WANTED tokens for another keeper, of what holders here don't
 * need soon. */
uint32_t quota_pool_take_surplus (struct quota_pool *ledger, int64_t now_ms,
                                  uint64_t workspace,
                                  const struct quota_limit *limit,
                                  uint32_t wanted);

/** Another keeper has given TOKENS; what doesn't fit is lost. */
void quota_pool_add (struct quota_pool *ledger, int64_t now_ms,
                     uint64_t workspace, const struct quota_limit *limit,
                     uint32_t tokens);

/** How many tokens of WORKSPACE to ask other keepers for, since what is here
 * doesn't last until they are asked again. */
uint32_t quota_pool_deficit (struct quota_pool *ledger, int64_t now_ms,
                             uint64_t workspace,
                             const struct quota_limit *limit);

#endif
