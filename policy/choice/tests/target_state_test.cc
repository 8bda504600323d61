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
  target_state t = target_state_begin (&some, INT64_MIN, 5 * second, 0.1);
  EXPECT_EQ (target_state_warmth (&t, 5 * second), 1);
  EXPECT_EQ (target_state_tier (&t, 5 * second), TIER_CLEAR);
}

/* One that joins gets a part of its slots, and ever more of them. */
TEST (TargetState, OneThatJoinsStartsSlowly)
{
  const policy_target some = config (10);
  target_state t = target_state_begin (&some, 0, 0, 0.1);
  EXPECT_LT (target_state_warmth (&t, 0), 0.2);
  t.in_flight = 3;
  EXPECT_EQ (target_state_tier (&t, second), TIER_WARMING);
  EXPECT_EQ (target_state_tier (&t, 5 * second), TIER_CLEAR);
  t.in_flight = 10;
  EXPECT_EQ (target_state_tier (&t, TARGET_WARM_UP_US), TIER_NONE);
  EXPECT_EQ (t.warm_from_us, INT64_MIN);
}

/* It says that it is slow for a second yet, and later says so again: what is
   left counts from the first word. */
TEST (TargetState, AWarmUpThatIsToldIsNotBegunAgain)
{
  const policy_target some = config (4, second);
  const target_state joined = target_state_begin (&some, 0, 0, 0.1);
  const target_state t = target_state_follow (&joined, &some, second / 2);
  EXPECT_EQ (target_state_warmth (&t, second), 1);
}

TEST (TargetState, OneThatTakesWorkAgainStartsSlowly)
{
  policy_target some = config ();
  const target_state before = target_state_begin (&some, INT64_MIN, 0, 0.1);
  some.accepts_work = false;
  const target_state drained = target_state_follow (&before, &some, second);
  EXPECT_FALSE (target_state_is_eligible (&drained));
  some.accepts_work = true;
  const target_state t = target_state_follow (&drained, &some, 2 * second);
  EXPECT_LT (target_state_warmth (&t, 2 * second), 1);
}

/* What hangs is told of seconds after it was sent. */
TEST (TargetState, EndsOfOldAttemptsAreNoUse)
{
  const policy_target some = config ();
  target_state t = target_state_begin (&some, INT64_MIN, 0, 0.1);
  target_state_note_heard_use (&t, 9 * second, ATTEMPT_TIMED_OUT, second);
  EXPECT_EQ (t.used_us, 0);
  target_state_note_heard_use (&t, 9 * second, ATTEMPT_ANSWERED, second);
  EXPECT_EQ (t.used_us, 8 * second);
  target_state_note_heard_use (&t, 8 * second, ATTEMPT_ANSWERED, second);
  EXPECT_EQ (t.used_us, 8 * second);
}

/* Only what is in another host's subset needs cover, and only from a host that
   doesn't doubt it. */
TEST (TargetState, CoverIsForTheSubsetsOfOthers)
{
  policy_target some = config ();
  target_state own = target_state_begin (&some, INT64_MIN, 0, 0.1);
  some.is_backup = true;
  target_state other = target_state_begin (&some, INT64_MIN, 0, 0.1);
  EXPECT_FALSE (target_state_needs_cover (&other, 0));
  own.cover_us = other.cover_us = second;
  EXPECT_FALSE (target_state_needs_cover (&own, second));
  EXPECT_TRUE (target_state_needs_cover (&other, second));
  EXPECT_FALSE (target_state_needs_cover (&other, second + TARGET_COVER_US));
  other.failing = true;
  EXPECT_FALSE (target_state_needs_cover (&other, second));
}
}
