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
  begin_leaving (int64_t late_ms, uint32_t shutdown_ms = 6000)
  {
    settings.times.shutdown_ms = shutdown_ms;
    target = add_target ("t1");
    start ();
    put_service (usual_routes);
    caller_task_begin_leaving (
        task, [] (void *) {}, nullptr);
    const int64_t now_ms = clock_now_ms ();
    const leave_times times = leave_times_of (settings.times.shutdown_ms,
                                              now_ms - late_ms, now_ms);
    caller_task_set_leave_times (task, &times);
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

/* The head of an upload of SIZE bytes. */
std::string
upload_head (const std::string &id, size_t size)
{
  return "POST /holds HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id
         + "\r\nContent-Length: " + std::to_string (size) + "\r\n\r\n";
}

constexpr size_t part_bytes = 1000;
const std::string part (part_bytes, 'b');

/* Guards against an upload that runs although its end comes in the second half
   of the time to leave, and is broken off at the end. */
TEST_F (LateRequest, UploadThatEndsInTheSecondHalfIsRefused)
{
  begin_leaving (2700);
  auto caller = connect_raw ();
  caller->write (upload_head ("u", 2 * part_bytes) + part);
  const int64_t start_ms = clock_now_ms ();
  ASSERT_TRUE (run_until ([&] { return !caller->received.empty (); }));
  EXPECT_EQ (caller->received.find ("HTTP/1.1 503 "), 0u) << caller->received;
  EXPECT_NE (caller->received.find ("not-run"), std::string::npos);
  EXPECT_NE (caller->received.find ("Retry-After"), std::string::npos);
  EXPECT_LT (clock_now_ms () - start_ms, 2000);
  caller->write (part);
  wait_until_ms (clock_now_ms () + 100);
  EXPECT_EQ (target_server_counts (target).runs, 0u);
  caller->hang_up ();
}

/* Guards against a leaving host that refuses an upload which ends in time, or
   waits for one that its buffer can't hold. */
TEST_F (LateRequest, UploadThatEndsInTheFirstHalfIsServed)
{
  begin_leaving (0);
  constexpr size_t parts = 10;
  for (const size_t size : { parts * part_bytes, 20 * parts * part_bytes })
    {
      auto caller = connect_raw ();
      caller->write (upload_head ("u" + std::to_string (size), size));
      for (size_t i = 0; i < parts; i++)
        {
          wait_until_ms (clock_now_ms () + 1);
          caller->write (std::string (size / parts, 'b'));
        }
      ASSERT_TRUE (run_until ([&] { return !caller->received.empty (); }));
      EXPECT_EQ (caller->received.find ("HTTP/1.1 200 "), 0u)
          << caller->received;
      caller->hang_up ();
    }
  EXPECT_EQ (target_server_counts (target).runs, 2u);
}

/* Guards against a request that waits for room until the host leaves, and then
   runs too late or is refused too late. */
TEST_F (LateRequest, WaitingRequestIsRefusedInTheSecondHalf)
{
  target_options = ", 'slots': 1";
  begin_leaving (2700);
  target_server_faults (target)->delay_ms = 1500;
  auto first = make ("POST", "/holds", "first");
  auto second = make ("POST", "/holds", "second");
  begin (first.get ());
  ASSERT_TRUE (
      run_until ([&] { return target_server_counts (target).runs > 0; }));
  begin (second.get ());
  ASSERT_TRUE (run_until ([&] { return second->done; }));
  EXPECT_FALSE (first->done);
  EXPECT_EQ (second->status, 503);
  EXPECT_EQ (second->field ("jaystair-outcome"), "not-run");
  ASSERT_TRUE (run_until ([&] { return first->done; }));
  EXPECT_EQ (first->status, 200);
  EXPECT_EQ (target_server_counts (target).runs, 1u);
}

/* Guards against requests taken after three seconds that may be at work when
   the host gives up. */
TEST_F (LateRequest, LongRequestIsRefusedAfterThreeSeconds)
{
  constexpr uint32_t shutdown_ms = 30000;
  begin_leaving (4000, shutdown_ms);
  for (const auto &[deadline_ms, status] :
       { std::make_pair (5000, 200), std::make_pair (29000, 503) })
    {
      auto call = make ("POST", "/holds", "r" + std::to_string (status));
      call->fields.push_back ("Jaystair-Deadline-Ms: "
                              + std::to_string (deadline_ms));
      finish (call.get ());
      EXPECT_EQ (call->status, status);
    }
  EXPECT_EQ (target_server_counts (target).runs, 1u);
}

/* Guards against an upload that was sent late and is given up with those that
   were sent early, while its target is at work. */
TEST_F (LateRequest, UploadSentLateIsGivenUpLast)
{
  constexpr size_t parts = 100;
  begin_leaving (2900);
  target_server_faults (target)->delay_ms = 400;
  auto early = make ("POST", "/holds", "early");
  begin (early.get ());
  auto caller = connect_raw ();
  caller->write (upload_head ("late", parts * part_bytes));
  for (size_t i = 0; i + 1 < parts; i++)
    caller->write (part);
  wait_until_ms (clock_now_ms () + 150);
  caller->write (part);
  ASSERT_TRUE (
      run_until ([&] { return target_server_runs (target, "late") > 0; }));
  ASSERT_FALSE (early->done);
  EXPECT_TRUE (caller_task_answer_early_now (task));
  ASSERT_TRUE (run_until ([&] { return early->done; }));
  EXPECT_EQ (early->status, 502);
  ASSERT_TRUE (run_until ([&] { return !caller->received.empty (); }));
  EXPECT_EQ (caller->received.find ("HTTP/1.1 200 "), 0u) << caller->received;
  caller->hang_up ();
}

} // namespace
