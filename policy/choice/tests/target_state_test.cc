/* The state of one target at a host: warm-up, tiers, and reports of other
   hosts. */
#include <gtest/gtest.h>

extern "C"
{
#include "policy/choice/target_state.h"
}

namespace
{
constexpr int64_t second = 1000000;

policy_target
config (uint32_t slots = 4, int64_t warm_up_us = -1)
{
  return { 1, slots, 0, 0, false, true, warm_up_us };
}

TEST (TargetState, ExistingTargetIsWarm)
{
  const policy_target target_config = config ();
  target_state t
      = target_state_initial (&target_config, INT64_MIN, 5 * second, 0.1);
  EXPECT_EQ (target_state_warm_up_factor (&t, 5 * second), 1);
  EXPECT_EQ (target_state_tier (&t, 5 * second), TIER_HEALTHY);
}

/* A target that joins gets a part of its slots, which grows over time. */
TEST (TargetState, JoiningTargetStartsSlowly)
{
  const policy_target target_config = config (10);
  target_state t = target_state_initial (&target_config, 0, 0, 0.1);
  EXPECT_LT (target_state_warm_up_factor (&t, 0), 0.2);
  t.in_flight = 3;
  EXPECT_EQ (target_state_tier (&t, second), TIER_WARMING);
  EXPECT_EQ (target_state_tier (&t, 5 * second), TIER_HEALTHY);
  t.in_flight = 10;
  EXPECT_EQ (target_state_tier (&t, TARGET_WARM_UP_US), TIER_NONE);
  EXPECT_EQ (t.warm_up_start_us, INT64_MIN);
}

/* A target reports one second of warm-up, and later reports it again: the
   remaining time counts from the first report. */
TEST (TargetState, DeclaredWarmUpIsNotRestarted)
{
  const policy_target target_config = config (4, second);
  const target_state joined = target_state_initial (&target_config, 0, 0, 0.1);
  const target_state t
      = target_state_with_config (&joined, &target_config, second / 2);
  EXPECT_EQ (target_state_warm_up_factor (&t, second), 1);
}

TEST (TargetState, TargetThatAcceptsWorkAgainStartsSlowly)
{
  policy_target target_config = config ();
  const target_state before
      = target_state_initial (&target_config, INT64_MIN, 0, 0.1);
  target_config.accepts_work = false;
  const target_state drained
      = target_state_with_config (&before, &target_config, second);
  EXPECT_FALSE (target_state_is_eligible (&drained));
  target_config.accepts_work = true;
  const target_state t
      = target_state_with_config (&drained, &target_config, 2 * second);
  EXPECT_LT (target_state_warm_up_factor (&t, 2 * second), 1);
}

/* Attempts that hang are reported seconds after they were sent. */
TEST (TargetState, EndsOfOldAttemptsAreNotUse)
{
  const policy_target target_config = config ();
  target_state t = target_state_initial (&target_config, INT64_MIN, 0, 0.1);
  target_state_note_remote_use (&t, 9 * second, ATTEMPT_TIMED_OUT, second);
  EXPECT_EQ (t.last_used_us, 0);
  target_state_note_remote_use (&t, 9 * second, ATTEMPT_ANSWERED, second);
  EXPECT_EQ (t.last_used_us, 8 * second);
  target_state_note_remote_use (&t, 8 * second, ATTEMPT_ANSWERED, second);
  EXPECT_EQ (t.last_used_us, 8 * second);
}

/* Only targets in another host's subset need a backup.  One that has failed
   needs it too once it may have recovered, since all hosts suspect it alike,
   but not from a host that couldn't reach it either. */
TEST (TargetState, BackupIsForTheSubsetsOfOthers)
{
  policy_target target_config = config ();
  target_state own = target_state_initial (&target_config, INT64_MIN, 0, 0.1);
  target_config.is_backup = true;
  target_state other
      = target_state_initial (&target_config, INT64_MIN, 0, 0.1);
  EXPECT_FALSE (target_state_needs_backup (&other, 0));
  own.unreachable_us = other.unreachable_us = second;
  EXPECT_FALSE (target_state_needs_backup (&own, second));
  EXPECT_TRUE (target_state_needs_backup (&other, second));
  EXPECT_FALSE (
      target_state_needs_backup (&other, second + TARGET_UNREACHABLE_TTL_US));
  other.failing = true;
  target_state_note_end (&other, second / 2, ATTEMPT_FAILED);
  EXPECT_FALSE (target_state_needs_backup (&other, second));
  other.unreachable_us = 3 * second;
  EXPECT_TRUE (target_state_needs_backup (&other, 3 * second));
  other.unsent_us = 2 * second;
  EXPECT_FALSE (target_state_needs_backup (&other, 3 * second));
}

/* An attempt that times out says nothing of the time after it began.  If its
   end counted, a target that failed only then would rest for seconds more. */
TEST (TargetState, RestCountsFromTheStartOfTheFailedAttempt)
{
  policy_target target_config = config ();
  target_config.is_backup = true;
  target_state t = target_state_initial (&target_config, INT64_MIN, 0, 0.1);
  target_state_note_end (&t, second, ATTEMPT_TIMED_OUT);
  target_state_note_end (&t, second / 2, ATTEMPT_CUT);
  target_state_note_end (&t, 2 * second, ATTEMPT_ANSWERED);
  t.unreachable_us = 3 * second;
  EXPECT_FALSE (target_state_needs_backup (&t, 3 * second - 1));
  EXPECT_TRUE (target_state_needs_backup (&t, 3 * second));
}
}
