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
  hear (int64_t now_ms, int64_t poll_ms, uint64_t epoch, uint64_t sequence,
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
  out (int64_t now_ms, const char *target)
  {
    return floor_view_ejected (view, now_ms, target);
  }
};

TEST_F (FloorView, EnforcesForItsTimeFromThePoll)
{
  EXPECT_TRUE (hear (1010, 1000, 1, 1, { "a" }));
  EXPECT_TRUE (out (1099, "a"));
  EXPECT_FALSE (out (1099, "b"));
  EXPECT_FALSE (out (1100, "a"));
  EXPECT_FALSE (floor_view_tick (view, 1099));
  EXPECT_TRUE (floor_view_tick (view, 1100));
  EXPECT_FALSE (floor_view_tick (view, 1101));
}

TEST_F (FloorView, RefreshesWithoutChange)
{
  hear (1010, 1000, 1, 1, { "a" });
  EXPECT_FALSE (hear (1060, 1050, 1, 1, { "a" }));
  EXPECT_TRUE (out (1149, "a"));
  EXPECT_FALSE (hear (1070, 1020, 1, 1, { "a" }));
  EXPECT_TRUE (out (1149, "a"));
}

// A user would see a target without work although its owner counts it as
// back: the answer to an old poll was held up on the way and arrives when its
// time is over.
TEST_F (FloorView, AnAnswerLongUnderWayTakesNothingOut)
{
  EXPECT_FALSE (hear (1100, 1000, 1, 1, { "a" }));
  EXPECT_FALSE (out (1100, "a"));
}

// A user would see two targets out where one was allowed: the old owner was
// cut off from the platform, doesn't know of its successor and tells its
// decision to a host that has already heard the new one.
TEST_F (FloorView, ALowerEpochRefreshesNothing)
{
  hear (1010, 1000, 2, 1, { "b" });
  EXPECT_FALSE (hear (1020, 1015, 1, 9, { "a" }));
  EXPECT_FALSE (out (1020, "a"));
  EXPECT_TRUE (out (1020, "b"));
}

TEST_F (FloorView, AnEpochHeardElsewhereLetsTheLowerOneLapse)
{
  hear (1010, 1000, 1, 1, { "a" });
  floor_view_epoch_seen (view, 2);
  EXPECT_FALSE (hear (1050, 1040, 1, 1, { "a" }));
  EXPECT_TRUE (out (1099, "a"));
  EXPECT_FALSE (out (1100, "a"));
  EXPECT_EQ (floor_view_epoch (view), 2U);
}

// A user would see a reinstated target lose its work again: two decisions of
// one owner overtake each other.
TEST_F (FloorView, DecisionsOvertakingEachOther)
{
  hear (1010, 1000, 1, 2, {});
  EXPECT_FALSE (hear (1012, 1005, 1, 1, { "a" }));
  EXPECT_FALSE (out (1012, "a"));
}

// A user would see a target out for very long: the answer is to a poll of
// this host before its machine rebooted and its clock began anew.
TEST_F (FloorView, APollOfTheFutureIsNotOurs)
{
  EXPECT_FALSE (hear (1000, 500000, 1, 1, { "a" }));
  EXPECT_FALSE (out (1000, "a"));
}

TEST_F (FloorView, TakesTheNewDecisionWhole)
{
  hear (1010, 1000, 1, 1, { "a", "b" });
  EXPECT_TRUE (hear (1020, 1015, 1, 2, { "b", "c" }));
  const char (*targets)[FLOOR_NAME_SIZE];
  EXPECT_EQ (floor_view_targets (view, &targets), 2U);
  EXPECT_FALSE (out (1030, "a"));
  EXPECT_TRUE (out (1030, "c"));
  EXPECT_EQ (floor_view_until_ms (view), 1115);
}
}
