/* Heads of requests and responses that fill the memory of a connection. */
#include "node/caller/tests/answer_parser.h"
#include "node/caller/tests/caller_fixture.h"
#include "node/caller/tests/scripted_target.h"

namespace
{

constexpr size_t header_bytes = 8192;

std::string
fields (size_t count, size_t value_bytes)
{
  std::string text;
  for (size_t i = 0; i < count; i++)
    text += "X-" + std::to_string (100 + i) + ": "
            + std::string (value_bytes, 'v') + "\r\n";
  return text;
}

/* The shape of a head: a number of fields of one size each. */
struct Shape
{
  size_t count;
  size_t value_bytes;
};

const Shape request_shapes[]
    = { { 0, 0 },    { 1, 4000 }, { 1, 7800 }, { 20, 100 },
        { 60, 100 }, { 72, 100 }, { 60, 20 },  { 90, 20 },
        { 100, 1 },  { 120, 20 }, { 150, 1 },  { 200, 1 } };
const Shape response_shapes[]
    = { { 0, 0 },    { 1, 2000 }, { 1, 6000 }, { 1, 8000 },
        { 60, 100 }, { 70, 100 }, { 300, 20 }, { 800, 1 } };

class LargeHead : public CallerTest
{
protected:
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    settings.limits.header_bytes = header_bytes;
    target = std::make_unique<ScriptedTarget> (loop);
    target->script = [this] (const ScriptedRequest &) {
      return "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n"
             + fields (response.count, response.value_bytes) + "\r\nbody";
    };
    start ();
    put_service_at (target->address ());
  }

  void
  TearDown () override
  {
    target.reset ();
    CallerTest::TearDown ();
  }

  static std::string
  request (const Shape &shape, const std::string &id)
  {
    return "GET /calendar HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\n"
           + fields (shape.count, shape.value_bytes) + "\r\n";
  }

  /* Send BYTES, and expect COUNT whole answers unless the request wasn't
     passed on and is refused as too large. */
  void
  expect_whole (RawCaller *raw, const std::string &bytes, size_t count,
                const std::string &what)
  {
    raw->received.clear ();
    raw->write (bytes);
    const auto is_done = [&] {
      const auto answers = parse_answers (raw->received);
      return raw->closed
             || (answers.size () == count && answers.back ().is_whole);
    };
    EXPECT_TRUE (run_until (is_done)) << what;
    const auto answers = parse_answers (raw->received);
    ASSERT_FALSE (answers.empty ()) << what << ": no answer";
    for (const ParsedAnswer &answer : answers)
      {
        EXPECT_TRUE (answer.is_whole) << what << answer.head;
        EXPECT_TRUE (answer.status == 200 || answer.status == 431
                     || answer.status == 502)
            << what << answer.head;
      }
    const int last = answers.back ().status;
    EXPECT_TRUE (answers.size () == count || last == 431)
        << what << ": " << answers.size () << " answers";
  }

  static std::string
  describe (const char *where, const Shape &asked, const Shape &answered)
  {
    return std::string (where) + ", request " + std::to_string (asked.count)
           + " x " + std::to_string (asked.value_bytes) + ", response "
           + std::to_string (answered.count) + " x "
           + std::to_string (answered.value_bytes);
  }

  void
  for_each_shape (const std::function<void (const Shape &, const Shape &)> &f)
  {
    for (const Shape &asked : request_shapes)
      for (const Shape &answered : response_shapes)
        {
          response = answered;
          f (asked, answered);
        }
  }

  Shape response = {};
  std::unique_ptr<ScriptedTarget> target;
};

/* Guards against a connection that is closed without a response because the
   response's head doesn't fit behind that of the request. */
TEST_F (LargeHead, OfAResponseReachesTheCaller)
{
  for_each_shape ([this] (const Shape &asked, const Shape &answered) {
    auto raw = connect_raw ();
    expect_whole (raw.get (), request (asked, "first"), 1,
                  describe ("first", asked, answered));
    if (!raw->closed)
      expect_whole (raw.get (), request (asked, "kept"), 1,
                    describe ("kept", asked, answered));
    raw->hang_up ();
  });
}

/* Guards against the same where the next requests are in the memory as
   well. */
TEST_F (LargeHead, OfAResponseReachesThePipeliningCaller)
{
  for_each_shape ([this] (const Shape &asked, const Shape &answered) {
    auto raw = connect_raw ();
    expect_whole (raw.get (),
                  request (asked, "p1") + request (asked, "p2")
                      + request (asked, "p3"),
                  3, describe ("pipelined", asked, answered));
    raw->hang_up ();
  });
}

/* Guards against the same where the memory has grown for a body. */
TEST_F (LargeHead, OfAResponseReachesTheUploadingCaller)
{
  const std::string body (40000, 'b');
  const std::string upload = "PUT /calendar HTTP/1.1\r\nHost: a\r\n"
                             "X-Request-Id: u1\r\nContent-Length: 40000\r\n"
                             "\r\n"
                             + body;
  for (const Shape &answered : response_shapes)
    {
      response = answered;
      auto raw = connect_raw ();
      expect_whole (raw.get (), upload + upload + upload, 3,
                    describe ("uploads", {}, answered));
      raw->hang_up ();
    }
}

std::string
list_of (int count, const char *separator)
{
  std::string list;
  for (int i = 0; i < count; i++)
    list += (i > 0 ? separator : "") + ("a" + std::to_string (i)) + "=1";
  return list;
}

std::string
request_with_arguments (int count)
{
  return "GET /c?" + list_of (count, "&")
         + " HTTP/1.1\r\nHost: a\r\nX-Request-Id: q1\r\n\r\n";
}

std::string
request_with_cookies (int count)
{
  return "GET /c HTTP/1.1\r\nHost: a\r\nX-Request-Id: q1\r\nCookie: "
         + list_of (count, "; ") + "\r\n\r\n";
}

/* Guards against the same where query arguments and cookies take the memory.
 */
TEST_F (LargeHead, OfARequestWithArgumentsAndCookiesIsAnswered)
{
  response = { 60, 100 };
  for (int count = 10; count < 190; count += 7)
    for (const std::string &bytes :
         { request_with_arguments (count), request_with_cookies (count) })
      {
        auto raw = connect_raw ();
        expect_whole (raw.get (), bytes, 1, bytes);
        raw->hang_up ();
      }
}

/* Guards against a request that hangs, or whose connection is closed without
   an answer, because its arguments or cookies don't fit the memory. */
TEST_F (LargeHead, WithTooManyArgumentsOrCookiesIsRefused)
{
  caller_task_destroy (task);
  settings.limits.idle_timeout_ms = 1000;
  start ();
  put_service_at (target->address ());
  for (const std::string &bytes :
       { request_with_arguments (240), request_with_cookies (220) })
    {
      auto raw = connect_raw ();
      expect_whole (raw.get (), bytes, 1, bytes);
      raw->hang_up ();
    }
}

/* Guards against the same for responses of the host's own. */
TEST_F (LargeHead, OfARequestLeavesRoomForARefusal)
{
  target->end = [] (const ScriptedRequest &) { return ScriptedEnd::reset; };
  target->script = [] (const ScriptedRequest &) { return ""; };
  for (size_t count = 1; count < 260; count += 3)
    for (const size_t value_bytes : { 1u, 8u, 20u, 100u })
      {
        auto raw = connect_raw ();
        const Shape shape = { count, value_bytes };
        expect_whole (raw.get (), request (shape, "refused"), 1,
                      describe ("refused", shape, {}));
        raw->hang_up ();
      }
}

/* Guards against the same where requests sent ahead take the rest of the
   memory. */
TEST_F (LargeHead, OfARequestLeavesRoomBesideRequestsSentAhead)
{
  target->end = [] (const ScriptedRequest &) { return ScriptedEnd::reset; };
  target->script = [] (const ScriptedRequest &) { return ""; };
  for (size_t count = 100; count < 230; count += 3)
    {
      const Shape shape = { count, 1 };
      const std::string prefix = std::to_string (count) + "-";
      auto raw = connect_raw ();
      raw->write (request (shape, prefix + "1") + request (shape, prefix + "2")
                  + request ({ 1, 7000 }, prefix + "3"));
      ASSERT_TRUE (run_until ([&] {
        return raw->closed || parse_answers (raw->received).size () == 3;
      }));
      const auto answers = parse_answers (raw->received);
      EXPECT_FALSE (answers.empty ()) << count;
      for (const ParsedAnswer &answer : answers)
        EXPECT_TRUE (answer.is_whole) << count << answer.head;
      /* Requests behind a closed connection weren't passed on. */
      for (size_t i = answers.size () + 1; i <= 3; i++)
        EXPECT_EQ (target->received (prefix + std::to_string (i)), 0);
      raw->hang_up ();
    }
}

} // namespace
