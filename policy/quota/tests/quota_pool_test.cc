/* Tests the tokens that a coordinator grants. */
#include <gtest/gtest.h>

#include <memory>

extern "C"
{
#include "policy/quota/quota_pool.h"
}

namespace
{
const quota_tolerance tolerance = { 5000, 10, 20 };
const quota_limit limit = { 100, 100 };

struct Coordinator
{
  quota_shares *shares = quota_shares_create (0, 0);
  quota_pool *pool = quota_pool_create (shares, &tolerance);

  explicit Coordinator (uint32_t hosts = 1)
  {
    quota_shares_note_host_count (shares, 0, hosts);
  }
  Coordinator (const Coordinator &) = delete;
  Coordinator &operator= (const Coordinator &) = delete;
  ~Coordinator ()
  {
    quota_pool_destroy (pool);
    quota_shares_destroy (shares);
  }

  uint32_t
  grant (int64_t now_ms, uint32_t requested, const quota_limit &of = limit)
  {
    return quota_pool_grant (pool, now_ms, 1, &of, requested).tokens;
  }
};

TEST (QuotaPool, StartsEmptyAndFillsUpToBurst)
{
  Coordinator coordinator;
  EXPECT_EQ (coordinator.grant (0, 10), 0u);
  EXPECT_EQ (coordinator.grant (100, 100),
             11u); /* (100 + 100 / 2 / 5 s) / 10 */
  EXPECT_EQ (coordinator.grant (60000, 1000), 75u); /* 100 / 2 * 1.1 + 20 */
}

/* Guards against a workspace that constantly requests slightly more than
   its rate, and less in each window than its quota, but gets only the rate.
   If the whole burst were capacity, one request in six that the quota
   allows would be refused. */
TEST (QuotaPool, ConstantExcessDemandGetsPartOfBurst)
{
  Coordinator coordinator;
  coordinator.grant (60000, 0);
  uint32_t tokens = 0;
  for (int64_t now_ms = 60000; now_ms < 100000; now_ms += 20)
    tokens += coordinator.grant (now_ms, 3);
  EXPECT_GE (tokens, 0.99 * 40 * (100 + 100 / 2 / 5.0));
  EXPECT_LE (tokens, 40 * (100 + 100 / 5.0));
}

/* Guards against granted and used tokens that reduce the refill: a
   workspace gets its full rate with any burst. */
TEST (QuotaPool, FullRateIsGrantedWithAnyBurst)
{
  for (const double burst : { 0.0, 10.0, 100.0 })
    {
      Coordinator coordinator;
      const quota_limit each = { 100, burst };
      uint32_t tokens = 0;
      for (int64_t now_ms = 0; now_ms <= 20000; now_ms += 20)
        tokens += coordinator.grant (now_ms, 5, each);
      EXPECT_GE (tokens, 1950u) << burst;
      const double windows = 20000.0 / tolerance.window_ms;
      EXPECT_LE (tokens,
                 2000 + (windows + 1) * burst / 2 * 1.1 + tolerance.slack)
          << burst;
    }
}

/* Guards against a refill while a holder still has all granted tokens
   unused: together they would be two bursts at once. */
TEST (QuotaPool, OutstandingTokensReduceCapacity)
{
  Coordinator coordinator;
  const quota_grant all
      = quota_pool_grant (coordinator.pool, 60000, 1, &limit, 1000);
  EXPECT_EQ (all.tokens, 75u);
  const double covered = quota_limit_refill_per_s (&limit, &tolerance)
                         * quota_tolerance_token_overshoot_ms (&tolerance)
                         / 1000;
  EXPECT_LE (coordinator.grant (60000 + all.term_ms - 1, 1000), covered);
}

TEST (QuotaPool, LowerLimitAppliesAtOnce)
{
  Coordinator coordinator;
  coordinator.grant (60000, 0);
  const quota_limit lower = { 1, 1 };
  EXPECT_LE (coordinator.grant (60000, 1000, lower), 21u);
}

TEST (QuotaPool, ReportsTimeOfNextToken)
{
  Coordinator coordinator;
  const quota_limit slow = { 4, 0 };
  coordinator.grant (1000, 0, slow);
  coordinator.grant (60000, 20, slow);
  const quota_grant refused
      = quota_pool_grant (coordinator.pool, 60000, 1, &slow, 1);
  EXPECT_EQ (refused.tokens, 0u);
  EXPECT_GE (refused.next_token_ms, 250u);
  EXPECT_LE (refused.next_token_ms, 500u);
  EXPECT_EQ (coordinator.grant (60000 + refused.next_token_ms, 1, slow), 1u);
}

/* Guards against giving every waiting host the time of the same next token:
   the tokens that other hosts wait for come first. */
TEST (QuotaPool, TimeOfNextTokenIncludesBacklog)
{
  Coordinator coordinator;
  const quota_limit slow = { 4, 0 };
  coordinator.grant (1000, 0, slow);
  coordinator.grant (60000, 20, slow);
  uint32_t next_token_ms = 0;
  for (int i = 0; i < 4; i++)
    next_token_ms = quota_pool_grant (coordinator.pool, 60000, 1, &slow, 1)
                        .next_token_ms;
  EXPECT_GT (next_token_ms, 800u);
  EXPECT_LE (next_token_ms, 1000u);
}

/* Guards against retry times computed from the few shares that a
   coordinator has just after all hosts were restarted: callers would wait
   for seconds. */
TEST (QuotaPool, TimeOfNextTokenIsUnknownAfterStart)
{
  Coordinator coordinator (100);
  quota_grant refused = quota_pool_grant (coordinator.pool, 100, 1, &limit, 1);
  EXPECT_EQ (refused.tokens, 0u);
  EXPECT_EQ (refused.next_token_ms, 0u);
  refused = quota_pool_grant (coordinator.pool, 2600, 1, &limit, 500);
  EXPECT_LT (refused.tokens, 500u);
  EXPECT_GT (refused.next_token_ms, 0u);
}

TEST (QuotaPool, ScarceTokensHaveShortLifetime)
{
  Coordinator coordinator;
  const quota_grant many
      = quota_pool_grant (coordinator.pool, 60000, 1, &limit, 10);
  EXPECT_EQ (many.term_ms, (uint32_t)QUOTA_TOKEN_LIFETIME_MS);
  coordinator.grant (60000, 100);
  const quota_grant few
      = quota_pool_grant (coordinator.pool, 60010, 1, &limit, 10);
  EXPECT_EQ (few.term_ms, (uint32_t)QUOTA_TOKEN_LIFETIME_SCARCE_MS);
}

/* Requests of a workspace arrive mainly in one data centre, while the
   coordinator of another one has more tokens than its holders need. */
TEST (QuotaPool, DeficitIsCoveredBySurplusOfAnotherPool)
{
  Coordinator busy (2);
  Coordinator idle (2);
  int64_t now_ms = 10000;
  busy.grant (now_ms, 0);
  for (; now_ms < 13000; now_ms += 10)
    busy.grant (now_ms, 1);
  const uint32_t deficit = quota_pool_deficit (busy.pool, now_ms, 1, &limit);
  EXPECT_GT (deficit, 0u);
  const uint32_t surplus
      = quota_pool_take_surplus (idle.pool, now_ms, 1, &limit, deficit);
  EXPECT_EQ (surplus, deficit);
  quota_pool_add (busy.pool, now_ms, 1, &limit, surplus);
  EXPECT_GE (busy.grant (now_ms, deficit), deficit);
  EXPECT_EQ (quota_pool_deficit (idle.pool, now_ms, 1, &limit), 0u);
}

TEST (QuotaPool, AddedTokensAreLimitedByCapacity)
{
  Coordinator coordinator (2);
  quota_pool_add (coordinator.pool, 60000, 1, &limit, 100000);
  EXPECT_LE (coordinator.grant (60000, 1000), 60u);
}
} // namespace
