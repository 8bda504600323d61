/* Whether a host is cut from all targets. */
#include <gtest/gtest.h>

extern "C"
{
#include "policy/choice/reach_state.h"
}

namespace
{

class ReachState : public testing::Test
{
protected:
  /* Play the round in progress, of which no probe connects, or all do. */
  reach_change
  end_round (uint32_t probes, bool connects)
  {
    reach_step step = {};
    for (uint32_t left = probes; left > 0; left--)
      {
        step = reach_state_note_probe (&state, now_ms, connects);
        left += step.probes;
      }
    EXPECT_TRUE (step.is_round_end);
    return step.change;
  }

  /* The next round that is due on suspicion. */
  reach_change
  next_round (bool connects)
  {
    now_ms += 1000;
    const uint32_t probes = reach_state_begin (&state, now_ms, true);
    EXPECT_GT (probes, 0u);
    return end_round (probes, connects);
  }

  reach_state state = {};
  int64_t now_ms = 1000000;
};

/* One target that doesn't accept a connection says nothing about the others.
 */
TEST_F (ReachState, OneFailedProbeIsNotEnough)
{
  EXPECT_EQ (reach_state_begin (&state, now_ms, true), 1u);
  const reach_step first = reach_state_note_probe (&state, now_ms, false);
  EXPECT_GT (first.probes, 1u);
  EXPECT_FALSE (first.is_round_end);
  uint32_t left = first.probes;
  for (; left > 1; left--)
    reach_state_note_probe (&state, now_ms, false);
  const reach_step last = reach_state_note_probe (&state, now_ms, true);
  EXPECT_TRUE (last.is_round_end);
  EXPECT_EQ (last.change, REACH_UNCHANGED);
  EXPECT_FALSE (state.is_cut);
}

/* A host that no target accepts is cut, and stays so until it has connected
   in two rounds in succession: a path that works at times would take requests
   back and forth. */
TEST_F (ReachState, IsRestoredAfterTwoGoodRounds)
{
  EXPECT_EQ (next_round (false), REACH_LOST);
  EXPECT_TRUE (state.is_cut);
  EXPECT_EQ (next_round (true), REACH_UNCHANGED);
  EXPECT_EQ (next_round (false), REACH_UNCHANGED);
  EXPECT_EQ (next_round (true), REACH_UNCHANGED);
  EXPECT_TRUE (state.is_cut);
  EXPECT_EQ (next_round (true), REACH_RESTORED);
  EXPECT_FALSE (state.is_cut);
  EXPECT_EQ (next_round (false), REACH_LOST) << "earlier rounds don't count";
}

/* A host without requests would find out with its first ones only. */
TEST_F (ReachState, IdleHostProbes)
{
  reach_state_note_contact (&state, now_ms);
  EXPECT_EQ (reach_state_begin (&state, now_ms + 9000, false), 0u);
  EXPECT_EQ (reach_state_begin (&state, now_ms + 10000, false), 1u);
}

/* Targets that answer need no probes, which cost each of them a connection. */
TEST_F (ReachState, NoProbesWhileTargetsAnswer)
{
  for (int i = 0; i < 100; i++)
    {
      now_ms += 1000;
      reach_state_note_contact (&state, now_ms);
      EXPECT_EQ (reach_state_begin (&state, now_ms, false), 0u);
    }
}

/* Many attempts that fail at once are one suspicion. */
TEST_F (ReachState, RoundsAreLimited)
{
  int begun = 0;
  for (int i = 0; i < 1000; i++, now_ms++)
    {
      const uint32_t probes = reach_state_begin (&state, now_ms, true);
      if (probes > 0)
        end_round (probes, true);
      begun += probes > 0 ? 1 : 0;
    }
  EXPECT_LE (begun, 5);
}

} // namespace
