/* Targets that send bytes until the host closes the connection.  The host must
   read them with bounded memory and for a bounded time, must never make them
   look like a complete response, and must serve other requests meanwhile. */
#include <malloc.h>

#include "node/caller/tests/caller_fixture.h"
#include "node/caller/tests/endless_target.h"

namespace
{

const int DEADLINE_MS = 800;
/* As in the deployments: shorter bodies are buffered before the head is
   passed on. */
const uint32_t HOLD_BYTES = 64 * 1024;
/* The buffers of a request, those of libcurl and libmicrohttpd, and the bytes
   that the target and the caller of the test hold. */
const size_t MEMORY_MAX_BYTES = 4 * 1024 * 1024;

const std::string CHUNKED_HEAD
    = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/* A chunk of more than HOLD_BYTES. */
const std::string LONG_BODY
    = "30000\r\n" + std::string (0x30000, 'b') + "\r\n";

class EndlessResponse : public CallerTest
{
protected:
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    target = std::make_unique<EndlessTarget> (loop);
    settings.limits.hold_answer_bytes = HOLD_BYTES;
    start ();
    put_service_at (target->address ());
    get ("/plain", "warm-up");
  }

  void
  TearDown () override
  {
    curl_loop_destroy (client);
    client = nullptr;
    caller_task_destroy (task);
    task = nullptr;
    target.reset ();
    CallerTest::TearDown ();
  }

  static size_t
  memory_in_use ()
  {
    const struct mallinfo2 info = mallinfo2 ();
    return info.uordblks + info.hblkhd;
  }

  int
  attempts (const std::string &end) const
  {
    const std::string text = exposed ();
    const std::string series
        = "jaystair_attempts_total{service=\"holds\",end=\"" + end + "\"} ";
    const size_t at = text.find (series);
    return at == std::string::npos
               ? 0
               : atoi (text.c_str () + at + series.size ());
  }

  /* The bytes that CALL reads are dropped, so that they don't count as
     memory. */
  void
  wait_for_end (Call *call)
  {
    EXPECT_TRUE (run_until ([&] {
      const size_t used = memory_in_use ();
      peak_bytes = used > peak_bytes ? used : peak_bytes;
      call->answer.clear ();
      return call->done && target->closed == 1;
    }));
  }

  /* Send an unrepeatable request that gets START and then UNIT repeatedly. */
  std::unique_ptr<Call>
  request (const std::string &start, const std::string &unit)
  {
    target->start = start;
    target->unit = unit;
    auto call = make ("POST", "/holds", "h1");
    call->http_1_0 = http_1_0;
    call->body = "date";
    call->fields.push_back ("Jaystair-Deadline-Ms: "
                            + std::to_string (DEADLINE_MS));
    auto other = make ("GET", "/plain", "other");
    const size_t used = memory_in_use ();
    begin (call.get ());
    EXPECT_TRUE (run_until (
        [&] { return call->done || target->sent_bytes > start.size (); }));
    finish (other.get ());
    EXPECT_EQ (other->status, 200);
    EXPECT_EQ (other->answer, "plain");
    wait_for_end (call.get ());
    EXPECT_LT (peak_bytes, used + MEMORY_MAX_BYTES);
    EXPECT_EQ (target->requests, 1);
    return call;
  }

  void
  expect_unknown (const Call &call, long status)
  {
    EXPECT_EQ (call.code, CURLE_OK);
    EXPECT_EQ (call.status, status);
    EXPECT_EQ (call.field ("jaystair-outcome"), "unknown");
    EXPECT_EQ (attempts (status == 502 ? "cut" : "timed-out"), 1);
  }

  /* The head was passed on, and the body's end is not a regular one. */
  void
  expect_broken (const Call &call, const std::string &end)
  {
    EXPECT_EQ (call.status, 200);
    EXPECT_NE (call.code, CURLE_OK);
    EXPECT_EQ (attempts (end), 1);
  }

  std::unique_ptr<EndlessTarget> target;
  size_t peak_bytes = 0;
  bool http_1_0 = false; /* of the caller */
};

/* Bounded by the size of the header fields. */
TEST_F (EndlessResponse, FieldLines)
{
  expect_unknown (*request ("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"), 502);
}

/* The same with lines that aren't fields, which are not stored. */
TEST_F (EndlessResponse, LinesWithoutColon)
{
  expect_unknown (*request ("HTTP/1.1 200 OK\r\n", "no field\r\n"), 502);
}

/* Bounded by the size of a line. */
TEST_F (EndlessResponse, FieldLine)
{
  expect_unknown (*request ("HTTP/1.1 200 OK\r\nX-Field: ", "value "), 502);
}

TEST_F (EndlessResponse, StatusLine)
{
  expect_unknown (*request ("HTTP/1.1 200 O", "K"), 502);
}

/* Bounded by the size of all heads: each is short, and is replaced by the
   next. */
TEST_F (EndlessResponse, InterimHeads)
{
  expect_unknown (
      *request ("", "HTTP/1.1 102 Processing\r\nX-Field: value\r\n\r\n"), 502);
}

TEST_F (EndlessResponse, InterimHeadsWithoutFields)
{
  expect_unknown (*request ("", "HTTP/1.1 100 Continue\r\n\r\n"), 502);
}

TEST_F (EndlessResponse, NoHead)
{
  expect_unknown (*request ("", "garbage\r\n"), 502);
}

/* Bounded by the deadline and, in memory, by the buffer of the request. */
TEST_F (EndlessResponse, BodyWithoutLength)
{
  expect_broken (*request ("HTTP/1.1 200 OK\r\n\r\n", "body"), "timed-out");
}

/* A body with an end, but longer than the buffer, which its last piece doesn't
   fit while the head is still held back: the host must pass the head on
   instead of waiting for the deadline. */
TEST_F (EndlessResponse, LongBodyWithoutLengthIsPassedOnWhole)
{
  target->start = "HTTP/1.1 200 OK\r\n\r\n";
  target->unit = "body";
  target->block_bytes = 1000;
  target->end_bytes = target->start.size () + 200000;
  auto call = make ("POST", "/holds", "h1");
  finish (call.get ());
  EXPECT_EQ (call->code, CURLE_OK);
  EXPECT_EQ (call->status, 200);
  EXPECT_EQ (call->answer.size (), 200000u);
}

/* To a caller with HTTP/1.0, the end of the connection is the end of the body:
   only a reset shows that the body is not complete. */
TEST_F (EndlessResponse, BodyWithoutLengthToOldCaller)
{
  http_1_0 = true;
  expect_broken (*request ("HTTP/1.1 200 OK\r\n\r\n", "body"), "timed-out");
}

/* A caller that doesn't read its response holds a bounded part of it, until
   the deadline.  The target isn't at fault. */
TEST_F (EndlessResponse, CallerThatDoesNotRead)
{
  target->start = "HTTP/1.1 200 OK\r\n\r\n";
  target->unit = "body";
  auto caller = connect_raw ();
  ev_io_stop (loop, &caller->io);
  caller->write ("POST /holds HTTP/1.1\r\nHost: a\r\nX-Request-Id: h1\r\n"
                 "Jaystair-Deadline-Ms: 800\r\nContent-Length: 4\r\n\r\n"
                 "date");
  const size_t used = memory_in_use ();
  ASSERT_TRUE (run_until ([&] {
    const size_t now = memory_in_use ();
    peak_bytes = now > peak_bytes ? now : peak_bytes;
    return target->closed == 1;
  }));
  EXPECT_LT (peak_bytes, used + MEMORY_MAX_BYTES);
  EXPECT_EQ (attempts ("cancelled"), 1);
  EXPECT_EQ (attempts ("timed-out"), 0);
  caller->hang_up ();
}

TEST_F (EndlessResponse, Chunks)
{
  expect_broken (*request (CHUNKED_HEAD, "4\r\nbody\r\n"), "timed-out");
}

/* Bounded by libcurl's limit on the digits of a chunk's size. */
TEST_F (EndlessResponse, ChunkSizeDigits)
{
  expect_unknown (*request (CHUNKED_HEAD, "1"), 502);
}

/* A chunk extension has no limit in libcurl; bounded by the deadline. */
TEST_F (EndlessResponse, ChunkExtension)
{
  expect_unknown (*request (CHUNKED_HEAD + "4;", "name=value;"), 504);
}

/* The head and a large part of the body were passed on. */
TEST_F (EndlessResponse, ChunkExtensionAfterBody)
{
  expect_broken (*request (CHUNKED_HEAD + LONG_BODY + "4;", "name=value;"),
                 "timed-out");
}

/* Bounded by the size of the trailer. */
TEST_F (EndlessResponse, TrailerFields)
{
  expect_unknown (
      *request (CHUNKED_HEAD + "4\r\nbody\r\n0\r\n", "X-Field: value\r\n"),
      502);
}

TEST_F (EndlessResponse, TrailerLine)
{
  expect_unknown (
      *request (CHUNKED_HEAD + "4\r\nbody\r\n0\r\nX-Field: ", "value "), 502);
}

TEST_F (EndlessResponse, TrailerAfterLongBody)
{
  expect_broken (
      *request (CHUNKED_HEAD + LONG_BODY + "0\r\n", "X-Field: value\r\n"),
      "cut");
}

/* The announced bytes are the complete response; those after it must neither
   reach a caller nor keep the connection open. */
TEST_F (EndlessResponse, MoreThanTheLength)
{
  const auto call = request (
      "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody", "HTTP/1.1 200 OK ");
  EXPECT_EQ (call->code, CURLE_OK);
  EXPECT_EQ (call->status, 200);
  EXPECT_EQ (call->field ("content-length"), "4");
}

/* A repeatable request leaves its connection open for others.  Bytes that come
   before another request uses it must close it.  Bytes that come later can't
   be told from a response, except by the request id that responses repeat. */
TEST_F (EndlessResponse, BytesAfterAResponseOnAKeptConnection)
{
  target->start = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
  target->unit = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nevil";
  target->block_bytes = target->start.size ();
  EXPECT_EQ (get ("/calendar", "r1")->answer, "body");
  const uint64_t expected_bytes = target->start.size () + 100000;
  ASSERT_TRUE (
      run_until ([&] { return target->sent_bytes > expected_bytes; }));
  EXPECT_TRUE (run_until ([this] {
    EXPECT_EQ (get ("/plain", "other")->answer, "plain");
    return target->closed == 1;
  }));
  EXPECT_EQ (target->requests, 1);
}

/* Guards against a probe of a leaving target that receives what nobody
   reads. */
TEST_F (EndlessResponse, BodyOfAProbe)
{
  /* More than the kernel's buffers of the connection. */
  const uint64_t received_max_bytes = 32 * 1024 * 1024;
  target->plain = "HTTP/1.1 200 OK\r\nJaystair-Leaving: 1\r\n"
                  "Content-Length: 5\r\n\r\nplain";
  target->start = "HTTP/1.1 200 OK\r\n\r\n";
  target->unit = "body";
  get ("/plain", "leaving");
  ASSERT_TRUE (run_until ([&] { return target->closed == 1; }));
  EXPECT_GE (target->requests, 1);
  EXPECT_LT (target->sent_bytes, received_max_bytes);
}

/* A protocol that the host didn't ask for is no response. */
TEST_F (EndlessResponse, SwitchedProtocol)
{
  const auto call
      = request ("HTTP/1.1 101 Switching Protocols\r\n\r\n", "body");
  EXPECT_EQ (call->field ("jaystair-outcome"), "unknown");
  EXPECT_TRUE (call->status == 502 || call->status == 504) << call->status;
  EXPECT_EQ (attempts ("cut") + attempts ("timed-out"), 1);
}

} // namespace
