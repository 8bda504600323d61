#include <random>

#include "node/caller/tests/caller_fixture.h"

class BadInputTest : public CallerTest
{
protected:
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    settings.limits.header_bytes = 8192;
    target = add_target ("t1");
    start ();
    put_service (usual_routes, ", 'limits': { 'body_bytes': 100000 }");
  }

  /** Send BYTES and wait for the connection's end. */
  std::string
  exchange (const std::string &bytes)
  {
    auto raw = connect_raw ();
    raw->write (bytes);
    EXPECT_TRUE (run_until ([&raw] { return raw->closed; })) << bytes;
    raw->hang_up ();
    return raw->received;
  }

  /** Other callers must not notice. */
  void
  expect_unharmed ()
  {
    EXPECT_EQ (get ("/calendar", "other")->status, 200);
  }

  target_server *target = nullptr;
};

TEST_F (BadInputTest, GarbageIsRefusedAndHarmsNobody)
{
  for (const char *bytes :
       { "\x16\x03\x01\x02\x7f\x01garbage\r\n\r\n", "GET\r\n\r\n",
         "GET / HTTP/9.9\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9x\r\n\r\n" })
    {
      exchange (bytes);
      expect_unharmed ();
    }
  EXPECT_EQ (target_server_most_runs (target), 6u);
}

TEST_F (BadInputTest, HalfAHeadThenHangUpLeavesNothingBehind)
{
  auto raw = connect_raw ();
  raw->write ("POST /holds HTTP/1.1\r\nHost: a\r\nX-Half: ");
  expect_unharmed ();
  raw->hang_up ();
  expect_unharmed ();
  EXPECT_EQ (caller_task_in_flight (task), 0u);
}

TEST_F (BadInputTest, TooLargeHeadIsNotRun)
{
  auto call = make ("GET", "/", "big");
  call->fields.push_back ("X-Big: " + std::string (9000, 'x'));
  finish (call.get ());
  EXPECT_EQ (call->status, 431);
  EXPECT_EQ (call->field ("jaystair-outcome"), "not-run");
  auto huge = make ("GET", "/", "huge");
  huge->fields.push_back ("X-Big: " + std::string (100000, 'x'));
  finish (huge.get ());
  EXPECT_TRUE (huge->status == 431 || huge->status == 0) << huge->status;
  expect_unharmed ();
  EXPECT_EQ (target_server_runs (target, "big"), 0u);
  EXPECT_EQ (target_server_runs (target, "huge"), 0u);
}

TEST_F (BadInputTest, BodyPastItsLimitIsNotRun)
{
  for (const bool chunked : { false, true })
    {
      auto call = make ("POST", "/holds", "big");
      call->body = std::string (300000, 'x');
      call->chunked = chunked;
      finish (call.get ());
      EXPECT_EQ (call->status, 413) << chunked;
      EXPECT_NE (call->field ("jaystair-outcome"), "ran");
    }
  expect_unharmed ();
  EXPECT_EQ (target_server_runs (target, "big"), 0u);
}

/* An unrepeatable request must not slip through a repeatable route by another
   spelling of its path. */
TEST_F (BadInputTest, PathsThatTargetsMayReadAsAnotherAreRefused)
{
  for (const char *path : { "/a/../holds", "/a/%2e%2e/holds", "/a%2fholds",
                            "/a/./holds", "/a%5cholds", "/holds%00" })
    {
      auto raw = connect_raw ();
      raw->write (std::string ("GET ") + path
                  + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
      ASSERT_TRUE (run_until ([&raw] { return raw->closed; }));
      EXPECT_NE (raw->received.find ("400 Bad Request"), std::string::npos)
          << path << raw->received;
      EXPECT_NE (raw->received.find ("Jaystair-Outcome: not-run"),
                 std::string::npos);
      raw->hang_up ();
    }
}

TEST_F (BadInputTest, LengthAndChunksTogetherAreRefused)
{
  const std::string answer
      = exchange ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                  "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                  "0\r\n\r\n");
  EXPECT_NE (answer.find (" 400 "), std::string::npos) << answer;
  expect_unharmed ();
}

TEST_F (BadInputTest, UnknownRouteAndBadDeadlineAreNotRun)
{
  auto call = make ("DELETE", "/holds", "r1");
  finish (call.get ());
  EXPECT_EQ (call->status, 404);
  EXPECT_EQ (call->field ("jaystair-outcome"), "not-run");
  for (const char *text : { "soon", "-1", "1e3", "" })
    {
      auto late = make ("GET", "/", "r2");
      late->fields.push_back (std::string ("Jaystair-Deadline-Ms")
                              + (*text ? ": " : ";") + text);
      finish (late.get ());
      EXPECT_EQ (late->status, 400) << text;
    }
  EXPECT_EQ (target_server_runs (target, "r2"), 0u);
}

TEST_F (BadInputTest, CallerThatWaitsForLeaveIsRefusedBeforeItsBody)
{
  const std::string answer
      = exchange ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n"
                  "Expect: 100-continue\r\n\r\n");
  EXPECT_EQ (answer.find ("100 Continue"), std::string::npos);
  EXPECT_NE (answer.find ("413"), std::string::npos) << answer;
}

/* Requests with bytes changed, left out and doubled at random: whatever comes
   of each, the others don't notice and nothing is left behind. */
TEST_F (BadInputTest, ChangedRequestsHarmNobody)
{
  const std::string base
      = "POST /holds?a=1 HTTP/1.1\r\nHost: venue.example:80\r\n"
        "X-Request-Id: fuzz\r\nTransfer-Encoding: chunked\r\n"
        "Jaystair-Deadline-Ms: 50\r\nJaystair-Ticket: host-1:1:2:3:4\r\n\r\n"
        "5\r\nhello\r\n0\r\n\r\n";
  std::mt19937 random (17);
  for (int round = 0; round < 400; round++)
    {
      std::string bytes = base;
      for (int changes = 1 + (int)(random () % 4); changes > 0; changes--)
        {
          const size_t place = random () % bytes.size ();
          if (random () % 3 == 0)
            bytes.erase (place, 1 + random () % 8);
          else if (random () % 2 == 0)
            bytes.insert (place, bytes.substr (place, random () % 32));
          else
            bytes[place] = (char)random ();
        }
      auto raw = connect_raw ();
      raw->write (bytes);
      if (round % 8 == 0)
        expect_unharmed ();
      raw->hang_up ();
    }
  ASSERT_TRUE (
      run_until ([this] { return caller_task_in_flight (task) == 0; }));
  expect_unharmed ();
}
