/* Targets that send invalid HTTP.  Callers must get a complete response, a
   broken transfer or an error response with the right outcome, and the next
   caller its own response. */
#include "node/caller/tests/caller_fixture.h"
#include "node/caller/tests/raw_target.h"

class BadTargetTest : public CallerTest
{
protected:
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    settings.limits.header_bytes = 8192;
    raw = std::make_unique<RawTarget> (loop);
    start ();
    put_service_at (raw->address ());
  }

  void
  TearDown () override
  {
    curl_loop_destroy (client);
    client = nullptr;
    caller_task_destroy (task);
    task = nullptr;
    raw.reset ();
    CallerTest::TearDown ();
  }

  std::unique_ptr<Call>
  post (const std::string &answer)
  {
    raw->answer = answer;
    auto call = make ("POST", "/holds", "h1");
    call->body = "date";
    finish (call.get ());
    return call;
  }

  std::unique_ptr<RawTarget> raw;
};

TEST_F (BadTargetTest, GarbageIsUnknown)
{
  for (const char *answer :
       { "", "garbage\r\n\r\n", "HTTP/1.1\r\n\r\n", "HTTP/1.1 abc x\r\n\r\n",
         "HTTP/9.9 200 OK\r\nContent-Length: 2\r\n\r\nok",
         "HTTP/1.1 200 OK\r\nContent-Length: 2",
         "HTTP/1.1 200 OK\r\nContent-Length: x\r\n\r\nok",
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
         "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf" })
    {
      auto call = post (answer);
      EXPECT_TRUE (call->code != CURLE_OK
                   || (call->status == 502
                       && call->field ("jaystair-outcome") == "unknown"))
          << answer << " " << call->status;
    }
  EXPECT_EQ (raw->requests, 9);
}

/* Guards against a status code outside 100 to 599 that passes for that of an
   answer. */
TEST_F (BadTargetTest, InvalidStatusIsNoAnswer)
{
  const std::string body = "Content-Length: 2\r\n\r\nok";
  int sent = 0;
  for (const char *status :
       { "000", "000 OK", "0 OK", "00 OK", "099 OK", "1 OK", "20 OK",
         "2000 OK", "0200 OK", "-200 OK", "+200 OK", "600 OK", "700 OK",
         "999 OK", "200x OK", "2 00 OK", "", "OK" })
    for (const char *protocol : { "HTTP/1.1 ", "HTTP/1.0 " })
      {
        auto call = post (protocol + std::string (status) + "\r\n" + body);
        EXPECT_EQ (call->code, CURLE_OK) << status;
        EXPECT_EQ (call->status, 502) << protocol << status;
        EXPECT_EQ (call->field ("jaystair-outcome"), "unknown") << status;
        EXPECT_EQ (raw->requests, ++sent) << status;
        EXPECT_EQ (get ("/calendar", "r")->status, 502) << status;
        sent = raw->requests;
      }
  for (const char *status : { "200 ", "200", "599 Odd", "299 Odd" })
    EXPECT_EQ (
        post ("HTTP/1.1 " + std::string (status) + "\r\n" + body)->status,
        atoi (status))
        << status;
}

TEST_F (BadTargetTest, OversizedHeadIsUnknown)
{
  for (const size_t size : { 9000u, 90000u, 400000u })
    {
      auto call = post ("HTTP/1.1 200 OK\r\nX-Big: " + std::string (size, 'x')
                        + "\r\nContent-Length: 2\r\n\r\nok");
      EXPECT_EQ (call->status, 502) << size;
      EXPECT_EQ (call->field ("jaystair-outcome"), "unknown");
    }
}

TEST_F (BadTargetTest, UnusualValidResponsesAreForwarded)
{
  auto interim = post ("HTTP/1.1 102 Processing\r\nX-Interim: 1\r\n\r\n"
                       "HTTP/1.1 201 Created\r\nContent-Length: 2\r\n"
                       "X-Tabbed: a\tb\r\n\r\nok");
  EXPECT_EQ (interim->status, 201);
  EXPECT_EQ (interim->answer, "ok");
  EXPECT_EQ (interim->field ("x-interim"), "");
  EXPECT_EQ (interim->field ("x-tabbed"), "a b");
  auto until_close = post ("HTTP/1.0 200 OK\r\n\r\nuntil the end");
  EXPECT_EQ (until_close->status, 200);
  EXPECT_EQ (until_close->answer, "until the end");
}

/* A target sends more bytes than announced.  They must not become the response
   of the next caller. */
TEST_F (BadTargetTest, ExtraBytesAreDiscarded)
{
  raw->close_after = false;
  raw->answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nmine"
                "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nyours";
  for (int i = 0; i < 5; i++)
    EXPECT_EQ (get ("/calendar", "r")->answer, "mine");
}

/* A target announces contradictory lengths.  If the body were read by one and
   forwarded with the other, a truncated response would look complete. */
TEST_F (BadTargetTest, ContradictoryLengthsNeverLookComplete)
{
  const std::string chunks = "5\r\nwhole\r\n7\r\n answer\r\n0\r\n\r\n";
  for (const std::string &answer :
       { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
         "Transfer-Encoding: chunked\r\n\r\n"
             + chunks,
         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
         "Content-Length: 5\r\n\r\n"
             + chunks,
         std::string ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n"
                      "Content-Length: 12\r\n\r\nwhole answer"),
         std::string ("HTTP/1.1 200 OK\r\nContent-Length: 12\r\n"
                      "Content-Length: 5\r\n\r\nwhole answer"),
         std::string ("HTTP/1.1 200 OK\r\nContent-Length: 5, 12\r\n\r\n"
                      "whole answer"),
         std::string ("HTTP/1.1 200 OK\r\nContent-Length: +5\r\n\r\n"
                      "whole answer"),
         std::string ("HTTP/1.1 200 OK\r\nContent-Length: \r\n\r\n"
                      "whole answer"),
         std::string ("HTTP/1.1 200 OK\r\nContent-Length: 5 \r\n"
                      "content-length: 12\r\n\r\nwhole answer") })
    {
      auto call = post (answer);
      EXPECT_TRUE (call->code != CURLE_OK || call->status == 502
                   || call->answer == "whole answer")
          << answer << "\n-> " << call->answer;
    }
}

/* Responses without a body, whatever length they announce: the caller must not
   wait for a body, nor take the next response for it. */
TEST_F (BadTargetTest, ResponsesWithoutBodyEndAtHead)
{
  for (const char *status :
       { "204 No Content", "304 Not Modified", "205 Reset Content" })
    for (const char *length :
         { "", "Content-Length: 0\r\n", "Content-Length: 9\r\n" })
      {
        const bool reset = status[2] == '5';
        if (reset && length[0] != '\0' && length[16] == '9')
          continue;
        raw->answer = std::string ("HTTP/1.1 ") + status
                      + "\r\nETag: \"a\"\r\n" + length + "\r\n";
        auto call = get ("/calendar", "r1");
        EXPECT_EQ (call->code, CURLE_OK) << status << " " << length;
        EXPECT_EQ (call->status, atoi (status)) << length;
        EXPECT_EQ (call->answer, "");
        EXPECT_EQ (call->field ("etag"), "\"a\"");
      }
  for (const char *length :
       { "Content-Length: 9\r\n", "", "Transfer-Encoding: chunked\r\n" })
    {
      raw->answer = std::string ("HTTP/1.1 200 OK\r\n") + length + "\r\n";
      auto call = make ("HEAD", "/calendar", "r1");
      finish (call.get ());
      EXPECT_EQ (call->code, CURLE_OK) << length;
      EXPECT_EQ (call->status, 200);
      EXPECT_EQ (call->field ("content-length"), length[0] == 'C' ? "9" : "");
    }
}

/* "not run" is accepted only with the status of a refusal.  In any other
   response it is an ordinary field that is not forwarded. */
TEST_F (BadTargetTest, OutcomeFieldCantBeForged)
{
  auto call = post ("HTTP/1.1 200 OK\r\nJaystair-Outcome: not-run\r\n"
                    "Jaystair-Retry-After-Ms: 5\r\nContent-Length: 2\r\n\r\n"
                    "ok");
  EXPECT_EQ (call->status, 200);
  EXPECT_EQ (call->field ("jaystair-outcome"), "ran");
  EXPECT_EQ (call->field ("jaystair-retry-after-ms"), "");
}
