/* Requests that wait or run while the host leaves or its settings change.
   docs/incidents/requests-without-an-answer.md lists the places. */
#include "node/caller/tests/lost_request_fixture.h"
#include "node/caller/tests/staged_target.h"

extern "C"
{
#include "base/clock.h"
#include "base/digest.h"
}

namespace
{

/* Guards against a request in the queue that ends without an answer at the end
   of the time to leave. */
TEST_F (LostRequest, QueuedRequestIsRefusedAtTheEndOfTheTimeToLeave)
{
  begin_leaving ();
  for (const std::string method : { "GET", "POST" })
    for (const Arrival arrival : { Arrival::first, Arrival::pipelined })
      {
        occupy ();
        auto raw = send (arrival, method);
        wait_in_flight (2);
        caller_task_answer_all_now (task);
        if (arrival == Arrival::first)
          {
            const ParsedAnswer answer = last_answer (raw.get (), arrival);
            EXPECT_EQ (answer.status, 503) << answer.head;
            EXPECT_TRUE (has_retry_time (answer));
          }
        else
          {
            wait_for_answers (*raw, 1);
            EXPECT_EQ (parse_answers (raw->received)[0].status, 503);
          }
        raw->hang_up ();
        release ();
        wait_in_flight (0);
      }
  EXPECT_EQ (target_server_runs (target, "last"), 0U);
}

/* Guards against an answer that is under way and cut at the end of the time to
   leave. */
TEST_F (LostRequest, AnswerUnderWayIsWholeAfterTheEndOfTheTimeToLeave)
{
  for (const Arrival arrival : arrivals)
    {
      const size_t body_bytes = 2000000;
      auto raw = connect_raw ();
      if (arrival != Arrival::first)
        raw->write (request_of ("GET", "before"));
      if (arrival == Arrival::kept)
        wait_for_answers (*raw, 1);
      raw->write ("GET /bytes/" + std::to_string (body_bytes)
                  + " HTTP/1.1\r\nHost: a\r\n\r\n");
      ASSERT_TRUE (run_until ([&] { return raw->received.size () > 100000; }));
      caller_task_answer_all_now (task);
      ASSERT_TRUE (run_until (
          [&] { return raw->closed || raw->received.size () > body_bytes; }));
      const ParsedAnswer answer = last_answer (raw.get (), arrival);
      EXPECT_EQ (answer.status, 200);
      EXPECT_EQ (answer.body.size (), body_bytes);
      raw->hang_up ();
      wait_in_flight (0);
    }
}

/* Guards against a request that ends without an answer because its service is
   removed while it is queued. */
TEST_F (LostRequest, QueuedRequestOfARemovedServiceIsAnswered)
{
  for (const Arrival arrival : { Arrival::first, Arrival::kept })
    {
      put_service (usual_routes);
      ev_run (loop, EVRUN_NOWAIT);
      auto raw = connect_raw ();
      if (arrival == Arrival::kept)
        {
          raw->write (request_of ("GET", "before"));
          wait_for_answers (*raw, 1);
        }
      occupy ();
      raw->write (request_of ("POST", "last"));
      wait_in_flight (2);
      remove_service ();
      release ();
      const ParsedAnswer answer = last_answer (raw.get (), arrival);
      EXPECT_TRUE (answer.status == 200
                   || (answer.status == 503 && has_retry_time (answer)))
          << answer.head;
      raw->hang_up ();
      wait_in_flight (0);
    }
}

/* Guards against an answer that is held back to be whole, and lost at the end
   of the time to leave. */
TEST_F (LostRequest, HeldAnswerIsAnsweredAtTheEndOfTheTimeToLeave)
{
  settings.limits.hold_answer_bytes = 1000;
  StagedTarget staged (loop);
  put_service_at (staged.address ());
  ev_run (loop, EVRUN_NOWAIT);
  for (const std::string method : { "GET", "POST" })
    {
      staged.received.clear ();
      auto raw = send (Arrival::first, method);
      ASSERT_TRUE (run_until (
          [&] { return staged.received.find ("last") != std::string::npos; }));
      staged.write ("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nfour");
      for (int i = 0; i < 20; i++)
        ev_run (loop, EVRUN_NOWAIT);
      caller_task_answer_all_now (task);
      staged.write ("more");
      const ParsedAnswer answer = last_answer (raw.get (), Arrival::first);
      EXPECT_EQ (answer.status, 502) << answer.head;
      raw->hang_up ();
      wait_in_flight (0);
    }
}

/* Guards against a request whose first attempt fails after its target or
   service was removed, and that gets no answer or a promise. */
TEST_F (LostRequest, FailureAfterARemovalIsAnswered)
{
  for (const bool is_service : { false, true })
    for (const std::string method : { "GET", "POST" })
      {
        StagedTarget staged (loop);
        put_service_at (staged.address ());
        ev_run (loop, EVRUN_NOWAIT);
        auto raw = send (Arrival::first, method);
        ASSERT_TRUE (run_until ([&] {
          return staged.received.find ("last") != std::string::npos;
        }));
        if (is_service)
          remove_service ();
        else
          post_service ("", usual_routes, "");
        ev_run (loop, EVRUN_NOWAIT);
        staged.refuse ();
        staged.end (true);
        const ParsedAnswer answer = last_answer (raw.get (), Arrival::first);
        EXPECT_TRUE (answer.status == 502
                     || (answer.status == 200 && method == "GET"))
            << method << answer.head;
        raw->hang_up ();
        wait_in_flight (0);
      }
}

std::string
workspaces_of (const std::string &key)
{
  const digest made = digest_of (key.data (), key.size ());
  char text[DIGEST_TEXT_SIZE];
  digest_format (&made, text);
  return ", 'workspaces': [ { 'name': 'june', 'keys': [ '" + std::string (text)
         + "' ] } ]";
}

/* Guards against a request that waits for a proof of fresh settings and gets
   no answer because its service, target, route or workspace is removed. */
TEST_F (LostRequest, RequestThatWaitsForAProofIsAnsweredAfterARemoval)
{
  settings.access.revoke_ms = 5000;
  const std::function<void ()> changes[]
      = { [this] { remove_service (); },
          [this] { post_service ("", usual_routes, ""); },
          [this] { put_config (workspaces_of ("other")); },
          [this] {
            put_config (workspaces_of ("key")
                        + ", 'routes': [ { 'name': 'other', 'open': true,"
                          " 'path_prefix': '/other/',"
                          " 'parts': [ { 'service': 'holds' } ] } ]");
          } };
  for (const auto &change : changes)
    for (const bool is_proven : { false, true })
      {
        put_service (usual_routes);
        put_config (workspaces_of ("key"));
        ev_run (loop, EVRUN_NOWAIT);
        auto raw
            = send (Arrival::first, "POST", "Authorization: Bearer key\r\n");
        wait_in_flight (1);
        change ();
        ev_run (loop, EVRUN_NOWAIT);
        bus_message message = {};
        message.topic = BUS_FRESHNESS;
        message.freshness = { version, clock_now_ms () };
        if (is_proven)
          bus_post (the_bus, &message);
        const ParsedAnswer answer = last_answer (raw.get (), Arrival::first);
        EXPECT_TRUE (answer.status == 200 || answer.status == 401
                     || answer.status == 503)
            << answer.head;
        raw->hang_up ();
        wait_in_flight (0);
        /* The next request waits again. */
        caller_task_destroy (task);
        start ();
      }
}

/* Guards against a queued request that waits for ever, or gets no answer,
   because its only target is removed or drains. */
TEST_F (LostRequest, QueuedRequestIsAnsweredWhenItsTargetGoes)
{
  const std::string address = target_server_address (target);
  const std::string draining
      = "{ 'name': 't1', 'address': '" + address
        + "', 'dc': 'dc-a', 'slots': 1, 'state': 'drained' }";
  for (const std::string &list : { std::string (), draining })
    {
      put_service (usual_routes, ", 'limits': { 'timeout_ms': 300 }");
      occupy ();
      auto raw = send (Arrival::first, "POST");
      wait_in_flight (2);
      post_service (list, usual_routes, ", 'limits': { 'timeout_ms': 300 }");
      ev_run (loop, EVRUN_NOWAIT);
      release ();
      const ParsedAnswer answer = last_answer (raw.get (), Arrival::first);
      EXPECT_TRUE (answer.status == 200 || answer.status == 503
                   || answer.status == 504)
          << list << answer.head;
      EXPECT_EQ (answer.status == 200,
                 target_server_runs (target, "last") > 0);
      raw->hang_up ();
      wait_in_flight (0);
    }
}

/* Guards against a refusal that doesn't tell when to come back. */
TEST_F (LostRequest, RefusalWithoutTargetsHasARetryTime)
{
  post_service ("", usual_routes, "");
  ev_run (loop, EVRUN_NOWAIT);
  for (const Arrival arrival : arrivals)
    {
      auto raw = send (arrival, "POST");
      const ParsedAnswer answer = last_answer (raw.get (), arrival);
      EXPECT_EQ (answer.status, 503);
      EXPECT_TRUE (has_retry_time (answer)) << answer.head << answer.body;
      raw->hang_up ();
    }
}

/* Guards against a running request that gets no answer of its target because
   the target, or all of the service, is removed. */
TEST_F (LostRequest, RunningRequestGetsItsAnswerWhenItsTargetGoes)
{
  for (const bool is_service : { false, true })
    for (const Arrival arrival : arrivals)
      {
        put_service (usual_routes);
        ev_run (loop, EVRUN_NOWAIT);
        auto raw = connect_raw ();
        if (arrival != Arrival::first)
          raw->write (request_of ("GET", "before"));
        if (arrival == Arrival::kept)
          wait_for_answers (*raw, 1);
        const uint32_t runs = target_server_runs (target, "last");
        target_server_faults (target)->delay_ms = 50;
        raw->write (request_of ("POST", "last"));
        ASSERT_TRUE (run_until (
            [&] { return target_server_runs (target, "last") > runs; }));
        if (is_service)
          remove_service ();
        else
          post_service ("", usual_routes, "");
        ev_run (loop, EVRUN_NOWAIT);
        EXPECT_EQ (last_answer (raw.get (), arrival).status, 200);
        target_server_faults (target)->delay_ms = 0;
        raw->hang_up ();
        wait_in_flight (0);
      }
}

/* Guards against a request that gets no answer, or runs cut, because the
   limits of its head or body shrink while it is queued or received. */
TEST_F (LostRequest, ShrinkingLimitsLeaveAnAnswer)
{
  const std::string small = ", 'limits': { 'body_bytes': 2 }";
  occupy ();
  auto queued = send (Arrival::first, "POST");
  auto received = connect_raw ();
  received->write ("POST /calendar HTTP/1.1\r\nHost: a\r\n"
                   "X-Request-Id: received\r\nTransfer-Encoding: chunked\r\n"
                   "\r\n4\r\ndate\r\n");
  wait_in_flight (3);
  put_service (usual_routes, small);
  ev_run (loop, EVRUN_NOWAIT);
  received->write ("4\r\ntime\r\n0\r\n\r\n");
  const ParsedAnswer refused = last_answer (received.get (), Arrival::first);
  EXPECT_EQ (refused.status, 413) << refused.head;
  release ();
  expect_answer_or_promise (last_answer (queued.get (), Arrival::first),
                            "queued");
  EXPECT_EQ (target_server_runs (target, "received"), 0U);
  queued->hang_up ();
  received->hang_up ();
}

/* Guards against a connection that is closed as idle while the target works or
   pauses within its answer. */
TEST_F (LostRequest, WorkLongerThanTheIdleTimeoutIsAnswered)
{
  caller_task_destroy (task);
  settings.limits.idle_timeout_ms = 1000;
  settings.limits.hold_answer_bytes = 0;
  start ();
  StagedTarget staged (loop);
  post_service ("{ 'name': 't1', 'address': '" + staged.address ()
                    + "', 'dc': 'dc-a' }",
                usual_routes, ", 'limits': { 'timeout_ms': 20000 }");
  auto raw = connect_raw ();
  raw->write (request_of ("POST", "last"));
  ASSERT_TRUE (run_until (
      [&] { return staged.received.find (post_body) != std::string::npos; }));
  const auto wait = [this] {
    const int64_t start_ms = clock_now_ms ();
    ASSERT_TRUE (
        run_until ([&] { return clock_now_ms () - start_ms > 2200; }));
  };
  wait ();
  staged.write_first ("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nfour");
  ASSERT_TRUE (run_until ([&] { return !raw->received.empty (); }));
  wait ();
  staged.write_first ("more");
  const ParsedAnswer answer = last_answer (raw.get (), Arrival::first);
  EXPECT_EQ (answer.body, "fourmore") << answer.head;
  raw->hang_up ();
}

} // namespace
