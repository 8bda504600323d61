/* The tokens that a host holds of one workspace. */
#include <gtest/gtest.h>

extern "C"
{
#include "policy/quota/quota_cache.h"
}

namespace
{
/* A request that waits if it has to. */
quota_verdict
take (quota_cache *stock, int64_t now_ms)
{
  const quota_verdict verdict = quota_cache_take (stock, now_ms);
  if (verdict == QUOTA_WAIT)
    quota_cache_add_waiter (stock);
  return verdict;
}

void
grant (quota_cache *stock, int64_t now_ms, int64_t asked_ms, uint32_t tokens,
       uint32_t wanted, uint32_t due_ms = 0)
{
  const quota_answer answer
      = { asked_ms, wanted, tokens, QUOTA_TOKEN_LIFETIME_MS, due_ms };
  quota_cache_note_answer (stock, now_ms, &answer);
}

TEST (QuotaStock, AnEmptyOneAsksOnce)
{
  quota_cache stock = {};
  EXPECT_EQ (take (&stock, 1000), QUOTA_WAIT);
  EXPECT_GT (quota_cache_tokens_needed (&stock, 1000), 0u);
  quota_cache_note_request (&stock, 1000);
  EXPECT_EQ (quota_cache_tokens_needed (&stock, 1010), 0u);
  EXPECT_GT (quota_cache_tokens_needed (&stock, 1100), 0u);
}

TEST (QuotaStock, TokensAreTakenOneByOne)
{
  quota_cache stock = {};
  grant (&stock, 1000, 999, 2, 2);
  EXPECT_EQ (take (&stock, 1000), QUOTA_TAKEN);
  EXPECT_EQ (take (&stock, 1000), QUOTA_TAKEN);
  EXPECT_EQ (take (&stock, 1000), QUOTA_WAIT);
}

/* The keeper's answer comes late, after the host was frozen: the keeper has
   made new tokens in place of those meanwhile. */
TEST (QuotaStock, TokensEndWithTheirTermFromTheQuestionOn)
{
  quota_cache stock = {};
  grant (&stock, 1350, 1000, 5, 5);
  EXPECT_EQ (take (&stock, 1390), QUOTA_TAKEN);
  EXPECT_EQ (take (&stock, 1396), QUOTA_WAIT);
  grant (&stock, 5000, 1000, 5, 5);
  EXPECT_EQ (take (&stock, 5000), QUOTA_WAIT);
}

TEST (QuotaStock, ALaterGrantDoesntMakeEarlierTokensLastLonger)
{
  quota_cache stock = {};
  for (int i = 0; i < 10; i++)
    grant (&stock, 1000 + i * 20, 1000 + i * 20, 1, 1);
  EXPECT_EQ (take (&stock, 1395), QUOTA_TAKEN);
  int left = 0;
  while (take (&stock, 1457) == QUOTA_TAKEN)
    left++;
  EXPECT_LE (left, 6);
  EXPECT_EQ (take (&stock, 1580), QUOTA_WAIT);
}

TEST (QuotaStock, AUsedUpQuotaIsSaidAtOnceAndUntilWhen)
{
  quota_cache stock = {};
  take (&stock, 1000);
  grant (&stock, 1001, 1000, 0, 3, 400);
  EXPECT_EQ (take (&stock, 1100), QUOTA_EXHAUSTED);
  EXPECT_EQ (quota_cache_retry_after_ms (&stock, 1100), 301u);
  EXPECT_EQ (take (&stock, 1100), QUOTA_EXHAUSTED);
  EXPECT_EQ (quota_cache_retry_after_ms (&stock, 1100), 701u);
  EXPECT_EQ (quota_cache_tokens_needed (&stock, 1100), 0u);
  EXPECT_EQ (take (&stock, 1102), QUOTA_WAIT);
}

/* Some requests come together by chance, and the next token is due in a
   moment: a caller who is refused for that may not come back. */
TEST (QuotaStock, ATokenThatIsDueSoonIsWaitedFor)
{
  quota_cache stock = {};
  take (&stock, 1000);
  grant (&stock, 1001, 1000, 0, 1, 100);
  EXPECT_EQ (take (&stock, 1050), QUOTA_WAIT);
  EXPECT_EQ (quota_cache_tokens_needed (&stock, 1050), 0u);
  EXPECT_EQ (quota_cache_tokens_needed (&stock, 1110), 2u);
}

/* All hosts have started at one moment, and nobody has lent its share yet.
   That isn't a quota that is used up. */
TEST (QuotaStock, AKeeperThatCantTellIsAskedAgain)
{
  quota_cache stock = {};
  take (&stock, 1000);
  quota_cache_note_request (&stock, 1000);
  grant (&stock, 1001, 1000, 0, 1, 0);
  EXPECT_EQ (take (&stock, 1002), QUOTA_WAIT);
  EXPECT_EQ (quota_cache_tokens_needed (&stock, 1002), 0u);
  EXPECT_EQ (quota_cache_tokens_needed (&stock, 1100), 2u);
  EXPECT_EQ (quota_cache_hold_ms (&stock, 1400), 1600u);
  EXPECT_EQ (quota_cache_hold_ms (&stock, 3500), 0u);
  grant (&stock, 3600, 3590, 2, 2);
  EXPECT_GT (quota_cache_hold_ms (&stock, 3601), 0u);
}

TEST (QuotaStock, HalfAGrantMeansThatThereIsNoMore)
{
  quota_cache stock = {};
  grant (&stock, 1001, 1000, 1, 3, 400);
  EXPECT_EQ (take (&stock, 1002), QUOTA_TAKEN);
  EXPECT_EQ (take (&stock, 1002), QUOTA_EXHAUSTED);
}

TEST (QuotaStock, AReturnedTokenKeepsItsEnd)
{
  quota_cache stock = {};
  grant (&stock, 1000, 1000, 1, 1);
  const int64_t until_ms = quota_cache_next_expiry_ms (&stock, 1000);
  EXPECT_EQ (take (&stock, 1000), QUOTA_TAKEN);
  quota_cache_return (&stock, 1200, until_ms);
  EXPECT_EQ (take (&stock, 1200), QUOTA_TAKEN);
  quota_cache_return (&stock, 2500, until_ms);
  EXPECT_EQ (take (&stock, 2500), QUOTA_WAIT);
}

/* A busy workspace isn't asked for at each request, a quiet one holds
   little. */
TEST (QuotaStock, ItAsksAheadByDemand)
{
  quota_cache busy = {};
  for (int64_t now_ms = 0; now_ms < 3000; now_ms += 5)
    {
      take (&busy, now_ms);
      const uint32_t wants = quota_cache_tokens_needed (&busy, now_ms);
      if (wants == 0)
        continue;
      quota_cache_note_request (&busy, now_ms);
      grant (&busy, now_ms + 1, now_ms, wants, wants);
    }
  EXPECT_EQ (take (&busy, 3000), QUOTA_TAKEN);
  quota_cache quiet = {};
  take (&quiet, 1000);
  EXPECT_EQ (quota_cache_tokens_needed (&quiet, 1000), 1u);
}

/* Eighty quiet workspaces at forty hosts, each of which meets one of them
   every few seconds.  A token that is asked for ahead ends unused; as many of
   them as are used, and the workspace is refused below its quota. */
TEST (QuotaStock, NothingIsAskedAheadForAQuietWorkspace)
{
  quota_cache stock = {};
  uint32_t granted = 0;
  uint32_t taken = 0;
  for (int64_t now_ms = 1000; now_ms < 100000; now_ms += 700)
    {
      EXPECT_EQ (take (&stock, now_ms), QUOTA_WAIT);
      const uint32_t wants = quota_cache_tokens_needed (&stock, now_ms);
      quota_cache_note_request (&stock, now_ms);
      grant (&stock, now_ms + 1, now_ms, wants, wants);
      granted += wants;
      quota_cache_remove_waiter (&stock);
      EXPECT_EQ (quota_cache_retry (&stock, now_ms + 1), QUOTA_TAKEN);
      taken++;
      EXPECT_EQ (quota_cache_tokens_needed (&stock, now_ms + 1), 0u);
    }
  EXPECT_EQ (granted, taken);
}
} // namespace
