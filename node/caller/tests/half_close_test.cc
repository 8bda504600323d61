/** Callers that close their connection for writing only after a request, and
 * callers that close it whole. */
#include "lost_request_fixture.h"
#include "staged_target.h"

#include <sys/socket.h>

extern "C"
{
#include "base/clock.h"
}

namespace
{

constexpr int64_t cancelled_within_ms = 500;

class HalfClose : public LostRequest
{
protected:
  void
  SetUp () override
  {
    LostRequest::SetUp ();
    log = tmpfile ();
    write_log_to (fileno (log));
    /* The library treats the end of what a caller sends in another way while
       it has connections to read from. */
    bystander = connect_raw ();
    run_ms (20);
  }

  void
  TearDown () override
  {
    bystander->hang_up ();
    staged.reset ();
    LostRequest::TearDown ();
    fclose (log);
  }

  static void
  end_sending (RawCaller *raw)
  {
    ASSERT_EQ (shutdown (raw->fd, SHUT_WR), 0);
  }

  void
  run_ms (int64_t ms)
  {
    const int64_t end_ms = clock_now_ms () + ms;
    run_until ([&] { return clock_now_ms () >= end_ms; });
  }

  /* A target whose answers the test writes. */
  void
  stage ()
  {
    staged = std::make_unique<StagedTarget> (loop);
    put_service_at (staged->address ());
    ev_run (loop, EVRUN_NOWAIT);
  }

  void
  wait_at_target (const std::string &id)
  {
    ASSERT_TRUE (run_until (
        [&] { return staged->received.find (id) != std::string::npos; }));
  }

  /* The answers that RAW has got, without the interim ones. */
  static std::vector<ParsedAnswer>
  final_answers (const RawCaller &raw)
  {
    std::vector<ParsedAnswer> answers;
    for (const ParsedAnswer &answer : parse_answers (raw.received))
      if (answer.status != 100)
        answers.push_back (answer);
    return answers;
  }

  /* RAW gets COUNT whole answers, and then the end of the connection. */
  void
  expect_answers (RawCaller *raw, size_t count)
  {
    ASSERT_TRUE (run_until ([&] { return raw->closed; })) << raw->received;
    EXPECT_FALSE (raw->reset);
    const auto answers = final_answers (*raw);
    ASSERT_EQ (answers.size (), count) << raw->received;
    for (const ParsedAnswer &answer : answers)
      {
        EXPECT_EQ (answer.status, 200) << raw->received;
        EXPECT_TRUE (answer.is_whole) << raw->received;
      }
    raw->hang_up ();
  }

  /* END makes the host give its requests up in time. */
  void
  expect_cancelled (const std::function<void ()> &end, uint32_t left = 0)
  {
    const int64_t start_ms = clock_now_ms ();
    end ();
    ASSERT_TRUE (
        run_until ([&] { return caller_task_in_flight (task) == left; }));
    EXPECT_LE (clock_now_ms () - start_ms, cancelled_within_ms);
  }

  /* The fields of the line called EVENT for the request ID. */
  std::string
  line_of (const std::string &event, const std::string &id)
  {
    std::string text;
    char data[4096];
    rewind (log);
    while (fgets (data, sizeof data, log) != nullptr)
      {
        const std::string line = data;
        if (line.find (event) != std::string::npos
            && line.find (id) != std::string::npos)
          text += line;
      }
    return text;
  }

  bool
  counts (const std::string &then, int count)
  {
    return exposed ().find (
               "jaystair_half_closed_requests_total{service=\"holds\",then=\""
               + then + "\"} " + std::to_string (count) + "\n")
           != std::string::npos;
  }

  FILE *log = nullptr;
  std::unique_ptr<StagedTarget> staged;
  std::unique_ptr<RawCaller> bystander;
};

/* Guards against a caller that gets no answer because it closed its connection
   for writing after its request. */
TEST_F (HalfClose, RequestIsAnswered)
{
  for (const char *method : { "GET", "POST" })
    for (const Arrival arrival : arrivals)
      {
        auto raw = send (arrival, method);
        end_sending (raw.get ());
        expect_answers (raw.get (), expected_count (arrival));
      }
}

TEST_F (HalfClose, QueuedRequestIsAnswered)
{
  for (const char *method : { "GET", "POST" })
    {
      occupy ();
      auto raw = send (Arrival::first, method);
      end_sending (raw.get ());
      wait_in_flight (2);
      run_ms (50);
      release ();
      expect_answers (raw.get (), 1);
      wait_in_flight (0);
    }
}

/* Guards against the same with work that lasts longer than the host waits for
   an acknowledgement. */
TEST_F (HalfClose, LongWorkIsAnswered)
{
  stage ();
  auto raw = send (Arrival::first, "GET");
  wait_at_target ("last");
  end_sending (raw.get ());
  run_ms (1000);
  EXPECT_FALSE (raw->closed);
  staged->write_first ("HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndate");
  expect_answers (raw.get (), 1);
  EXPECT_TRUE (counts ("answered", 1)) << exposed ();
  EXPECT_NE (line_of ("half-closed", "last"), "");
  EXPECT_EQ (line_of ("abandoned", "last"), "");
}

/* Guards against an answer with a pause that ends with the pause. */
TEST_F (HalfClose, AnswerInPartsIsWhole)
{
  stage ();
  auto raw = send (Arrival::first, "GET");
  wait_at_target ("last");
  end_sending (raw.get ());
  run_ms (50);
  staged->write_first ("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
                       "4\r\ndate\r\n");
  run_ms (700);
  staged->write_first ("4\r\ntime\r\n0\r\n\r\n");
  expect_answers (raw.get (), 1);
}

/* Guards against bytes within an answer that aren't of it. */
TEST_F (HalfClose, InterimResponsesComeBeforeTheAnswer)
{
  stage ();
  auto raw = send (Arrival::first, "GET");
  wait_at_target ("last");
  end_sending (raw.get ());
  run_ms (700);
  staged->write_first ("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\ndate");
  run_ms (700);
  staged->write_first ("time");
  expect_answers (raw.get (), 1);
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  const size_t last = raw->received.rfind (interim);
  ASSERT_NE (last, std::string::npos);
  EXPECT_EQ (
      raw->received.compare (last + interim.size (), 12, "HTTP/1.1 200"), 0)
      << raw->received;
}

/* Guards against targets that work for callers who have left. */
TEST_F (HalfClose, CloseCancelsTheAttempt)
{
  target_server_faults (target)->hang = 100;
  uint32_t cancelled = 0;
  for (const char *method : { "GET", "POST" })
    for (const Arrival arrival : { Arrival::first, Arrival::kept })
      {
        target_server_faults (target)->hang = 0;
        auto raw = connect_raw ();
        if (arrival == Arrival::kept)
          {
            raw->write (request_of ("GET", "before"));
            wait_for_answers (*raw, 1);
          }
        target_server_faults (target)->hang = 100;
        const std::string id = "s" + std::to_string (++cancelled);
        raw->write (request_of (method, id));
        ASSERT_TRUE (run_until (
            [&] { return target_server_runs (target, id.c_str ()) == 1; }));
        expect_cancelled ([&] {
          raw->hang_up ();
          EXPECT_TRUE (run_until ([&] {
            return target_server_counts (target).cancelled == cancelled;
          }));
        });
        EXPECT_NE (line_of ("abandoned", id).find ("why=caller-left"),
                   std::string::npos)
            << line_of ("abandoned", id);
      }
}

TEST_F (HalfClose, CloseInTheQueueCancelsTheRequest)
{
  occupy ();
  auto raw = send (Arrival::first, "GET");
  wait_in_flight (2);
  expect_cancelled ([&] { raw->hang_up (); }, 1);
  release ();
  wait_in_flight (0);
  EXPECT_EQ (target_server_runs (target, "last"), 0u);
}

TEST_F (HalfClose, CloseWithinTheAnswerCancelsTheAttempt)
{
  stage ();
  auto raw = send (Arrival::first, "GET");
  wait_at_target ("last");
  staged->write_first ("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\ndate");
  wait_for_answers (*raw, 0);
  ASSERT_TRUE (run_until (
      [&] { return raw->received.find ("date") != std::string::npos; }));
  expect_cancelled ([&] { raw->hang_up (); });
}

/* Guards against a caller that leaves later, whose kernel sends nothing
   then. */
TEST_F (HalfClose, CloseAfterAHalfCloseCancelsTheAttempt)
{
  stage ();
  auto raw = send (Arrival::first, "GET");
  wait_at_target ("last");
  end_sending (raw.get ());
  run_ms (1000);
  ASSERT_EQ (caller_task_in_flight (task), 1u);
  expect_cancelled ([&] { raw->hang_up (); });
  EXPECT_TRUE (counts ("left", 1)) << exposed ();
}

/* Guards against interim responses to callers that know none. */
TEST_F (HalfClose, CallerOfHttp10CountsAsOneThatLeft)
{
  stage ();
  auto old = connect_raw ();
  old->write ("GET /calendar HTTP/1.0\r\nX-Request-Id: old\r\n\r\n");
  wait_at_target ("old");
  expect_cancelled ([&] { end_sending (old.get ()); });
  ASSERT_TRUE (run_until ([&] { return old->closed; }));
  EXPECT_EQ (old->received, "");
  EXPECT_NE (line_of ("abandoned", "old").find ("why=caller-closed"),
             std::string::npos)
      << line_of ("abandoned", "old");
  EXPECT_TRUE (counts ("not-asked", 1)) << exposed ();
  old->hang_up ();
}

/* Guards against interim responses within an answer. */
TEST_F (HalfClose, CallerThatReadsTheAnswerCountsAsOneThatLeft)
{
  stage ();
  auto raw = send (Arrival::first, "GET");
  wait_at_target ("last");
  staged->write_first ("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\ndate");
  ASSERT_TRUE (run_until (
      [&] { return raw->received.find ("date") != std::string::npos; }));
  expect_cancelled ([&] { end_sending (raw.get ()); });
  EXPECT_EQ (raw->received.find (" 100 "), std::string::npos);
  EXPECT_NE (line_of ("abandoned", "last").find ("why=caller-closed"),
             std::string::npos)
      << line_of ("abandoned", "last");
  EXPECT_TRUE (counts ("not-asked", 1)) << exposed ();
  raw->hang_up ();
}

/* Guards against targets that work for callers whose connection is cut. */
TEST_F (HalfClose, CallerThatAcknowledgesNothingCountsAsOneThatLeft)
{
  auto raw = connect_raw ();
  const int receive_bytes = 4096;
  ASSERT_EQ (setsockopt (raw->fd, SOL_SOCKET, SO_RCVBUF, &receive_bytes,
                         sizeof receive_bytes),
             0);
  ev_io_stop (loop, &raw->io);
  raw->write ("GET /bytes/300000 HTTP/1.1\r\nHost: a\r\nX-Request-Id: b\r\n"
              "\r\n");
  ASSERT_TRUE (
      run_until ([&] { return target_server_runs (target, "b") == 1; }));
  wait_in_flight (0);
  target_server_faults (target)->hang = 100;
  raw->write (request_of ("GET", "last"));
  ASSERT_TRUE (
      run_until ([&] { return target_server_runs (target, "last") == 1; }));
  expect_cancelled ([&] { end_sending (raw.get ()); });
  EXPECT_NE (line_of ("abandoned", "last").find ("why=caller-silent"),
             std::string::npos)
      << line_of ("abandoned", "last");
  EXPECT_TRUE (counts ("silent", 1)) << exposed ();
  raw->hang_up ();
}

/* Guards against a target that works for a request whose end never comes. */
TEST_F (HalfClose, RequestThatIsntWholeIsCancelled)
{
  occupy ();
  auto raw = connect_raw ();
  raw->write ("POST /calendar HTTP/1.1\r\nHost: a\r\nX-Request-Id: part\r\n"
              "Content-Length: 8\r\n\r\ndate");
  wait_in_flight (2);
  expect_cancelled ([&] { end_sending (raw.get ()); }, 1);
  release ();
  wait_in_flight (0);
  EXPECT_EQ (target_server_runs (target, "part"), 0u);
  raw->hang_up ();
}

} // namespace
