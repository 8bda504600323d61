#include <initializer_list>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "policy/floor/floor_view.h"
}

namespace
{
struct FloorView : testing::Test
{
  floor_view *view = floor_view_create ();
  ~FloorView () override
  {
    floor_view_destroy (view);
  }
  bool
  apply (int64_t now_ms, int64_t poll_ms, uint64_t epoch, uint64_t sequence,
         std::initializer_list<const char *> targets)
  {
    char names[4][FLOOR_NAME_SIZE] = {};
    size_t count = 0;
    for (const char *t : targets)
      snprintf (names[count++], FLOOR_NAME_SIZE, "%s", t);
    const floor_decision decision = { epoch, sequence, 100, names, count };
    return floor_view_apply (view, now_ms, poll_ms, &decision);
  }
  bool
  ejected (int64_t now_ms, const char *target)
  {
    return floor_view_ejected (view, now_ms, target);
  }
};

TEST_F (FloorView, EnforcesFromThePollForItsTime)
{
  EXPECT_TRUE (apply (1010, 1000, 1, 1, { "a" }));
  EXPECT_TRUE (ejected (1099, "a"));
  EXPECT_FALSE (ejected (1099, "b"));
  EXPECT_FALSE (ejected (1100, "a"));
  EXPECT_FALSE (floor_view_tick (view, 1099));
  EXPECT_TRUE (floor_view_tick (view, 1100));
  EXPECT_FALSE (floor_view_tick (view, 1101));
}

TEST_F (FloorView, RenewsWithoutChange)
{
  apply (1010, 1000, 1, 1, { "a" });
  EXPECT_FALSE (apply (1060, 1050, 1, 1, { "a" }));
  EXPECT_TRUE (ejected (1149, "a"));
  EXPECT_FALSE (apply (1070, 1020, 1, 1, { "a" }));
  EXPECT_TRUE (ejected (1149, "a"));
}

// The answer to an old poll was delayed and arrives when its time is over.  If
// it were applied, a target that its owner counts as reinstated would be
// ejected.
TEST_F (FloorView, DelayedAnswerEjectsNothing)
{
  EXPECT_FALSE (apply (1100, 1000, 1, 1, { "a" }));
  EXPECT_FALSE (ejected (1100, "a"));
}

// The old owner can't reach the platform, has no notice of its successor and
// sends its decision to a host that already received the new one.  If it were
// applied, two targets would be ejected where one is allowed.
TEST_F (FloorView, LowerEpochIsIgnored)
{
  apply (1010, 1000, 2, 1, { "b" });
  EXPECT_FALSE (apply (1020, 1015, 1, 9, { "a" }));
  EXPECT_FALSE (ejected (1020, "a"));
  EXPECT_TRUE (ejected (1020, "b"));
}

TEST_F (FloorView, EpochReportedElsewhereLetsTheLowerOneExpire)
{
  apply (1010, 1000, 1, 1, { "a" });
  floor_view_epoch_seen (view, 2);
  EXPECT_FALSE (apply (1050, 1040, 1, 1, { "a" }));
  EXPECT_TRUE (ejected (1099, "a"));
  EXPECT_FALSE (ejected (1100, "a"));
  EXPECT_EQ (floor_view_epoch (view), 2U);
}

// Two decisions of one owner arrive out of order.  If the older one were
// applied, a reinstated target would be ejected again.
TEST_F (FloorView, ReorderedDecisions)
{
  apply (1010, 1000, 1, 2, {});
  EXPECT_FALSE (apply (1012, 1005, 1, 1, { "a" }));
  EXPECT_FALSE (ejected (1012, "a"));
}

// The answer is to a poll that this host sent before a reboot reset its clock.
// If it were applied, a target would stay ejected far too long.
TEST_F (FloorView, PollTimeInTheFutureIsIgnored)
{
  EXPECT_FALSE (apply (1000, 500000, 1, 1, { "a" }));
  EXPECT_FALSE (ejected (1000, "a"));
}

TEST_F (FloorView, AppliesTheWholeNewDecision)
{
  apply (1010, 1000, 1, 1, { "a", "b" });
  EXPECT_TRUE (apply (1020, 1015, 1, 2, { "b", "c" }));
  const char (*targets)[FLOOR_NAME_SIZE];
  EXPECT_EQ (floor_view_targets (view, &targets), 2U);
  EXPECT_FALSE (ejected (1030, "a"));
  EXPECT_TRUE (ejected (1030, "c"));
  EXPECT_EQ (floor_view_expires_ms (view), 1115);
}
}
