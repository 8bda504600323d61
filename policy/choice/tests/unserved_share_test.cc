/* The share of requests that aren't served, by what is known at a host. */
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

TEST (ServedShare, SaysNothingOfAFew)
{
  unserved_share share = {};
  for (int i = 0; i < 4; i++)
    add (&share, 0, ATTEMPT_CUT, false);
  EXPECT_EQ (unserved_share_value (&share, 0), 0);
  add (&share, 0, ATTEMPT_CUT, false);
  EXPECT_EQ (unserved_share_value (&share, 0), 1);
}

TEST (ServedShare, WhatMayBeRepeatedIsMostlyServedInTheEnd)
{
  unserved_share once = {};
  unserved_share often = {};
  for (int i = 0; i < 10; i++)
    {
      add (&once, 0, ATTEMPT_CUT, false);
      add (&often, 0, ATTEMPT_CUT, true);
    }
  EXPECT_LT (unserved_share_value (&often, 0),
             unserved_share_value (&once, 0));
  EXPECT_GT (unserved_share_value (&often, 0), 0.5);
}

/* A third of a service's requests is over a quota: no attempt fails. */
TEST (ServedShare, RefusalsCount)
{
  unserved_share share = {};
  for (int i = 0; i < 30; i++)
    if (i % 3 == 0)
      unserved_share_add_refused (&share, 0);
    else
      add (&share, 0, ATTEMPT_ANSWERED, true);
  EXPECT_NEAR (unserved_share_value (&share, 0), 1.0 / 3, 0.001);
}

TEST (ServedShare, ACallerThatLeavesSaysNothingAndAllFades)
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

/* One of six hosts has lost its ways to most targets, and a tenth of the
   service's requests fails, all of them there.  The other five see nothing of
   it but what it tells. */
TEST (ServedShare, WhatFailsAtOthersCounts)
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

/* All targets shed half of what they get, which hosts don't tell each other.
 */
TEST (ServedShare, WhatIsShedHereIsShedElsewhere)
{
  unserved_share share = {};
  for (int i = 0; i < 100; i++)
    add (&share, 0, i % 2 == 0 ? ATTEMPT_SHED : ATTEMPT_ANSWERED, false);
  EXPECT_NEAR (unserved_share_value (&share, 6), 0.5, 0.001);
  EXPECT_NEAR (unserved_share_value (&share, 0), 0.5, 0.001);
}

/* What this host refuses for quotas, the others refuse as well. */
TEST (ServedShare, RefusalsAreTakenForThoseOfAll)
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
