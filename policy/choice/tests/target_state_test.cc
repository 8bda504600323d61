/* One target as a host sees it: warm-up, tiers, and what others tell of it. */
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
  return { 1, slots, 0, false, true, warm_up_us };
}

TEST (TargetState, OneThatWasThereBeforeIsWarm)
{
  const policy_target some = config ();
  target_state t = target_state_initial (&some, INT64_MIN, 5 * second, 0.1);
  EXPECT_EQ (target_state_warm_up_factor (&t, 5 * second), 1);
  EXPECT_EQ (target_state_tier (&t, 5 * second), TIER_HEALTHY);
}

/* One that joins gets a part of its slots, and ever more of them. */
TEST (TargetState, OneThatJoinsStartsSlowly)
{
  const policy_target some = config (10);
  target_state t = target_state_initial (&some, 0, 0, 0.1);
  EXPECT_LT (target_state_warm_up_factor (&t, 0), 0.2);
  t.in_flight = 3;
  EXPECT_EQ (target_state_tier (&t, second), TIER_WARMING);
  EXPECT_EQ (target_state_tier (&t, 5 * second), TIER_HEALTHY);
  t.in_flight = 10;
  EXPECT_EQ (target_state_tier (&t, TARGET_WARM_UP_US), TIER_NONE);
  EXPECT_EQ (t.warm_up_start_us, INT64_MIN);
}

/* It says that it is slow for a second yet, and later says so again: what is
   left counts from the first word. */
TEST (TargetState, AWarmUpThatIsToldIsNotBegunAgain)
{
  const policy_target some = config (4, second);
  const target_state joined = target_state_initial (&some, 0, 0, 0.1);
  const target_state t = target_state_with_config (&joined, &some, second / 2);
  EXPECT_EQ (target_state_warm_up_factor (&t, second), 1);
}

TEST (TargetState, OneThatTakesWorkAgainStartsSlowly)
{
  policy_target some = config ();
  const target_state before = target_state_initial (&some, INT64_MIN, 0, 0.1);
  some.accepts_work = false;
  const target_state drained
      = target_state_with_config (&before, &some, second);
  EXPECT_FALSE (target_state_is_eligible (&drained));
  some.accepts_work = true;
  const target_state t
      = target_state_with_config (&drained, &some, 2 * second);
  EXPECT_LT (target_state_warm_up_factor (&t, 2 * second), 1);
}

/* What hangs is told of seconds after it was sent. */
TEST (TargetState, EndsOfOldAttemptsAreNoUse)
{
  const policy_target some = config ();
  target_state t = target_state_initial (&some, INT64_MIN, 0, 0.1);
  target_state_note_remote_use (&t, 9 * second, ATTEMPT_TIMED_OUT, second);
  EXPECT_EQ (t.last_used_us, 0);
  target_state_note_remote_use (&t, 9 * second, ATTEMPT_ANSWERED, second);
  EXPECT_EQ (t.last_used_us, 8 * second);
  target_state_note_remote_use (&t, 8 * second, ATTEMPT_ANSWERED, second);
  EXPECT_EQ (t.last_used_us, 8 * second);
}

/* Only what is in another host's subset needs cover, and only from a host that
   doesn't doubt it. */
TEST (TargetState, CoverIsForTheSubsetsOfOthers)
{
  policy_target some = config ();
  target_state own = target_state_initial (&some, INT64_MIN, 0, 0.1);
  some.is_backup = true;
  target_state other = target_state_initial (&some, INT64_MIN, 0, 0.1);
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
