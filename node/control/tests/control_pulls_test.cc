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
    SMALL_VALUE_BYTES = 200,
    LARGE_VALUE_BYTES = 200000,
  };

  void
  SetUp () override
  {
    add ("h0", "d0").start (loop);
    add ("near-1", "d0").start (loop);
    add ("near-2", "d0").start (loop);
    add ("far", "d1").start (loop);
    ASSERT_TRUE (until ([&] { return all_live (); }));
  }

  /* Whether h0 requests VERSION of an object of HELD_BYTES from FROM at
     once. */
  bool
  should_request (const std::string &from, uint64_t version, size_t held_bytes)
  {
    const control_offer offer
        = { 77, version, 1, held_bytes, hash_string (from.c_str ()) };
    return control_pulls_should_request (nodes[0]->task, &offer);
  }
};

/* A configuration of a thousand routes changes, and all seven neighbours of a
   host offer it within milliseconds.  Fetched from each of them, every change
   would transfer seven times its size over a link of 20 Mbit/s, at hundreds of
   hosts at once. */
TEST_F (ControlPulls, ValueIsFetchedFromOneOfTheOfferingHosts)
{
  EXPECT_TRUE (should_request ("near-1", 5, SMALL_VALUE_BYTES));
  EXPECT_FALSE (should_request ("near-2", 5, SMALL_VALUE_BYTES));
  EXPECT_FALSE (should_request ("far", 4, SMALL_VALUE_BYTES));
  EXPECT_TRUE (should_request ("near-2", 6, SMALL_VALUE_BYTES));
  control_pulls_complete (nodes[0]->task, 77, 6);
  EXPECT_TRUE (should_request ("far", 7, SMALL_VALUE_BYTES));
}

/* The requested host is killed before it answers: another one is requested. */
TEST_F (ControlPulls, HostWithoutAnswerIsReplacedSoon)
{
  EXPECT_TRUE (should_request ("near-1", 5, SMALL_VALUE_BYTES));
  bool is_requested = false;
  EXPECT_TRUE (until ([&] {
    is_requested
        = is_requested || should_request ("near-2", 5, SMALL_VALUE_BYTES);
    return is_requested;
  }));
}

TEST_F (ControlPulls, LargeValueIsFetchedFromTheOwnDataCentreFirst)
{
  EXPECT_FALSE (should_request ("far", 5, LARGE_VALUE_BYTES));
  EXPECT_TRUE (should_request ("near-1", 5, LARGE_VALUE_BYTES));
  EXPECT_FALSE (should_request ("far", 5, LARGE_VALUE_BYTES));
}

/* Thousands of targets are added and removed; some are offered and removed
   before they are fetched.  The state kept for them must not grow. */
TEST_F (ControlPulls, PullWithoutResultExpires)
{
  control_task *task = nodes[0]->task;
  EXPECT_TRUE (should_request ("near-1", 5, SMALL_VALUE_BYTES));
  control_pulls_expire (task, clock_now_ms () + 5000);
  EXPECT_NE (task->pulls, nullptr);
  control_pulls_expire (task, clock_now_ms () + 20000);
  EXPECT_EQ (task->pulls, nullptr);
}

/* No host of the own data centre has the value: it is fetched from a remote
   one. */
TEST_F (ControlPulls, LargeValueIsFetchedFromARemoteHost)
{
  std::string text = service_text ("holds", 4);
  text.insert (text.size () - 1, std::string (LARGE_VALUE_BYTES, ' '));
  const uint64_t first = store.put ("service", "holds", text);
  ASSERT_TRUE (until ([&] { return all_have ("holds", first); }));
  for (int i = 0; i < 3; i++)
    nodes[i]->platform.is_down = true;
  const uint64_t second = store.put ("service", "holds", text);
  EXPECT_TRUE (until ([&] { return all_have ("holds", second); }));
}

}
