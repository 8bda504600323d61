#include "policy/quota/quota_cache.h"

#include <math.h>
#include <string.h>

enum
{
  /** The demand is that of about this time. */
  DEMAND_MS = 1000,
  /** A stock lasts for so long: some questions' time, and short against the
   * term of a token, so that few end unused. */
  STOCK_MS = 100,
  /** What a busy workspace uses in that time, at the least. */
  AHEAD_LEAST = 2,
  /** A question that isn't answered for so long is asked again. */
  ANSWER_MS = 60,
  /** Keepers are replaced, and hosts that start have lent their shares, in
   * less. */
  HOLD_MS = 2000,
  /** A keeper that has nothing is asked again no sooner. */
  EMPTY_LEAST_MS = 20,
  /** And no later, while requests come. */
  EMPTY_MOST_MS = 100,
  /** Whoever is refused is told to come back after no longer. */
  DUE_MOST_MS = 2000,
  /** A token that is due sooner is waited for: less than what callers notice,
   * and more than what chance makes of requests that come together. */
  QUEUE_MS = 300,
};

static void
drop_ended (struct quota_cache *stock, int64_t now_ms)
{
  uint32_t ended = 0;
  while (ended < stock->batch_count
         && (stock->batches[ended].expires_ms <= now_ms
             || stock->batches[ended].tokens == 0))
    ended++;
  stock->batch_count -= ended;
  memmove (stock->batches, stock->batches + ended,
           stock->batch_count * sizeof *stock->batches);
}

static uint32_t
held (const struct quota_cache *stock)
{
  uint32_t tokens = 0;
  for (uint32_t i = 0; i < stock->batch_count; i++)
    tokens += stock->batches[i].tokens;
  return tokens;
}

static void
note_demand (struct quota_cache *stock, int64_t now_ms, uint32_t requests)
{
  const double passed_ms = (double)(now_ms - stock->demand_ms);
  stock->demand = stock->demand * exp (-passed_ms / DEMAND_MS) + requests;
  stock->demand_ms = now_ms;
}

enum quota_verdict
quota_cache_retry (struct quota_cache *stock, int64_t now_ms)
{
  drop_ended (stock, now_ms);
  if (stock->batch_count > 0)
    {
      stock->batches[0].tokens--;
      return QUOTA_TAKEN;
    }
  if (now_ms < stock->no_request_until_ms && stock->next_token_ms > QUEUE_MS)
    {
      stock->refusals++;
      return QUOTA_EXHAUSTED;
    }
  if (stock->unanswered_since_ms == 0)
    stock->unanswered_since_ms = now_ms;
  return QUOTA_WAIT;
}

enum quota_verdict
quota_cache_take (struct quota_cache *stock, int64_t now_ms)
{
  note_demand (stock, now_ms, 1);
  return quota_cache_retry (stock, now_ms);
}

void
quota_cache_add_waiter (struct quota_cache *stock)
{
  stock->waiters++;
}

void
quota_cache_remove_waiter (struct quota_cache *stock)
{
  if (stock->waiters > 0)
    stock->waiters--;
}

int64_t
quota_cache_next_expiry_ms (struct quota_cache *stock, int64_t now_ms)
{
  drop_ended (stock, now_ms);
  return stock->batch_count > 0 ? stock->batches[0].expires_ms : INT64_MIN;
}

/* Where there are batches enough already, tokens end with the one before
   them. */
static void
add_batch (struct quota_cache *stock, uint32_t tokens, int64_t until_ms)
{
  uint32_t at = stock->batch_count;
  while (at > 0 && stock->batches[at - 1].expires_ms > until_ms)
    at--;
  if (at > 0
      && (stock->batch_count == QUOTA_BATCHES_MAX
          || stock->batches[at - 1].expires_ms == until_ms))
    {
      stock->batches[at - 1].tokens += tokens;
      return;
    }
  if (stock->batch_count == QUOTA_BATCHES_MAX)
    return;
  memmove (stock->batches + at + 1, stock->batches + at,
           (stock->batch_count - at) * sizeof *stock->batches);
  stock->batches[at]
      = (struct quota_token_batch){ .tokens = tokens, .expires_ms = until_ms };
  stock->batch_count++;
}

void
quota_cache_return (struct quota_cache *stock, int64_t now_ms,
                    int64_t until_ms)
{
  drop_ended (stock, now_ms);
  if (until_ms > now_ms)
    add_batch (stock, 1, until_ms);
}

uint32_t
quota_cache_tokens_needed (struct quota_cache *stock, int64_t now_ms)
{
  drop_ended (stock, now_ms);
  note_demand (stock, now_ms, 0);
  const bool is_asked
      = stock->requested_ms > 0 && now_ms - stock->requested_ms < ANSWER_MS;
  if (is_asked || now_ms < stock->no_request_until_ms)
    return 0;
  const uint32_t ahead = (uint32_t)(stock->demand * STOCK_MS / DEMAND_MS);
  const uint32_t has = held (stock);
  if (has == 0 && stock->waiters > 0)
    return stock->waiters > ahead ? stock->waiters : ahead;
  /* A token that ends unused is lacking elsewhere, so only busy workspaces are
     asked for ahead, once half of what was ahead is used up. */
  return ahead >= AHEAD_LEAST && has <= ahead / 2 ? ahead - has : 0;
}

void
quota_cache_note_request (struct quota_cache *stock, int64_t now_ms)
{
  stock->requested_ms = now_ms;
}

void
quota_cache_note_answer (struct quota_cache *stock, int64_t now_ms,
                         const struct quota_answer *answer)
{
  const int64_t until_ms
      = answer->requested_ms + quota_term_less_drift_ms (answer->term_ms);
  drop_ended (stock, now_ms);
  if (answer->tokens == 0 && answer->next_token_ms == 0)
    return;
  stock->requested_ms = 0;
  stock->unanswered_since_ms = 0;
  if (answer->tokens > 0)
    stock->refusals = 0;
  if (answer->tokens > 0 && until_ms > now_ms)
    add_batch (stock, answer->tokens, until_ms);
  if (answer->tokens >= answer->requested)
    return;
  uint32_t wait_ms = answer->next_token_ms;
  if (wait_ms < EMPTY_LEAST_MS)
    wait_ms = EMPTY_LEAST_MS;
  stock->next_token_ms = wait_ms;
  stock->next_token_at_ms = now_ms + wait_ms;
  /* Others may not want what they wanted. */
  if (wait_ms > EMPTY_MOST_MS)
    wait_ms = EMPTY_MOST_MS;
  stock->no_request_until_ms = now_ms + wait_ms;
}

uint32_t
quota_cache_hold_ms (const struct quota_cache *stock, int64_t now_ms)
{
  const int64_t since_ms
      = stock->unanswered_since_ms > 0 ? stock->unanswered_since_ms : now_ms;
  const int64_t left_ms = since_ms + HOLD_MS - now_ms;
  return left_ms > 0 ? (uint32_t)left_ms : 0;
}

/* Guards against callers that all come back for one token: each is given the
   time of one more. */
uint32_t
quota_cache_retry_after_ms (const struct quota_cache *stock, int64_t now_ms)
{
  const uint32_t before = stock->refusals > 0 ? stock->refusals - 1 : 0;
  const int64_t due_ms = stock->next_token_at_ms - now_ms
                         + (int64_t)before * stock->next_token_ms;
  if (due_ms < 1)
    return 1;
  return due_ms < DUE_MOST_MS ? (uint32_t)due_ms : DUE_MOST_MS;
}
