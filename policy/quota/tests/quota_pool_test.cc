/* What a keeper grants. */
#include <gtest/gtest.h>

#include <memory>

extern "C"
{
#include "policy/quota/quota_pool.h"
}

namespace
{
const quota_tolerance terms = { 5000, 10, 20 };
const quota_limit limit = { 100, 100 };

struct Keeper
{
  quota_shares *shares = quota_shares_create (0, 0);
  quota_pool *ledger = quota_pool_create (shares, &terms);

  explicit Keeper (uint32_t hosts = 1)
  {
    quota_shares_note_host_count (shares, 0, hosts);
  }
  Keeper (const Keeper &) = delete;
  Keeper &operator= (const Keeper &) = delete;
  ~Keeper ()
  {
    quota_pool_destroy (ledger);
    quota_shares_destroy (shares);
  }

  uint32_t
  grant (int64_t now_ms, uint32_t wanted, const quota_limit &of = limit)
  {
    return quota_pool_grant (ledger, now_ms, 1, &of, wanted).tokens;
  }
};

TEST (QuotaLedger, BeginsWithNothingAndFillsUpToTheBurst)
{
  Keeper coordinator;
  EXPECT_EQ (coordinator.grant (0, 10), 0u);
  EXPECT_EQ (coordinator.grant (100, 100),
             11u); /* (100 + 100 / 2 / 5 s) / 10 */
  EXPECT_EQ (coordinator.grant (60000, 1000), 75u); /* 100 / 2 * 1.1 + 20 */
}

/* A workspace wants a little more than its rate all the time, and less in each
   window than its quota.  With the whole burst kept for bursts, it gets the
   rate and nothing of the burst, and one request in six is refused that its
   quota allows. */
TEST (QuotaLedger, MoreThanTheRateAllTheTimeGetsOfTheBurst)
{
  Keeper coordinator;
  coordinator.grant (60000, 0);
  uint32_t tokens = 0;
  for (int64_t now_ms = 60000; now_ms < 100000; now_ms += 20)
    tokens += coordinator.grant (now_ms, 3);
  EXPECT_GE (tokens, 0.99 * 40 * (100 + 100 / 2 / 5.0));
  EXPECT_LE (tokens, 40 * (100 + 100 / 5.0));
}

/* A workspace at its full rate gets it, however short its burst: what is
   granted and used must not stand in the way of what is made. */
TEST (QuotaLedger, TheFullRateIsHadAtAnyBurst)
{
  for (const double burst : { 0.0, 10.0, 100.0 })
    {
      Keeper coordinator;
      const quota_limit each = { 100, burst };
      uint32_t tokens = 0;
      for (int64_t now_ms = 0; now_ms <= 20000; now_ms += 20)
        tokens += coordinator.grant (now_ms, 5, each);
      EXPECT_GE (tokens, 1950u) << burst;
      const double windows = 20000.0 / terms.window_ms;
      EXPECT_LE (tokens, 2000 + (windows + 1) * burst / 2 * 1.1 + terms.slack)
          << burst;
    }
}

/* A holder has all that there is and hasn't used it yet.  Were the account
   filled again meanwhile, both together would be two bursts at once. */
TEST (QuotaLedger, WhatIsGrantedAndPerhapsUnusedTakesRoom)
{
  Keeper coordinator;
  const quota_grant all
      = quota_pool_grant (coordinator.ledger, 60000, 1, &limit, 1000);
  EXPECT_EQ (all.tokens, 75u);
  const double paid = quota_limit_refill_per_s (&limit, &terms)
                      * quota_tolerance_token_overshoot_ms (&terms) / 1000;
  EXPECT_LE (coordinator.grant (60000 + all.term_ms - 1, 1000), paid);
}

TEST (QuotaLedger, ALowerLimitCountsAtOnce)
{
  Keeper coordinator;
  coordinator.grant (60000, 0);
  const quota_limit lower = { 1, 1 };
  EXPECT_LE (coordinator.grant (60000, 1000, lower), 21u);
}

TEST (QuotaLedger, SaysWhenTheNextTokenIsDue)
{
  Keeper coordinator;
  const quota_limit slow = { 4, 0 };
  coordinator.grant (1000, 0, slow);
  coordinator.grant (60000, 20, slow);
  const quota_grant none
      = quota_pool_grant (coordinator.ledger, 60000, 1, &slow, 1);
  EXPECT_EQ (none.tokens, 0u);
  EXPECT_GE (none.next_token_ms, 250u);
  EXPECT_LE (none.next_token_ms, 500u);
  EXPECT_EQ (coordinator.grant (60000 + none.next_token_ms, 1, slow), 1u);
}

/* Many hosts want a token each: the last one is told of its place behind the
   others, not of the next token, which is another one's. */
TEST (QuotaLedger, SaysSoBehindWhatOthersWant)
{
  Keeper coordinator;
  const quota_limit slow = { 4, 0 };
  coordinator.grant (1000, 0, slow);
  coordinator.grant (60000, 20, slow);
  uint32_t due_ms = 0;
  for (int i = 0; i < 4; i++)
    due_ms = quota_pool_grant (coordinator.ledger, 60000, 1, &slow, 1)
                 .next_token_ms;
  EXPECT_GT (due_ms, 800u);
  EXPECT_LE (due_ms, 1000u);
}

/* All hosts were killed, and callers come back to them while the keeper has
   few shares yet.  Told by these when to come back, they would wait for
   seconds. */
TEST (QuotaLedger, AKeeperThatHasJustStartedCantTell)
{
  Keeper coordinator (100);
  quota_grant none = quota_pool_grant (coordinator.ledger, 100, 1, &limit, 1);
  EXPECT_EQ (none.tokens, 0u);
  EXPECT_EQ (none.next_token_ms, 0u);
  none = quota_pool_grant (coordinator.ledger, 2600, 1, &limit, 500);
  EXPECT_LT (none.tokens, 500u);
  EXPECT_GT (none.next_token_ms, 0u);
}

TEST (QuotaLedger, FewTokensAreGrantedForAShortTime)
{
  Keeper coordinator;
  const quota_grant many
      = quota_pool_grant (coordinator.ledger, 60000, 1, &limit, 10);
  EXPECT_EQ (many.term_ms, (uint32_t)QUOTA_TOKEN_LIFETIME_MS);
  coordinator.grant (60000, 100);
  const quota_grant few
      = quota_pool_grant (coordinator.ledger, 60010, 1, &limit, 10);
  EXPECT_EQ (few.term_ms, (uint32_t)QUOTA_TOKEN_LIFETIME_SCARCE_MS);
}

/* Requests of a workspace come to one data centre more than to another, whose
   keeper has more than its holders need. */
TEST (QuotaLedger, AKeeperLacksBeforeItIsEmptyAndAnotherSparesWhatItCan)
{
  Keeper busy (2);
  Keeper idle (2);
  int64_t now_ms = 10000;
  busy.grant (now_ms, 0);
  for (; now_ms < 13000; now_ms += 10)
    busy.grant (now_ms, 1);
  const uint32_t lacks = quota_pool_deficit (busy.ledger, now_ms, 1, &limit);
  EXPECT_GT (lacks, 0u);
  const uint32_t spare
      = quota_pool_take_surplus (idle.ledger, now_ms, 1, &limit, lacks);
  EXPECT_EQ (spare, lacks);
  quota_pool_add (busy.ledger, now_ms, 1, &limit, spare);
  EXPECT_GE (busy.grant (now_ms, lacks), lacks);
  EXPECT_EQ (quota_pool_deficit (idle.ledger, now_ms, 1, &limit), 0u);
}

TEST (QuotaLedger, WhatIsGivenCantPassTheBurst)
{
  Keeper coordinator (2);
  quota_pool_add (coordinator.ledger, 60000, 1, &limit, 100000);
  EXPECT_LE (coordinator.grant (60000, 1000), 60u);
}
} // namespace
