/* The share of requests that aren't served, as estimated by one host. */
#include <gtest/gtest.h>

extern "C"
{
#include "policy/choice/unserved_share.h"
}

namespace
{
void
add (unserved_share *share, int64_t now_us, attempt_end end, bool repeatable)
{
  const policy_outcome outcome = { 0, end, 1000, repeatable };
  unserved_share_add (share, now_us, &outcome);
}

TEST (UnservedShare, IsZeroForFewAttempts)
{
  unserved_share share = {};
  for (int i = 0; i < 4; i++)
    add (&share, 0, ATTEMPT_CUT, false);
  EXPECT_EQ (unserved_share_value (&share, 0), 0);
  add (&share, 0, ATTEMPT_CUT, false);
  EXPECT_EQ (unserved_share_value (&share, 0), 1);
}

TEST (UnservedShare, RepeatableFailuresCountLess)
{
  unserved_share unrepeatable = {};
  unserved_share repeatable = {};
  for (int i = 0; i < 10; i++)
    {
      add (&unrepeatable, 0, ATTEMPT_CUT, false);
      add (&repeatable, 0, ATTEMPT_CUT, true);
    }
  EXPECT_LT (unserved_share_value (&repeatable, 0),
             unserved_share_value (&unrepeatable, 0));
  EXPECT_GT (unserved_share_value (&repeatable, 0), 0.5);
}

/* A third of a service's requests exceeds a quota, so no attempt fails. */
TEST (UnservedShare, RefusalsCount)
{
  unserved_share share = {};
  for (int i = 0; i < 30; i++)
    if (i % 3 == 0)
      unserved_share_add_refused (&share, 0);
    else
      add (&share, 0, ATTEMPT_ANSWERED, true);
  EXPECT_NEAR (unserved_share_value (&share, 0), 1.0 / 3, 0.001);
}

TEST (UnservedShare, CancelledAttemptsAreIgnoredAndFailuresDecay)
{
  unserved_share share = {};
  for (int i = 0; i < 20; i++)
    add (&share, 0, ATTEMPT_CUT, false);
  for (int i = 0; i < 100; i++)
    add (&share, 0, ATTEMPT_CANCELLED, false);
  EXPECT_EQ (unserved_share_value (&share, 0), 1);
  for (int i = 0; i < 20; i++)
    add (&share, 10000000, ATTEMPT_ANSWERED, false);
  EXPECT_LT (unserved_share_value (&share, 0), 0.01);
}

/* One of six hosts has lost its network path to most targets, and a tenth
   of the service's requests fails, all of them there.  The other five know
   of it only from that host's reports. */
TEST (UnservedShare, FailuresAtOtherHostsCount)
{
  unserved_share share = {};
  for (int i = 0; i < 100; i++)
    {
      add (&share, 0, ATTEMPT_ANSWERED, false);
      if (i % 10 < 6)
        unserved_share_add_remote (&share, 0, ATTEMPT_TIMED_OUT);
    }
  EXPECT_EQ (unserved_share_value (&share, 0), 0);
  EXPECT_NEAR (unserved_share_value (&share, 6), 0.1, 0.001);
}

/* All targets shed half of their requests, which hosts don't report to each
   other. */
TEST (UnservedShare, ShedRequestsAreAssumedAtOtherHostsToo)
{
  unserved_share share = {};
  for (int i = 0; i < 100; i++)
    add (&share, 0, i % 2 == 0 ? ATTEMPT_SHED : ATTEMPT_ANSWERED, false);
  EXPECT_NEAR (unserved_share_value (&share, 6), 0.5, 0.001);
  EXPECT_NEAR (unserved_share_value (&share, 0), 0.5, 0.001);
}

/* The other hosts are assumed to refuse as many requests for quotas as this
   one. */
TEST (UnservedShare, RefusalsAreAssumedAtOtherHostsToo)
{
  unserved_share share = {};
  for (int i = 0; i < 100; i++)
    if (i % 5 == 0)
      unserved_share_add_refused (&share, 0);
    else
      add (&share, 0, ATTEMPT_ANSWERED, false);
  EXPECT_NEAR (unserved_share_value (&share, 6), 0.2, 0.001);
}
}
