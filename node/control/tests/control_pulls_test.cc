#include "node/control/tests/control_fixture.h"

extern "C"
{
#include "base/clock.h"
#include "base/hash.h"
#include "node/control/control_internal.h"
}

namespace
{

class ControlPulls : public ControlFixture
{
protected:
  enum
  {
    SMALL = 200,
    LARGE = 200000,
  };

  void
  SetUp () override
  {
    add ("h0", "d0").start (loop);
    add ("near-1", "d0").start (loop);
    add ("near-2", "d0").start (loop);
    add ("far", "d1").start (loop);
    ASSERT_TRUE (until ([&] { return all_meet (); }));
  }

  /* Does h0 ask FROM at once for VERSION of an object of HELD_BYTES? */
  bool
  wants (const std::string &from, uint64_t version, size_t held_bytes)
  {
    const control_offer offer
        = { 77, version, 1, held_bytes, hash_string (from.c_str ()) };
    return control_pulls_should_request (nodes[0]->task, &offer);
  }
};

/* A configuration of a thousand routes changes, and within milliseconds all
 * seven neighbours of a host offer it.  Fetched from each of them, every
 * change moves seven times its size over a link of 20 Mbit/s, at hundreds of
 * hosts at once. */
TEST_F (ControlPulls, AValueIsFetchedFromOneOfThoseWhoOfferIt)
{
  EXPECT_TRUE (wants ("near-1", 5, SMALL));
  EXPECT_FALSE (wants ("near-2", 5, SMALL));
  EXPECT_FALSE (wants ("far", 4, SMALL));
  EXPECT_TRUE (wants ("near-2", 6, SMALL));
  control_pulls_complete (nodes[0]->task, 77, 6);
  EXPECT_TRUE (wants ("far", 7, SMALL));
}

/* Who was asked is killed before it answers: another one is asked. */
TEST_F (ControlPulls, WhoDoesNotAnswerIsNotWaitedForLong)
{
  EXPECT_TRUE (wants ("near-1", 5, SMALL));
  bool is_asked = false;
  EXPECT_TRUE (until ([&] {
    is_asked = is_asked || wants ("near-2", 5, SMALL);
    return is_asked;
  }));
}

TEST_F (ControlPulls, ALargeValueComesFromNearByIfItIsThereSoon)
{
  EXPECT_FALSE (wants ("far", 5, LARGE));
  EXPECT_TRUE (wants ("near-1", 5, LARGE));
  EXPECT_FALSE (wants ("far", 5, LARGE));
}

/* Targets come and go by the thousand; some are offered and gone before they
 * are fetched.  What is kept of them must not grow. */
TEST_F (ControlPulls, WhatNeverCameIsForgotten)
{
  control_task *task = nodes[0]->task;
  EXPECT_TRUE (wants ("near-1", 5, SMALL));
  control_pulls_expire (task, clock_now_ms () + 5000);
  EXPECT_NE (task->pulls, nullptr);
  control_pulls_expire (task, clock_now_ms () + 20000);
  EXPECT_EQ (task->pulls, nullptr);
}

/* No host near by has the value: it comes from afar all the same. */
TEST_F (ControlPulls, ALargeValueThatOnlyAFarHostHasIsFetched)
{
  std::string text = service_text ("holds", 4);
  text.insert (text.size () - 1, std::string (LARGE, ' '));
  const uint64_t first = store.put ("service", "holds", text);
  ASSERT_TRUE (until ([&] { return all_have ("holds", first); }));
  for (int i = 0; i < 3; i++)
    nodes[i]->platform.is_down = true;
  const uint64_t second = store.put ("service", "holds", text);
  EXPECT_TRUE (until ([&] { return all_have ("holds", second); }));
}

}
