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

  /** Send BYTES and wait until the connection is closed. */
  std::string
  exchange (const std::string &bytes)
  {
    auto raw = connect_raw ();
    raw->write (bytes);
    EXPECT_TRUE (run_until ([&raw] { return raw->closed; })) << bytes;
    raw->hang_up ();
    return raw->received;
  }

  /** Other callers must not be affected. */
  void
  expect_others_served ()
  {
    EXPECT_EQ (get ("/calendar", "other")->status, 200);
  }

  target_server *target = nullptr;
};

TEST_F (BadInputTest, GarbageDoesNotAffectOtherCallers)
{
  for (const char *bytes :
       { "\x16\x03\x01\x02\x7f\x01garbage\r\n\r\n", "GET\r\n\r\n",
         "GET / HTTP/9.9\r\n\r\n", "GET / HTTP/1.1\r\n\r\n",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n",
         "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 9x\r\n\r\n" })
    {
      exchange (bytes);
      expect_others_served ();
    }
  EXPECT_EQ (target_server_max_runs (target), 6u);
}

TEST_F (BadInputTest, IncompleteHeadIsReleasedOnHangUp)
{
  auto raw = connect_raw ();
  raw->write ("POST /holds HTTP/1.1\r\nHost: a\r\nX-Half: ");
  expect_others_served ();
  raw->hang_up ();
  expect_others_served ();
  EXPECT_EQ (caller_task_in_flight (task), 0u);
}

TEST_F (BadInputTest, OversizedHeadIsNotRun)
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
  expect_others_served ();
  EXPECT_EQ (target_server_runs (target, "big"), 0u);
  EXPECT_EQ (target_server_runs (target, "huge"), 0u);
}

TEST_F (BadInputTest, OversizedBodyIsNotRun)
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
  expect_others_served ();
  EXPECT_EQ (target_server_runs (target, "big"), 0u);
}

/* A different spelling of a path must not let an unrepeatable request use a
   repeatable route. */
TEST_F (BadInputTest, AmbiguousPathsAreRefused)
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

TEST_F (BadInputTest, ContentLengthWithChunkedIsRefused)
{
  const std::string answer
      = exchange ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
                  "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
                  "0\r\n\r\n");
  EXPECT_NE (answer.find (" 400 "), std::string::npos) << answer;
  expect_others_served ();
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

TEST_F (BadInputTest, ExpectContinueIsRefusedBeforeBody)
{
  const std::string answer
      = exchange ("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999999\r\n"
                  "Expect: 100-continue\r\n\r\n");
  EXPECT_EQ (answer.find ("100 Continue"), std::string::npos);
  EXPECT_NE (answer.find ("413"), std::string::npos) << answer;
}

/* Requests with bytes changed, removed and duplicated at random: whatever the
   response is, other requests are not affected and nothing is left behind. */
TEST_F (BadInputTest, MutatedRequestsDoNotAffectOtherCallers)
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
          const size_t position = random () % bytes.size ();
          if (random () % 3 == 0)
            bytes.erase (position, 1 + random () % 8);
          else if (random () % 2 == 0)
            bytes.insert (position, bytes.substr (position, random () % 32));
          else
            bytes[position] = (char)random ();
        }
      auto raw = connect_raw ();
      raw->write (bytes);
      if (round % 8 == 0)
        expect_others_served ();
      raw->hang_up ();
    }
  ASSERT_TRUE (
      run_until ([this] { return caller_task_in_flight (task) == 0; }));
  expect_others_served ();
}
