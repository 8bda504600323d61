/** @file
 * Token buckets of a coordinator: the tokens that the shares it may use have
 * produced for each workspace, and how many of them were granted.  See
 * quota_limit.h.
 */
#ifndef POLICY_QUOTA_QUOTA_POOL_H
#define POLICY_QUOTA_QUOTA_POOL_H

#include <stdint.h>

#include "policy/quota/quota_limit.h"
#include "policy/quota/quota_shares.h"

struct quota_pool;

/** Create a pool that is refilled by SHARES, which must outlive it. */
struct quota_pool *quota_pool_create (struct quota_shares *shares,
                                      const struct quota_tolerance *tolerance);
void quota_pool_destroy (struct quota_pool *pool);

struct quota_grant
{
  uint32_t tokens;
  uint32_t term_ms; /**< lifetime of the tokens, counted from the request */
  uint32_t next_token_ms; /**< time until the next token; 0 if there is one, or
                             if it is unknown because the shares here aren't
                             stable yet */
};

/** Grant a holder up to REQUESTED tokens of WORKSPACE. */
struct quota_grant quota_pool_grant (struct quota_pool *pool, int64_t now_ms,
                                     uint64_t workspace,
                                     const struct quota_limit *limit,
                                     uint32_t requested);

/** Remove up to REQUESTED tokens that holders here don't need soon, for
 * another coordinator. */
uint32_t quota_pool_take_surplus (struct quota_pool *pool, int64_t now_ms,
                                  uint64_t workspace,
                                  const struct quota_limit *limit,
                                  uint32_t requested);

/** Add TOKENS received from another coordinator; those above the capacity
 * are discarded. */
void quota_pool_add (struct quota_pool *pool, int64_t now_ms,
                     uint64_t workspace, const struct quota_limit *limit,
                     uint32_t tokens);

/** Return the number of tokens of WORKSPACE to request from other
 * coordinators because the tokens here will not last until the next
 * request. */
uint32_t quota_pool_deficit (struct quota_pool *pool, int64_t now_ms,
                             uint64_t workspace,
                             const struct quota_limit *limit);

#endif
