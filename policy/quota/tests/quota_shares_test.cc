/* Which shares of all quotas a host may use, and what they make. */
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
make (int64_t own_from_ms, uint32_t hosts)
{
  shares_ptr shares
      = { quota_shares_create (0, own_from_ms), quota_shares_destroy };
  if (hosts > 0)
    quota_shares_note_host_count (shares.get (), 0, hosts);
  return shares;
}

TEST (QuotaShares, TheOwnOneMakesItsPart)
{
  const auto shares = make (0, 4);
  EXPECT_DOUBLE_EQ (quota_shares_fraction (shares.get (), 1000), 0.25);
  EXPECT_DOUBLE_EQ (quota_shares_integral_s (shares.get (), 8000), 2);
}

TEST (QuotaShares, NothingIsUsableWhileTheFleetIsntKnown)
{
  const auto shares = make (0, 0);
  EXPECT_DOUBLE_EQ (quota_shares_fraction (shares.get (), 1000), 0);
  EXPECT_DOUBLE_EQ (quota_shares_integral_s (shares.get (), 1000), 0);
  quota_shares_note_host_count (shares.get (), 1000, 2);
  EXPECT_DOUBLE_EQ (quota_shares_integral_s (shares.get (), 2000), 0.5);
}

TEST (QuotaShares, ALentOneCountsUntilItsEndAndNoLonger)
{
  const auto shares = make (INT64_MAX, 2);
  quota_shares_add_lease (shares.get (), 1000, 7, 1000);
  EXPECT_DOUBLE_EQ (quota_shares_fraction (shares.get (), 1400), 0.5);
  EXPECT_DOUBLE_EQ (quota_shares_integral_s (shares.get (), 9000), 0.2475);
  EXPECT_DOUBLE_EQ (quota_shares_fraction (shares.get (), 9000), 0);
}

/* A lender's message lies for seconds at a keeper that is frozen.  The lender
   has its share back meanwhile. */
TEST (QuotaShares, ALoanThatCameLateIsOver)
{
  const auto shares = make (INT64_MAX, 2);
  quota_shares_add_lease (shares.get (), 4000, 7, 1000);
  EXPECT_DOUBLE_EQ (quota_shares_fraction (shares.get (), 4000), 0);
  EXPECT_DOUBLE_EQ (quota_shares_integral_s (shares.get (), 9000), 0);
}

/* Renewals of one lender, of which an old one comes late, are one share. */
TEST (QuotaShares, RenewalsOfOneLenderAreOneShare)
{
  const auto shares = make (INT64_MAX, 2);
  quota_shares_add_lease (shares.get (), 0, 7, 0);
  quota_shares_add_lease (shares.get (), 200, 7, 200);
  quota_shares_add_lease (shares.get (), 300, 7, 100);
  EXPECT_DOUBLE_EQ (quota_shares_fraction (shares.get (), 650), 0.5);
  EXPECT_DOUBLE_EQ (quota_shares_integral_s (shares.get (), 9000), 0.3475);
}

/* A machine starts anew and its clock begins at nothing: a stamp of the life
   before would be any time of it. */
TEST (QuotaStamp, IsOfOneLifeAndNotOfTheFuture)
{
  int64_t time_ms;
  const uint64_t stamp = quota_stamp_make (5, 123456);
  ASSERT_TRUE (quota_stamp_parse (5, stamp, 200000, &time_ms));
  EXPECT_EQ (time_ms, 123456);
  EXPECT_FALSE (quota_stamp_parse (5, stamp, 123455, &time_ms));
  EXPECT_FALSE (quota_stamp_parse (7, stamp, 200000, &time_ms));
  EXPECT_FALSE (quota_stamp_parse (5, 0, 200000, &time_ms));
}

TEST (QuotaShares, TheOwnOneDoesntCountWhileItIsLent)
{
  const auto shares = make (0, 1);
  quota_shares_set_own_from (shares.get (), 1000, 1700);
  EXPECT_DOUBLE_EQ (quota_shares_fraction (shares.get (), 1500), 0);
  EXPECT_DOUBLE_EQ (quota_shares_integral_s (shares.get (), 2000), 1.3);
}

/* A host that starts alone knows few others and tells their number.  A keeper
   that believed it would take each share for larger than it is. */
TEST (QuotaShares, TheHighestNumberOfHostsCountsForAWhile)
{
  const auto shares = make (0, 10);
  quota_shares_note_host_count (shares.get (), 1000, 2);
  EXPECT_EQ (quota_shares_host_count (shares.get ()), 10u);
  quota_shares_note_host_count (shares.get (), 2000, 12);
  EXPECT_EQ (quota_shares_host_count (shares.get ()), 12u);
  for (int64_t now_ms = 3000; now_ms < 70000; now_ms += 1000)
    quota_shares_note_host_count (shares.get (), now_ms, 11);
  EXPECT_EQ (quota_shares_host_count (shares.get ()), 11u);
}

const quota_tolerance terms = { 5000, 10, 20 };

TEST (QuotaLending, IsToOneKeeperAtATime)
{
  quota_lease lending;
  quota_lease_init (&lending, 0, &terms);
  EXPECT_TRUE (quota_lease_renew (&lending, 1000, 1));
  EXPECT_FALSE (quota_lease_renew (&lending, 1100, 2));
  EXPECT_TRUE (quota_lease_renew (&lending, 1200, 1));
  EXPECT_FALSE (quota_lease_renew (&lending, 1200 + QUOTA_LEASE_MS - 1, 2));
  EXPECT_TRUE (quota_lease_renew (&lending, 1200 + QUOTA_LEASE_MS, 2));
}

/* A host is killed right after it has lent its share, and starts anew: the
   share may still be in use elsewhere. */
TEST (QuotaLending, AfterAStartItWaitsForWhatMayBeLent)
{
  quota_lease lending;
  quota_lease_init (&lending, 1000, &terms);
  EXPECT_FALSE (quota_lease_renew (&lending, 1000, 1));
  EXPECT_EQ (lending.expires_ms, 1000 + QUOTA_LEASE_MS - 400);
  EXPECT_TRUE (quota_lease_renew (&lending, lending.expires_ms, 1));
}
} // namespace
