#include "policy/choice/reach_state.h"

#include <assert.h>

enum
{
  FIRST_PROBES = 1,
  WIDE_PROBES = 4,
  /* Between two rounds. */
  CUT_INTERVAL_MS = 250,
  SUSPICIOUS_INTERVAL_MS = 200,
  /* A host without requests finds out within this time.  One with requests
     needs no such probes, since these show it. */
  IDLE_INTERVAL_MS = 10000,
  /* A path that works only at times would else take requests back and forth.
   */
  GOOD_ROUNDS_MIN = 2,
};

void
reach_state_note_contact (struct reach_state *state, int64_t now_ms)
{
  state->contact_ms = now_ms;
}

int64_t
reach_state_silence_ms (const struct reach_state *state, int64_t now_ms)
{
  return now_ms - state->contact_ms;
}

uint32_t
reach_state_begin_now (struct reach_state *state)
{
  if (state->pending > 0)
    return 0;
  state->round++;
  state->is_reached = false;
  state->is_wide = state->is_cut;
  state->pending = state->is_cut ? WIDE_PROBES : FIRST_PROBES;
  return state->pending;
}

uint32_t
reach_state_begin (struct reach_state *state, int64_t now_ms,
                   bool is_suspicious)
{
  const int64_t since_ms = now_ms - state->round_end_ms;
  bool is_due = reach_state_silence_ms (state, now_ms) >= IDLE_INTERVAL_MS
                && since_ms >= IDLE_INTERVAL_MS;
  if (state->is_cut)
    is_due = since_ms >= CUT_INTERVAL_MS;
  else if (is_suspicious)
    is_due = since_ms >= SUSPICIOUS_INTERVAL_MS;
  return is_due ? reach_state_begin_now (state) : 0;
}

static enum reach_change
end_round (struct reach_state *state)
{
  const bool was_cut = state->is_cut;
  state->good_rounds = state->is_reached ? state->good_rounds + 1 : 0;
  if (was_cut)
    state->is_cut = state->good_rounds < GOOD_ROUNDS_MIN;
  else
    {
      state->is_cut = !state->is_reached;
      state->good_rounds = 0;
    }
  if (state->is_cut == was_cut)
    return REACH_UNCHANGED;
  return state->is_cut ? REACH_LOST : REACH_RESTORED;
}

enum reach_change
reach_state_cancel_round (struct reach_state *state, int64_t now_ms)
{
  const bool was_cut = state->is_cut;
  state->pending = 0;
  state->is_reached = true;
  state->is_cut = false;
  state->good_rounds = 0;
  state->round_end_ms = now_ms;
  return was_cut ? REACH_RESTORED : REACH_UNCHANGED;
}

struct reach_step
reach_state_note_probe (struct reach_state *state, int64_t now_ms,
                        bool is_connected)
{
  struct reach_step step = { 0 };
  assert (state->pending > 0);
  state->pending--;
  if (is_connected)
    {
      state->is_reached = true;
      state->contact_ms = now_ms;
    }
  if (state->pending > 0)
    return step;
  if (!state->is_reached && !state->is_wide)
    {
      state->is_wide = true;
      state->pending = WIDE_PROBES;
      step.probes = WIDE_PROBES;
      return step;
    }
  state->round_end_ms = now_ms;
  step.is_round_end = true;
  step.change = end_round (state);
  return step;
}
