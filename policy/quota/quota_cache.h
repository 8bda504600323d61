/** @file
 * Cache of one workspace's tokens that were granted to this host, and how many
 * more to request.  See quota_limit.h.
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

/** Tokens that expire together. */
struct quota_token_batch
{
  uint32_t tokens;
  int64_t expires_ms;
};

struct quota_cache
{
  struct quota_token_batch
      batches[QUOTA_BATCHES_MAX]; /**< ordered by expiry */
  uint32_t batch_count;
  double demand; /**< requests, decaying over time */
  int64_t demand_ms;
  int64_t unanswered_since_ms; /**< since when no coordinator has answered; 0:
                                  answered */
  uint32_t waiters;            /**< requests that wait for a token */
  int64_t requested_ms; /**< when the pending request to the coordinator was
                           sent; 0: none */
  int64_t no_request_until_ms; /**< the coordinator isn't asked before */
  uint32_t next_token_ms;   /**< from the last answer to the next token here */
  int64_t next_token_at_ms; /**< when that token is due */
  uint32_t refusals; /**< requests refused since the coordinator had tokens */
};

enum quota_verdict
{
  QUOTA_TAKEN, /**< a token was taken: the request may run */
  QUOTA_WAIT,  /**< no token cached; the coordinator is or should be asked */
  QUOTA_EXHAUSTED /**< the workspace has used up its quota */
};

/** Take a token for a new request. */
enum quota_verdict quota_cache_take (struct quota_cache *cache,
                                     int64_t now_ms);

/** As quota_cache_take(), for a request that has waited and was counted
 * before. */
enum quota_verdict quota_cache_retry (struct quota_cache *cache,
                                      int64_t now_ms);

/** Add or remove a request that waits after QUOTA_WAIT. */
void quota_cache_add_waiter (struct quota_cache *cache);
void quota_cache_remove_waiter (struct quota_cache *cache);

/** Return a token that was taken and will not be used; it expires at
 * EXPIRES_MS. */
void quota_cache_return (struct quota_cache *cache, int64_t now_ms,
                         int64_t expires_ms);

/** Return when the token that is taken next expires; INT64_MIN: none. */
int64_t quota_cache_next_expiry_ms (struct quota_cache *cache, int64_t now_ms);

/** Return the number of tokens to request from the coordinator now; 0: none,
 * or a request is pending. */
uint32_t quota_cache_tokens_needed (struct quota_cache *cache, int64_t now_ms);

/** Note that a request was sent to the coordinator at NOW_MS. */
void quota_cache_note_request (struct quota_cache *cache, int64_t now_ms);

/** Answer of a coordinator. */
struct quota_answer
{
  int64_t requested_ms; /**< when the request was sent, on this host's clock */
  uint32_t requested;
  uint32_t tokens;
  uint32_t term_ms; /**< lifetime of the tokens, counted from the request */
  uint32_t next_token_ms; /**< coordinator's next token; 0 without tokens:
                             unknown yet, ask again */
};

void quota_cache_note_answer (struct quota_cache *cache, int64_t now_ms,
                              const struct quota_answer *answer);

/** Return for how much longer a request may wait after QUOTA_WAIT.  The time
 * counts from the first request that waited since the last answer of a
 * coordinator, so it is 0 if no coordinator has answered for too long. */
uint32_t quota_cache_hold_ms (const struct quota_cache *cache, int64_t now_ms);

/** Return the time until there is a token for the request that was last
 * refused with QUOTA_EXHAUSTED, after those refused before it; at least 1. */
uint32_t quota_cache_retry_after_ms (const struct quota_cache *cache,
                                     int64_t now_ms);

#endif
