/* Answers whose framing can be read in several ways. */
#include "node/caller/tests/identifying_interface.h"
#include "node/caller/tests/scripted_target.h"
#include "node/caller/tests/two_hosts_fixture.h"

namespace
{

/* ID "": the response has none. */
std::string
response (const std::string &status, const std::string &id,
          const std::string &fields = "", const std::string &body = "ok")
{
  return "HTTP/1.1 " + status + "\r\n"
         + (id.empty () ? "" : "X-Request-Id: " + id + "\r\n") + fields
         + "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n"
         + body;
}

std::string
success (const std::string &id)
{
  return response ("200 OK", id, "X-Signature: s\r\n", "for " + id);
}

std::string
rejection_of (const std::string &id)
{
  return response ("503 Service Unavailable", id, "X-Not-Run: 1\r\n");
}

class Framing : public TwoHostsTest
{
protected:
  void
  SetUp () override
  {
    interface = &identifying;
    TwoHostsTest::SetUp ();
    settings.limits.reuse_idle_once_ms = 30000;
    first = std::make_unique<ScriptedTarget> (loop);
    second = std::make_unique<ScriptedTarget> (loop);
    answer_all ();
  }

  void
  TearDown () override
  {
    curl_loop_destroy (client);
    client = nullptr;
    caller_task_destroy (task);
    task = nullptr;
    first.reset ();
    second.reset ();
    TwoHostsTest::TearDown ();
  }

  void
  use_one_target ()
  {
    put_targets (the_bus, { { "t1", first->address () } });
  }

  void
  answer_all ()
  {
    for (auto *scripted : { first.get (), second.get () })
      scripted->script = [] (const ScriptedRequest &request) {
        return success (request.id);
      };
  }

  /* New connections answer as they should. */
  void
  answer_on_kept_connections (const std::string &bytes)
  {
    for (auto *scripted : { first.get (), second.get () })
      scripted->script = [bytes] (const ScriptedRequest &request) {
        return request.number == 1 ? success (request.id) : bytes;
      };
  }

  std::unique_ptr<Call>
  post (const std::string &id)
  {
    auto call = make ("POST", "/holds", id);
    call->body = "date";
    finish (call.get ());
    return call;
  }

  int
  received (const std::string &id) const
  {
    return first->received (id) + second->received (id);
  }

  std::unique_ptr<ScriptedTarget> first;
  std::unique_ptr<ScriptedTarget> second;
};

std::string
identifying_fields (const std::string &id)
{
  return "X-Request-Id: " + id + "\r\nX-Signature: s\r\n";
}

/* Guards against a field that isn't a length or a coding for this host but is
   one for callers that ignore the space before the colon. */
TEST_F (Framing, SpaceBeforeColonIsNotPassedOn)
{
  use_one_target ();
  for (const char *line : { "Content-Length : 5", "Content-Length\t: 5",
                            "Transfer-Encoding : chunked" })
    {
      first->script = [&] (const ScriptedRequest &request) {
        return "HTTP/1.1 200 OK\r\n" + identifying_fields (request.id) + line
               + "\r\n\r\nhello world";
      };
      first->end = [] (const ScriptedRequest &) { return ScriptedEnd::close; };
      auto raw = connect_raw ();
      raw->write (
          "GET /calendar HTTP/1.1\r\nHost: a\r\nX-Request-Id: r\r\n\r\n");
      run_until ([&] {
        return raw->received.find ("world") != std::string::npos
               || raw->received.find ("502") != std::string::npos;
      });
      const std::string name (line, strcspn (line, " \t"));
      EXPECT_EQ (raw->received.find (name + " :"), std::string::npos)
          << raw->received;
      EXPECT_EQ (raw->received.find (name + "\t:"), std::string::npos)
          << raw->received;
      EXPECT_EQ (raw->received.find ("\r\n" + std::string (line)),
                 std::string::npos)
          << raw->received;
    }
}

/* Guards against an answer that bears the id of another request besides that
   of its own. */
TEST_F (Framing, AnswerWithTwoIdsIsNotTheOwnOne)
{
  use_one_target ();
  answer_all ();
  get ("/calendar", "open");
  answer_on_kept_connections (
      response ("503 Service Unavailable", "hold",
                "X-Request-Id: other\r\nX-Not-Run: 1\r\n"));
  EXPECT_EQ (post ("hold")->status, 502);
  EXPECT_EQ (received ("hold"), 1);
}

/* Guards against a refusal or another body that comes from the beginning of a
   late answer, wherever that ends: in an interim head, a body or a trailer. */
TEST_F (Framing, PartOfALateAnswerIsNotTheOwnOne)
{
  int number = 0;
  use_one_target ();
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nX-Not-Run: 1\r\n";
  const std::string chunks = "Transfer-Encoding: "
                             "chunked\r\n\r\n5\r\nhello\r\n10\r\n0123456789abc"
                             "def\r\n0\r\nX-Not-Run: 1\r\nA: b\r\n\r\n";
  for (const std::string &late :
       { interim + "\r\n" + "HTTP/1.1 503 X\r\nX-Not-Run: 1\r\n" + chunks,
         interim
             + "Content-Length: 2\r\n\r\nHTTP/1.1 429 X\r\nX-Request-Id: "
               "other\r\nX-Not-Run: 1\r\n"
             + chunks,
         interim
             + "Transfer-Encoding: chunked\r\n\r\nHTTP/1.1 421 "
               "X\r\nX-Request-Id: other\r\nContent-Length: "
               "40\r\n\r\n0123456789",
         std::string (
             "HTTP/1.1 503 X\nX-Not-Run: 1\nContent-Length: 10\n\n0123456789"),
         std::string ("HTTP/1.0 503 X\r\nX-Not-Run: 1\r\nX-Request-Id: "
                      "other\r\n\r\nabc"),
         std::string ("HTTP/1.1 204 No\r\nX-Signature: s\r\nX-Request-Id: "
                      "other\r\n\r\n"),
         std::string (
             "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nX-Signature: "
             "s\r\nContent-Length: 10\r\n\r\n0123456789") })
    for (const bool refuses : { false, true })
      for (size_t size = 0; size <= late.size (); size++)
        {
          const std::string id = "hold-" + std::to_string (number++);
          const std::string part = late.substr (0, size);
          answer_all ();
          ASSERT_EQ (get ("/calendar", "open-" + id)->status, 200);
          first->script = [&] (const ScriptedRequest &request) {
            const std::string own
                = refuses ? rejection_of (request.id) : success (request.id);
            return request.number == 1 ? success (request.id) : part + own;
          };
          const auto call = post (id);
          if (refuses)
            {
              EXPECT_TRUE (call->status != 200 || received (id) == 2) << part;
              continue;
            }
          EXPECT_NE (call->field ("jaystair-outcome"), "not-run") << part;
          EXPECT_TRUE (call->status == 200 || call->status == 502)
              << call->status << part;
          EXPECT_EQ (received (id), 1) << part;
          if (call->status == 200)
            {
              EXPECT_EQ (call->answer, "for " + id) << part;
            }
        }
}

/* Guards against a request that waits for its deadline behind a status that
   libcurl takes for final and response_head for an interim one. */
TEST_F (Framing, StatusBelow200ThatEndsTheHeadsIsRejected)
{
  use_one_target ();
  for (const char *status : { "101 Switching Protocols", "020 Odd" })
    {
      answer_all ();
      const std::string id = std::string ("hold-") + status[0] + status[1];
      ASSERT_EQ (get ("/calendar", "open-" + id)->status, 200);
      first->script = [&] (const ScriptedRequest &request) {
        return std::string ("HTTP/1.1 ") + status + "\r\n\r\n"
               + success (request.id);
      };
      auto call = make ("POST", "/holds", id);
      call->body = "date";
      begin (call.get ());
      EXPECT_TRUE (run_until ([&] { return call->done; })) << status;
      if (!call->done)
        curl_loop_cancel (client, call->easy);
      ASSERT_TRUE (run_until ([&] { return call->done; }));
      EXPECT_EQ (call->status, 502) << status;
      EXPECT_EQ (received (id), 1) << status;
    }
}

} // namespace
