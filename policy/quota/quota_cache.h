/** @file
 * The tokens of one workspace that this host holds, and how many to ask for.
 * See quota_limit.h.
 */
#ifndef POLICY_QUOTA_QUOTA_CACHE_H
#define POLICY_QUOTA_QUOTA_CACHE_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/quota/quota_limit.h"

enum
{
  QUOTA_BATCHES_MAX = 4,
};

/** Tokens that end together. */
struct quota_token_batch
{
  uint32_t tokens;
  int64_t expires_ms;
};

struct quota_cache
{
  struct quota_token_batch
      batches[QUOTA_BATCHES_MAX]; /**< in the order of their end */
  uint32_t batch_count;
  double demand; /**< requests of late */
  int64_t demand_ms;
  int64_t unanswered_since_ms; /**< since when a keeper's word is lacking; 0:
                                  isn't */
  uint32_t waiters;            /**< requests that wait for a token */
  int64_t requested_ms;        /**< of the question under way; 0: none */
  int64_t no_request_until_ms; /**< the keeper isn't asked before */
  uint32_t
      next_token_ms; /**< from its last answer to the next token for here */
  int64_t next_token_at_ms; /**< when that is */
  uint32_t refusals;        /**< since the keeper had any */
};

enum quota_verdict
{
  QUOTA_TAKEN,    /**< a token was taken: the request may run */
  QUOTA_WAIT,     /**< none here, the keeper is or should be asked */
  QUOTA_EXHAUSTED /**< the workspace has used up its quota */
};

/** A request came: take a token for it. */
enum quota_verdict quota_cache_take (struct quota_cache *stock,
                                     int64_t now_ms);

/** As quota_cache_take(), for a request that has waited and was counted. */
enum quota_verdict quota_cache_retry (struct quota_cache *stock,
                                      int64_t now_ms);

/** A request that was told QUOTA_WAIT waits, or waits no more. */
void quota_cache_add_waiter (struct quota_cache *stock);
void quota_cache_remove_waiter (struct quota_cache *stock);

/** A token that was taken and will never be used, as good until UNTIL_MS. */
void quota_cache_return (struct quota_cache *stock, int64_t now_ms,
                         int64_t until_ms);

/** When the token that is taken next ends; INT64_MIN: there is none. */
int64_t quota_cache_next_expiry_ms (struct quota_cache *stock, int64_t now_ms);

/** How many tokens to ask the keeper for now; 0: none, or one question is
 * under way. */
uint32_t quota_cache_tokens_needed (struct quota_cache *stock, int64_t now_ms);

/** The keeper is asked at NOW_MS. */
void quota_cache_note_request (struct quota_cache *stock, int64_t now_ms);

/** What a keeper answers. */
struct quota_answer
{
  int64_t requested_ms; /**< when it was asked, on this host's clock */
  uint32_t requested;
  uint32_t tokens;
  uint32_t term_ms;       /**< they may be used for, from the question on */
  uint32_t next_token_ms; /**< until the keeper's next one; 0 with no tokens:
                        it can't tell yet, and is asked again */
};

void quota_cache_note_answer (struct quota_cache *stock, int64_t now_ms,
                              const struct quota_answer *answer);

/** For how long yet may a request that was told QUOTA_WAIT be held?  After the
 * first ones have waited in vain, none is. */
uint32_t quota_cache_hold_ms (const struct quota_cache *stock, int64_t now_ms);

/** How long until there is a token for the request that was told
 * QUOTA_EXHAUSTED last, behind those that were told so before; at least 1. */
uint32_t quota_cache_retry_after_ms (const struct quota_cache *stock,
                                     int64_t now_ms);

#endif
