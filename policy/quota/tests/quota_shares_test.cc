/* Tests which shares of all quotas a host may use, and what they produce. */
#include <gtest/gtest.h>

#include <memory>

extern "C"
{
#include "policy/quota/quota_lease.h"
#include "policy/quota/quota_shares.h"
#include "policy/quota/quota_stamp.h"
}

namespace
{
using shares_ptr = std::unique_ptr<quota_shares, void (*) (quota_shares *)>;

shares_ptr
make_shares (int64_t own_from_ms, uint32_t hosts)
{
  shares_ptr shares
      = { quota_shares_create (0, own_from_ms), quota_shares_destroy };
  if (hosts > 0)
    quota_shares_note_host_count (shares.get (), 0, hosts);
  return shares;
}

TEST (QuotaShares, OwnShareProducesItsFraction)
{
  const auto shares = make_shares (0, 4);
  EXPECT_DOUBLE_EQ (quota_shares_fraction (shares.get (), 1000), 0.25);
  EXPECT_DOUBLE_EQ (quota_shares_integral_s (shares.get (), 8000), 2);
}

TEST (QuotaShares, NothingIsUsableUntilHostCountIsKnown)
{
  const auto shares = make_shares (0, 0);
  EXPECT_DOUBLE_EQ (quota_shares_fraction (shares.get (), 1000), 0);
  EXPECT_DOUBLE_EQ (quota_shares_integral_s (shares.get (), 1000), 0);
  quota_shares_note_host_count (shares.get (), 1000, 2);
  EXPECT_DOUBLE_EQ (quota_shares_integral_s (shares.get (), 2000), 0.5);
}

TEST (QuotaShares, LeasedShareCountsUntilItsEnd)
{
  const auto shares = make_shares (INT64_MAX, 2);
  quota_shares_add_lease (shares.get (), 1000, 7, 1000);
  EXPECT_DOUBLE_EQ (quota_shares_fraction (shares.get (), 1400), 0.5);
  EXPECT_DOUBLE_EQ (quota_shares_integral_s (shares.get (), 9000), 0.2475);
  EXPECT_DOUBLE_EQ (quota_shares_fraction (shares.get (), 9000), 0);
}

/* Guards against a lease that arrives seconds late, as at a suspended
   coordinator: the lessor uses its share again by then. */
TEST (QuotaShares, LateLeaseHasEnded)
{
  const auto shares = make_shares (INT64_MAX, 2);
  quota_shares_add_lease (shares.get (), 4000, 7, 1000);
  EXPECT_DOUBLE_EQ (quota_shares_fraction (shares.get (), 4000), 0);
  EXPECT_DOUBLE_EQ (quota_shares_integral_s (shares.get (), 9000), 0);
}

/* Guards against counting renewals of one lessor as several shares, also if
   an old one arrives late. */
TEST (QuotaShares, RenewalsOfOneLessorAreOneShare)
{
  const auto shares = make_shares (INT64_MAX, 2);
  quota_shares_add_lease (shares.get (), 0, 7, 0);
  quota_shares_add_lease (shares.get (), 200, 7, 200);
  quota_shares_add_lease (shares.get (), 300, 7, 100);
  EXPECT_DOUBLE_EQ (quota_shares_fraction (shares.get (), 650), 0.5);
  EXPECT_DOUBLE_EQ (quota_shares_integral_s (shares.get (), 9000), 0.3475);
}

/* Guards against a stamp from before a restart of the machine: its clock
   starts again at 0, so the time would be meaningless. */
TEST (QuotaStamp, BelongsToOneProcessAndIsNotInTheFuture)
{
  int64_t time_ms;
  const uint64_t stamp = quota_stamp_make (5, 123456);
  ASSERT_TRUE (quota_stamp_parse (5, stamp, 200000, &time_ms));
  EXPECT_EQ (time_ms, 123456);
  EXPECT_FALSE (quota_stamp_parse (5, stamp, 123455, &time_ms));
  EXPECT_FALSE (quota_stamp_parse (7, stamp, 200000, &time_ms));
  EXPECT_FALSE (quota_stamp_parse (5, 0, 200000, &time_ms));
}

TEST (QuotaShares, OwnShareDoesNotCountWhileLeasedOut)
{
  const auto shares = make_shares (0, 1);
  quota_shares_set_own_from (shares.get (), 1000, 1700);
  EXPECT_DOUBLE_EQ (quota_shares_fraction (shares.get (), 1500), 0);
  EXPECT_DOUBLE_EQ (quota_shares_integral_s (shares.get (), 2000), 1.3);
}

/* Guards against a host that starts alone, knows few others and reports a
   low number of hosts: a coordinator that used it would overestimate each
   share. */
TEST (QuotaShares, HighestHostCountIsRetained)
{
  const auto shares = make_shares (0, 10);
  quota_shares_note_host_count (shares.get (), 1000, 2);
  EXPECT_EQ (quota_shares_host_count (shares.get ()), 10u);
  quota_shares_note_host_count (shares.get (), 2000, 12);
  EXPECT_EQ (quota_shares_host_count (shares.get ()), 12u);
  for (int64_t now_ms = 3000; now_ms < 70000; now_ms += 1000)
    quota_shares_note_host_count (shares.get (), now_ms, 11);
  EXPECT_EQ (quota_shares_host_count (shares.get ()), 11u);
}

const quota_tolerance tolerance = { 5000, 10, 20 };

TEST (QuotaLease, IsWithOneCoordinatorAtATime)
{
  quota_lease lease;
  quota_lease_init (&lease, 0, &tolerance);
  EXPECT_TRUE (quota_lease_renew (&lease, 1000, 1));
  EXPECT_FALSE (quota_lease_renew (&lease, 1100, 2));
  EXPECT_TRUE (quota_lease_renew (&lease, 1200, 1));
  EXPECT_FALSE (quota_lease_renew (&lease, 1200 + QUOTA_LEASE_MS - 1, 2));
  EXPECT_TRUE (quota_lease_renew (&lease, 1200 + QUOTA_LEASE_MS, 2));
}

/* Guards against using a share that was leased just before the host was
   killed and restarted: the lessee may still use it. */
TEST (QuotaLease, WaitsAfterStartForPossibleLease)
{
  quota_lease lease;
  quota_lease_init (&lease, 1000, &tolerance);
  EXPECT_FALSE (quota_lease_renew (&lease, 1000, 1));
  EXPECT_EQ (lease.expires_ms, 1000 + QUOTA_LEASE_MS - 400);
  EXPECT_TRUE (quota_lease_renew (&lease, lease.expires_ms, 1));
}
} // namespace
