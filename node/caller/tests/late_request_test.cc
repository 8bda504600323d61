/** Requests that come late to a leaving host. */
#include "caller_fixture.h"

extern "C"
{
#include "base/clock.h"
}

namespace
{

class LateRequest : public CallerTest
{
protected:
  /** A host that counts from a signal sent LATE_MS before it was read. */
  void
  begin_leaving (int64_t late_ms)
  {
    settings.times.shutdown_ms = 6000;
    target = add_target ("t1");
    start ();
    put_service (usual_routes);
    caller_task_begin_leaving (
        task, [] (void *) {}, nullptr);
    caller_task_refuse_from (task, clock_now_ms () - late_ms
                                       + settings.times.shutdown_ms / 2);
  }

  void
  wait_until_ms (int64_t end_ms)
  {
    run_until ([&] { return clock_now_ms () >= end_ms; });
  }

  target_server *target = nullptr;
};

/* Guards against a host that takes requests in the second half of its time to
   leave, since it read the signal late. */
TEST_F (LateRequest, OfTheSecondHalfIsRefusedAtOnce)
{
  begin_leaving (2800);
  const int64_t start_ms = clock_now_ms ();
  EXPECT_EQ (get ("/calendar", "first-half")->status, 200);
  wait_until_ms (start_ms + 250);
  auto call = get ("/calendar", "second-half");
  EXPECT_EQ (call->status, 503);
  EXPECT_EQ (call->field ("jaystair-outcome"), "not-run");
  EXPECT_NE (call->field ("retry-after"), "");
  EXPECT_EQ (target_server_counts (target).runs, 1u);
}

/* Guards against a host that refuses what its target is at work on. */
TEST_F (LateRequest, OfTheFirstHalfIsServedInTheSecond)
{
  begin_leaving (2800);
  target_server_faults (target)->delay_ms = 600;
  const int64_t start_ms = clock_now_ms ();
  auto call = get ("/calendar", "first-half");
  EXPECT_EQ (call->status, 200);
  EXPECT_GE (clock_now_ms () - start_ms, 200);
}

} // namespace
