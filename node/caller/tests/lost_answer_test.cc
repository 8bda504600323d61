/* Answers of targets on their way to the caller. */
#include "node/caller/tests/lost_request_fixture.h"
#include "node/caller/tests/scripted_target.h"
#include "node/caller/tests/staged_target.h"

namespace
{

using LostAnswer = LostRequest;

/* Guards against callers above the connection limit whose requests are never
   read. */
TEST_F (LostAnswer, CallerAboveTheConnectionLimitIsServedLater)
{
  caller_task_destroy (task);
  settings.limits.connections = 4;
  start ();
  put_service (usual_routes);
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < 12; i++)
    {
      callers.push_back (connect_raw ());
      callers.back ()->write (request_of ("POST", "last"));
    }
  for (auto &raw : callers)
    EXPECT_EQ (last_answer (raw.get (), Arrival::first).status, 200);
  EXPECT_EQ (target_server_runs (target, "last"), 12U);
  for (auto &raw : callers)
    raw->hang_up ();
}

/* Guards against a request that is passed on although its answer can't be
   given to the caller: the library takes no success for this method. */
TEST_F (LostAnswer, UnusualMethodIsAnswered)
{
  put_service ("[ { 'path_prefix': '/', 'repeatable': false } ]");
  ev_run (loop, EVRUN_NOWAIT);
  for (const std::string method : { "CONNECT", "TRACE", "OPTIONS", "PATCH" })
    for (const Arrival arrival : arrivals)
      {
        auto raw = send (arrival, method);
        const ParsedAnswer answer = last_answer (raw.get (), arrival);
        EXPECT_EQ (answer.status, method == "CONNECT" ? 400 : 200)
            << method << answer.head;
        raw->hang_up ();
        wait_in_flight (0);
      }
}

/* Guards against an answer that the library can't write. */
TEST_F (LostAnswer, UnusualAnswersReachTheCaller)
{
  ScriptedTarget scripted (loop);
  std::string head;
  scripted.script = [&head] (const ScriptedRequest &) {
    return "HTTP/1.1 " + head + "\r\nContent-Length: 4\r\n\r\nbody";
  };
  put_service_at (scripted.address ());
  ev_run (loop, EVRUN_NOWAIT);
  const std::vector<std::string> shapes
      = { "200 OK\r\nX-Empty:",
          "200 OK\r\nX-Tab: a\tb",
          "200 OK\r\nX-Long-Tab: \t" + std::string (2000, 'a') + "\tb",
          "200 OK\r\nX-High: \xff\xfe",
          "200 OK\r\nDate: never",
          "200 OK\r\nContent-Length: 4",
          "200 OK\r\nConnection: close, X-A",
          "200 OK\r\nConnection: upgrade\r\nUpgrade: x",
          "205 Reset",
          "299 Own",
          "300 Own",
          "451 Own",
          "599 Own",
          "600 Own",
          "999 Own",
          "200 OK\r\nKeep-Alive: timeout=1",
          "200 OK\r\n: no-name",
          "200 OK\r\nX Y: z",
          "200 OK\r\nno colon" };
  for (const std::string &shape : shapes)
    for (const Arrival arrival : arrivals)
      {
        head = shape;
        auto raw = send (arrival, "GET");
        const ParsedAnswer answer = last_answer (raw.get (), arrival);
        EXPECT_NE (answer.status, 0) << shape;
        raw->hang_up ();
        wait_in_flight (0);
      }
}

/* Guards against an attempt whose answer had begun and whose rest is given to
   the caller as part of the next attempt's answer, or not at all. */
TEST_F (LostAnswer, RetryAfterABegunAnswerIsWhole)
{
  settings.limits.hold_answer_bytes = 1000;
  ScriptedTarget scripted (loop);
  int attempts = 0;
  scripted.script = [&attempts] (const ScriptedRequest &request) {
    if (request.id == "last" && attempts++ == 0)
      return std::string (
          "HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\nbegun");
    return std::string ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole");
  };
  scripted.end = [&attempts] (const ScriptedRequest &request) {
    return request.id == "last" && attempts == 1 ? ScriptedEnd::reset
                                                 : ScriptedEnd::keep;
  };
  put_service_at (scripted.address ());
  ev_run (loop, EVRUN_NOWAIT);
  for (const Arrival arrival : arrivals)
    {
      attempts = 0;
      auto raw = send (arrival, "GET");
      const ParsedAnswer answer = last_answer (raw.get (), arrival);
      EXPECT_TRUE (answer.status == 502
                   || (answer.status == 200 && answer.body == "whole"))
          << answer.head << answer.body;
      raw->hang_up ();
      wait_in_flight (0);
    }
}

/* Guards against a request that gets no answer because its target answers
   before it has read the body. */
TEST_F (LostAnswer, AnswerBeforeTheBodyIsInIsGivenAfterIt)
{
  StagedTarget staged (loop);
  put_service_at (staged.address ());
  ev_run (loop, EVRUN_NOWAIT);
  for (const bool closes : { false, true })
    {
      staged.received.clear ();
      auto raw = connect_raw ();
      raw->write ("PUT /calendar HTTP/1.1\r\nHost: a\r\n"
                  "Content-Length: 200000\r\n\r\n"
                  + std::string (1000, 'x'));
      ASSERT_TRUE (run_until ([&] {
        return staged.received.find ("\r\n\r\n") != std::string::npos;
      }));
      staged.write ("HTTP/1.1 403 No\r\nContent-Length: 4\r\n\r\nbody");
      if (closes)
        staged.end (false);
      for (int i = 0; i < 20; i++)
        ev_run (loop, EVRUN_NOWAIT);
      raw->write (std::string (199000, 'x'));
      const ParsedAnswer answer = last_answer (raw.get (), Arrival::first);
      EXPECT_EQ (answer.status, 403) << answer.head;
      raw->hang_up ();
      wait_in_flight (0);
    }
}

/* Guards against an old caller whose answer is reset although it is whole. */
TEST_F (LostAnswer, OldCallerGetsAWholeAnswer)
{
  ScriptedTarget scripted (loop);
  std::string bytes;
  scripted.script = [&bytes] (const ScriptedRequest &) { return bytes; };
  scripted.end = [] (const ScriptedRequest &) { return ScriptedEnd::close; };
  put_service_at (scripted.address ());
  ev_run (loop, EVRUN_NOWAIT);
  const std::string body (100000, 'b');
  for (const std::string &fields :
       { "Content-Length: 100000\r\n\r\n" + body, "\r\n" + body,
         "Transfer-Encoding: chunked\r\n\r\n186a0\r\n" + body
             + "\r\n0\r\n\r\n" })
    for (const bool keeps : { false, true })
      for (const bool leaves : { false, true })
        {
          if (leaves)
            begin_leaving ();
          bytes = "HTTP/1.1 200 OK\r\n" + fields;
          auto raw = connect_raw ();
          raw->write (
              std::string ("GET /calendar HTTP/1.0\r\nX-Request-Id: last\r\n")
              + (keeps ? "Connection: keep-alive\r\n\r\n" : "\r\n"));
          const auto body_size = [&raw] {
            const size_t end = raw->received.find ("\r\n\r\n");
            return end == std::string::npos ? 0
                                            : raw->received.size () - end - 4;
          };
          ASSERT_TRUE (run_until ([&] {
            return raw->closed || (keeps && body_size () >= body.size ());
          }));
          EXPECT_FALSE (raw->reset);
          EXPECT_EQ (body_size (), body.size ());
          raw->hang_up ();
          wait_in_flight (0);
        }
}

} // namespace
