#include <gtest/gtest.h>

extern "C"
{
#include "policy/limit/limit_state.h"
}

namespace
{
struct LimitState : testing::Test
{
  limit_state state = {};
};

/* Guards against a late response that restores an earlier limit. */
TEST_F (LimitState, AnswerToLatestRequestTakesPrecedence)
{
  EXPECT_TRUE (limit_state_note_answer (&state, 2000, 100));
  EXPECT_FALSE (limit_state_note_answer (&state, 2000, 200));
  EXPECT_TRUE (limit_state_note_answer (&state, 500, 300));
  EXPECT_FALSE (limit_state_note_answer (&state, 2000, 250));
  EXPECT_EQ (state.rate_millis, 500u);
}

/* Guards against a limit that is lifted by a single response without the
   field. */
TEST_F (LimitState, IsWithdrawnAfterDelayWithoutField)
{
  limit_state_note_answer (&state, 2000, 100);
  EXPECT_FALSE (limit_state_note_missing (&state, 5000, 90));
  EXPECT_FALSE (limit_state_note_missing (&state, 5000, 200));
  EXPECT_FALSE (limit_state_note_missing (
      &state, 5000 + LIMIT_WITHDRAWAL_DELAY_US - 1, 300));
  EXPECT_FALSE (limit_state_note_answer (&state, 2000, 400));
  EXPECT_FALSE (limit_state_note_missing (
      &state, 5000 + LIMIT_WITHDRAWAL_DELAY_US, 500));
  EXPECT_TRUE (limit_state_note_missing (
      &state, 5000 + 2 * LIMIT_WITHDRAWAL_DELAY_US, 600));
  EXPECT_EQ (state.rate_millis, 0u);
}

/* Guards against hosts that forward the same limit endlessly or restore a
   withdrawn one. */
TEST_F (LimitState, OlderReportsOfOtherHostsAreIgnored)
{
  EXPECT_TRUE (limit_state_note_reported (&state, 2000, 100));
  EXPECT_FALSE (limit_state_note_reported (&state, 2000, 100));
  EXPECT_FALSE (limit_state_note_reported (&state, 2000, 150));
  EXPECT_TRUE (limit_state_note_reported (&state, 0, 200));
  EXPECT_FALSE (limit_state_note_reported (&state, 2000, 150));
  EXPECT_EQ (state.rate_millis, 0u);
}
} // namespace
