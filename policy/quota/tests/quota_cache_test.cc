/* Tests the cache of one workspace's tokens. */
#include <gtest/gtest.h>

extern "C"
{
#include "policy/quota/quota_cache.h"
}

namespace
{
/* Takes a token, or joins the waiting requests. */
quota_verdict
take (quota_cache *cache, int64_t now_ms)
{
  const quota_verdict verdict = quota_cache_take (cache, now_ms);
  if (verdict == QUOTA_WAIT)
    quota_cache_add_waiter (cache);
  return verdict;
}

void
grant (quota_cache *cache, int64_t now_ms, int64_t requested_ms,
       uint32_t tokens, uint32_t requested, uint32_t next_token_ms = 0)
{
  const quota_answer answer = { requested_ms, requested, tokens,
                                QUOTA_TOKEN_LIFETIME_MS, next_token_ms };
  quota_cache_note_answer (cache, now_ms, &answer);
}

TEST (QuotaCache, EmptyCacheSendsOneRequest)
{
  quota_cache cache = {};
  EXPECT_EQ (take (&cache, 1000), QUOTA_WAIT);
  EXPECT_GT (quota_cache_tokens_needed (&cache, 1000), 0u);
  quota_cache_note_request (&cache, 1000);
  EXPECT_EQ (quota_cache_tokens_needed (&cache, 1010), 0u);
  EXPECT_GT (quota_cache_tokens_needed (&cache, 1100), 0u);
}

TEST (QuotaCache, TokensAreTakenOneByOne)
{
  quota_cache cache = {};
  grant (&cache, 1000, 999, 2, 2);
  EXPECT_EQ (take (&cache, 1000), QUOTA_TAKEN);
  EXPECT_EQ (take (&cache, 1000), QUOTA_TAKEN);
  EXPECT_EQ (take (&cache, 1000), QUOTA_WAIT);
}

/* Guards against using tokens whose answer arrives late, as after a
   suspension of the host: the coordinator has produced others in their
   place. */
TEST (QuotaCache, LifetimeStartsWithTheRequest)
{
  quota_cache cache = {};
  grant (&cache, 1350, 1000, 5, 5);
  EXPECT_EQ (take (&cache, 1390), QUOTA_TAKEN);
  EXPECT_EQ (take (&cache, 1396), QUOTA_WAIT);
  grant (&cache, 5000, 1000, 5, 5);
  EXPECT_EQ (take (&cache, 5000), QUOTA_WAIT);
}

TEST (QuotaCache, LaterGrantDoesNotExtendEarlierTokens)
{
  quota_cache cache = {};
  for (int i = 0; i < 10; i++)
    grant (&cache, 1000 + i * 20, 1000 + i * 20, 1, 1);
  EXPECT_EQ (take (&cache, 1395), QUOTA_TAKEN);
  int remaining = 0;
  while (take (&cache, 1457) == QUOTA_TAKEN)
    remaining++;
  EXPECT_LE (remaining, 6);
  EXPECT_EQ (take (&cache, 1580), QUOTA_WAIT);
}

TEST (QuotaCache, ExhaustedQuotaIsReportedWithRetryTime)
{
  quota_cache cache = {};
  take (&cache, 1000);
  grant (&cache, 1001, 1000, 0, 3, 400);
  EXPECT_EQ (take (&cache, 1100), QUOTA_EXHAUSTED);
  EXPECT_EQ (quota_cache_retry_after_ms (&cache, 1100), 301u);
  EXPECT_EQ (take (&cache, 1100), QUOTA_EXHAUSTED);
  EXPECT_EQ (quota_cache_retry_after_ms (&cache, 1100), 701u);
  EXPECT_EQ (quota_cache_tokens_needed (&cache, 1100), 0u);
  EXPECT_EQ (take (&cache, 1102), QUOTA_WAIT);
}

/* Guards against refusing requests that coincide by chance although the
   next token is due soon: a refused caller may not retry. */
TEST (QuotaCache, TokenThatIsDueSoonIsWaitedFor)
{
  quota_cache cache = {};
  take (&cache, 1000);
  grant (&cache, 1001, 1000, 0, 1, 100);
  EXPECT_EQ (take (&cache, 1050), QUOTA_WAIT);
  EXPECT_EQ (quota_cache_tokens_needed (&cache, 1050), 0u);
  EXPECT_EQ (quota_cache_tokens_needed (&cache, 1110), 2u);
}

/* Guards against reporting an exhausted quota when all hosts have started
   at the same time and no share is leased yet. */
TEST (QuotaCache, CoordinatorThatCannotTellIsAskedAgain)
{
  quota_cache cache = {};
  take (&cache, 1000);
  quota_cache_note_request (&cache, 1000);
  grant (&cache, 1001, 1000, 0, 1, 0);
  EXPECT_EQ (take (&cache, 1002), QUOTA_WAIT);
  EXPECT_EQ (quota_cache_tokens_needed (&cache, 1002), 0u);
  EXPECT_EQ (quota_cache_tokens_needed (&cache, 1100), 2u);
  EXPECT_EQ (quota_cache_hold_ms (&cache, 1400), 1600u);
  EXPECT_EQ (quota_cache_hold_ms (&cache, 3500), 0u);
  grant (&cache, 3600, 3590, 2, 2);
  EXPECT_GT (quota_cache_hold_ms (&cache, 3601), 0u);
}

TEST (QuotaCache, PartialGrantMeansExhausted)
{
  quota_cache cache = {};
  grant (&cache, 1001, 1000, 1, 3, 400);
  EXPECT_EQ (take (&cache, 1002), QUOTA_TAKEN);
  EXPECT_EQ (take (&cache, 1002), QUOTA_EXHAUSTED);
}

TEST (QuotaCache, ReturnedTokenKeepsItsExpiry)
{
  quota_cache cache = {};
  grant (&cache, 1000, 1000, 1, 1);
  const int64_t expires_ms = quota_cache_next_expiry_ms (&cache, 1000);
  EXPECT_EQ (take (&cache, 1000), QUOTA_TAKEN);
  quota_cache_return (&cache, 1200, expires_ms);
  EXPECT_EQ (take (&cache, 1200), QUOTA_TAKEN);
  quota_cache_return (&cache, 2500, expires_ms);
  EXPECT_EQ (take (&cache, 2500), QUOTA_WAIT);
}

/* Guards against a message to the coordinator for each request of a busy
   workspace, and against many cached tokens of a quiet one. */
TEST (QuotaCache, PrefetchesByDemand)
{
  quota_cache busy = {};
  for (int64_t now_ms = 0; now_ms < 3000; now_ms += 5)
    {
      take (&busy, now_ms);
      const uint32_t needed = quota_cache_tokens_needed (&busy, now_ms);
      if (needed == 0)
        continue;
      quota_cache_note_request (&busy, now_ms);
      grant (&busy, now_ms + 1, now_ms, needed, needed);
    }
  EXPECT_EQ (take (&busy, 3000), QUOTA_TAKEN);
  quota_cache quiet = {};
  take (&quiet, 1000);
  EXPECT_EQ (quota_cache_tokens_needed (&quiet, 1000), 1u);
}

/* Guards against tokens requested in advance for quiet workspaces: with
   eighty of them at forty hosts, each host receives a request of a
   workspace every few seconds.  As many tokens would expire unused as are
   used, and the workspace would be refused below its quota. */
TEST (QuotaCache, QuietWorkspaceIsNotPrefetched)
{
  quota_cache cache = {};
  uint32_t granted = 0;
  uint32_t taken = 0;
  for (int64_t now_ms = 1000; now_ms < 100000; now_ms += 700)
    {
      EXPECT_EQ (take (&cache, now_ms), QUOTA_WAIT);
      const uint32_t needed = quota_cache_tokens_needed (&cache, now_ms);
      quota_cache_note_request (&cache, now_ms);
      grant (&cache, now_ms + 1, now_ms, needed, needed);
      granted += needed;
      quota_cache_remove_waiter (&cache);
      EXPECT_EQ (quota_cache_retry (&cache, now_ms + 1), QUOTA_TAKEN);
      taken++;
      EXPECT_EQ (quota_cache_tokens_needed (&cache, now_ms + 1), 0u);
    }
  EXPECT_EQ (granted, taken);
}
} // namespace
