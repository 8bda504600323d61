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

/* Only targets in another host's subset need a backup, and only from a host
   that doesn't suspect them. */
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
  EXPECT_FALSE (target_state_needs_backup (&other, second));
}
}
