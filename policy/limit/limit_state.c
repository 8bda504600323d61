#include "policy/limit/limit_state.h"

static bool
set_limit (struct limit_state *state, uint32_t rate_millis, int64_t sent_us)
{
  const bool changes = state->rate_millis != rate_millis;
  state->rate_millis = rate_millis;
  state->sent_us = sent_us;
  state->missing_since_us = 0;
  return changes;
}

bool
limit_state_note_answer (struct limit_state *state, uint32_t rate_millis,
                         int64_t sent_us)
{
  return sent_us >= state->sent_us && set_limit (state, rate_millis, sent_us);
}

bool
limit_state_note_missing (struct limit_state *state, int64_t now_us,
                          int64_t sent_us)
{
  if (state->rate_millis == 0 || sent_us <= state->sent_us)
    return false;
  if (state->missing_since_us == 0)
    state->missing_since_us = now_us;
  return now_us - state->missing_since_us >= LIMIT_WITHDRAWAL_DELAY_US
         && set_limit (state, 0, sent_us);
}

bool
limit_state_note_reported (struct limit_state *state, uint32_t rate_millis,
                           int64_t sent_us)
{
  return sent_us > state->sent_us && set_limit (state, rate_millis, sent_us);
}
