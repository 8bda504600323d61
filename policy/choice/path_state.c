#include "policy/choice/path_state.h"

enum
{
  /* A test of a path that is still cut costs one request the time of a
     connection timeout. */
  TEST_INTERVAL_MS = 2000,
  /* A target that is down can't be reached from any host, and each indirect
     attempt costs two hosts some time. */
  BACKOFF_MIN_MS = 500,
  BACKOFF_SHIFT_MAX = 4,
};

static uint32_t
age_ms (int64_t now_ms, uint32_t at_ms)
{
  return (uint32_t)now_ms - at_ms;
}

static bool
is_backing_off (const struct path_state *state, int64_t now_ms)
{
  if (state->failures == 0)
    return false;
  const uint32_t doublings = state->failures - 1u;
  const uint32_t shift
      = doublings < BACKOFF_SHIFT_MAX ? doublings : BACKOFF_SHIFT_MAX;
  return age_ms (now_ms, state->failed_ms) < (uint32_t)BACKOFF_MIN_MS << shift;
}

bool
path_state_choose_indirect (struct path_state *state, int64_t now_ms)
{
  if (!state->is_cut || is_backing_off (state, now_ms))
    return false;
  if (age_ms (now_ms, state->tested_ms) < TEST_INTERVAL_MS)
    return true;
  state->tested_ms = (uint32_t)now_ms;
  return false;
}

void
path_state_note_direct (struct path_state *state, int64_t now_ms,
                        enum attempt_end end)
{
  if (end == ATTEMPT_NOT_SENT)
    {
      state->is_cut = true;
      state->tested_ms = (uint32_t)now_ms;
    }
  else if (end != ATTEMPT_CANCELLED)
    *state = (struct path_state){ 0 };
}

void
path_state_note_indirect (struct path_state *state, int64_t now_ms,
                          enum attempt_end end)
{
  if (end == ATTEMPT_ANSWERED || end == ATTEMPT_FAILED || end == ATTEMPT_SHED)
    state->failures = 0;
  if (end != ATTEMPT_NOT_SENT)
    return;
  state->failed_ms = (uint32_t)now_ms;
  if (state->failures < UINT8_MAX)
    state->failures++;
}
