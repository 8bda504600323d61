/* Whether a target is reached directly or through other hosts. */
#include <gtest/gtest.h>

extern "C"
{
#include "policy/choice/path_state.h"
}

namespace
{

constexpr int64_t start_ms = (INT64_C (1) << 32) - 1000; /* wraps around */

/* A direct attempt couldn't be sent, just now. */
path_state
unreachable ()
{
  path_state state = {};
  EXPECT_FALSE (path_state_choose_indirect (&state, start_ms));
  path_state_note_direct (&state, start_ms, ATTEMPT_NOT_SENT);
  return state;
}

TEST (PathState, AttemptsGoIndirectlyOnceOneIsNotSent)
{
  path_state state = unreachable ();
  EXPECT_TRUE (path_state_choose_indirect (&state, start_ms + 1));
  EXPECT_TRUE (path_state_choose_indirect (&state, start_ms + 1500));
}

/* Guards against a path that works again and is never used. */
TEST (PathState, DirectPathIsTestedRegularly)
{
  path_state state = unreachable ();
  EXPECT_FALSE (path_state_choose_indirect (&state, start_ms + 2000));
  EXPECT_TRUE (path_state_choose_indirect (&state, start_ms + 2001));
  path_state_note_direct (&state, start_ms + 2002, ATTEMPT_ANSWERED);
  EXPECT_FALSE (path_state_choose_indirect (&state, start_ms + 2002));
}

/* Guards against two hosts being kept busy for a target that is down. */
TEST (PathState, FailedIndirectAttemptsBackOff)
{
  path_state state = unreachable ();
  int64_t now_ms = start_ms + 1;
  for (int64_t backoff_ms : { 500, 1000 })
    {
      path_state_note_indirect (&state, now_ms, ATTEMPT_NOT_SENT);
      EXPECT_FALSE (
          path_state_choose_indirect (&state, now_ms + backoff_ms - 1));
      now_ms += backoff_ms;
    }
  EXPECT_TRUE (path_state_choose_indirect (&state, now_ms));
  path_state_note_indirect (&state, now_ms, ATTEMPT_ANSWERED);
  path_state_note_indirect (&state, now_ms, ATTEMPT_NOT_SENT);
  EXPECT_FALSE (path_state_choose_indirect (&state, now_ms + 499));
  EXPECT_EQ (state.failures, 1) << "begins anew after a success";
}

/* A caller that goes away says nothing about the path. */
TEST (PathState, CancelledAttemptChangesNothing)
{
  path_state state = unreachable ();
  path_state_note_direct (&state, start_ms + 1, ATTEMPT_CANCELLED);
  EXPECT_TRUE (path_state_choose_indirect (&state, start_ms + 1));
}

} // namespace
