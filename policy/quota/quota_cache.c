#include "policy/quota/quota_cache.h"

#include <math.h>
#include <string.h>

enum
{
  /** Time constant of the exponential decay of the demand. */
  DEMAND_DECAY_MS = 1000,
  /** Time for which the cached tokens should last: several round trips, and
   * short compared to the lifetime of a token, so that few expire unused. */
  SUPPLY_MS = 100,
  /** Minimum demand in that time for requesting tokens in advance. */
  PREFETCH_MIN = 2,
  /** Timeout of a request to the coordinator, after which it is repeated. */
  ANSWER_TIMEOUT_MS = 60,
  /** Maximum time for which requests wait while no coordinator answers.
   * Failed coordinators are replaced, and starting hosts have leased their
   * shares, in less time. */
  HOLD_MAX_MS = 2000,
  /** Minimum time before a coordinator without tokens is asked again. */
  REQUEST_DELAY_MIN_MS = 20,
  /** Maximum time before it is asked again, while requests arrive. */
  REQUEST_DELAY_MAX_MS = 100,
  /** Maximum retry delay reported to callers that are refused. */
  RETRY_MAX_MS = 2000,
  /** Requests wait for a token that is due within this time.  Less than
   * callers notice, and more than needed for requests that coincide by
   * chance. */
  WAIT_MAX_MS = 300,
};

static void
remove_expired (struct quota_cache *cache, int64_t now_ms)
{
  uint32_t expired = 0;
  while (expired < cache->batch_count
         && (cache->batches[expired].expires_ms <= now_ms
             || cache->batches[expired].tokens == 0))
    expired++;
  cache->batch_count -= expired;
  memmove (cache->batches, cache->batches + expired,
           cache->batch_count * sizeof *cache->batches);
}

static uint32_t
count_tokens (const struct quota_cache *cache)
{
  uint32_t tokens = 0;
  for (uint32_t i = 0; i < cache->batch_count; i++)
    tokens += cache->batches[i].tokens;
  return tokens;
}

static void
add_demand (struct quota_cache *cache, int64_t now_ms, uint32_t requests)
{
  const double elapsed_ms = (double)(now_ms - cache->demand_ms);
  cache->demand
      = cache->demand * exp (-elapsed_ms / DEMAND_DECAY_MS) + requests;
  cache->demand_ms = now_ms;
}

enum quota_verdict
quota_cache_retry (struct quota_cache *cache, int64_t now_ms)
{
  remove_expired (cache, now_ms);
  if (cache->batch_count > 0)
    {
      cache->batches[0].tokens--;
      return QUOTA_TAKEN;
    }
  if (now_ms < cache->no_request_until_ms
      && cache->next_token_ms > WAIT_MAX_MS)
    {
      cache->refusals++;
      return QUOTA_EXHAUSTED;
    }
  if (cache->unanswered_since_ms == 0)
    cache->unanswered_since_ms = now_ms;
  return QUOTA_WAIT;
}

enum quota_verdict
quota_cache_take (struct quota_cache *cache, int64_t now_ms)
{
  add_demand (cache, now_ms, 1);
  return quota_cache_retry (cache, now_ms);
}

void
quota_cache_add_waiter (struct quota_cache *cache)
{
  cache->waiters++;
}

void
quota_cache_remove_waiter (struct quota_cache *cache)
{
  if (cache->waiters > 0)
    cache->waiters--;
}

int64_t
quota_cache_next_expiry_ms (struct quota_cache *cache, int64_t now_ms)
{
  remove_expired (cache, now_ms);
  return cache->batch_count > 0 ? cache->batches[0].expires_ms : INT64_MIN;
}

/* If all batches are in use, the tokens expire with the batch before them. */
static void
add_batch (struct quota_cache *cache, uint32_t tokens, int64_t expires_ms)
{
  uint32_t index = cache->batch_count;
  while (index > 0 && cache->batches[index - 1].expires_ms > expires_ms)
    index--;
  if (index > 0
      && (cache->batch_count == QUOTA_BATCHES_MAX
          || cache->batches[index - 1].expires_ms == expires_ms))
    {
      cache->batches[index - 1].tokens += tokens;
      return;
    }
  if (cache->batch_count == QUOTA_BATCHES_MAX)
    return;
  memmove (cache->batches + index + 1, cache->batches + index,
           (cache->batch_count - index) * sizeof *cache->batches);
  cache->batches[index]
      = (struct quota_token_batch){ .tokens = tokens,
                                    .expires_ms = expires_ms };
  cache->batch_count++;
}

void
quota_cache_return (struct quota_cache *cache, int64_t now_ms,
                    int64_t expires_ms)
{
  remove_expired (cache, now_ms);
  if (expires_ms > now_ms)
    add_batch (cache, 1, expires_ms);
}

uint32_t
quota_cache_tokens_needed (struct quota_cache *cache, int64_t now_ms)
{
  remove_expired (cache, now_ms);
  add_demand (cache, now_ms, 0);
  const bool is_request_pending
      = cache->requested_ms > 0
        && now_ms - cache->requested_ms < ANSWER_TIMEOUT_MS;
  if (is_request_pending || now_ms < cache->no_request_until_ms)
    return 0;
  const uint32_t prefetch
      = (uint32_t)(cache->demand * SUPPLY_MS / DEMAND_DECAY_MS);
  const uint32_t cached = count_tokens (cache);
  if (cached == 0 && cache->waiters > 0)
    return cache->waiters > prefetch ? cache->waiters : prefetch;
  /* A token that expires unused is unavailable elsewhere, so tokens are
     requested in advance only for busy workspaces, once half of the last
     ones are used. */
  return prefetch >= PREFETCH_MIN && cached <= prefetch / 2 ? prefetch - cached
                                                            : 0;
}

void
quota_cache_note_request (struct quota_cache *cache, int64_t now_ms)
{
  cache->requested_ms = now_ms;
}

void
quota_cache_note_answer (struct quota_cache *cache, int64_t now_ms,
                         const struct quota_answer *answer)
{
  const int64_t expires_ms
      = answer->requested_ms + quota_term_less_drift_ms (answer->term_ms);
  remove_expired (cache, now_ms);
  if (answer->tokens == 0 && answer->next_token_ms == 0)
    return;
  cache->requested_ms = 0;
  cache->unanswered_since_ms = 0;
  if (answer->tokens > 0)
    cache->refusals = 0;
  if (answer->tokens > 0 && expires_ms > now_ms)
    add_batch (cache, answer->tokens, expires_ms);
  if (answer->tokens >= answer->requested)
    return;
  uint32_t wait_ms = answer->next_token_ms;
  if (wait_ms < REQUEST_DELAY_MIN_MS)
    wait_ms = REQUEST_DELAY_MIN_MS;
  cache->next_token_ms = wait_ms;
  cache->next_token_at_ms = now_ms + wait_ms;
  /* Other hosts may need fewer tokens than they requested. */
  if (wait_ms > REQUEST_DELAY_MAX_MS)
    wait_ms = REQUEST_DELAY_MAX_MS;
  cache->no_request_until_ms = now_ms + wait_ms;
}

uint32_t
quota_cache_hold_ms (const struct quota_cache *cache, int64_t now_ms)
{
  const int64_t since_ms
      = cache->unanswered_since_ms > 0 ? cache->unanswered_since_ms : now_ms;
  const int64_t remaining_ms = since_ms + HOLD_MAX_MS - now_ms;
  return remaining_ms > 0 ? (uint32_t)remaining_ms : 0;
}

/* If all refused callers retried for the same token, all but one would be
   refused again, so each is given the time of a later token. */
uint32_t
quota_cache_retry_after_ms (const struct quota_cache *cache, int64_t now_ms)
{
  const uint32_t ahead_count = cache->refusals > 0 ? cache->refusals - 1 : 0;
  const int64_t retry_ms = cache->next_token_at_ms - now_ms
                           + (int64_t)ahead_count * cache->next_token_ms;
  if (retry_ms < 1)
    return 1;
  return retry_ms < RETRY_MAX_MS ? (uint32_t)retry_ms : RETRY_MAX_MS;
}
