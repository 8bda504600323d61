#include <algorithm>
#include <unistd.h>

#include "node/caller/tests/caller_fixture.h"

class ProxyTest : public CallerTest
{
protected:
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    target = add_target ("t1");
    start ();
    put_service (usual_routes, ", 'limits': { 'body_bytes': 16777216 }");
  }

  target_server *target = nullptr;
};

static std::string
pattern (size_t size)
{
  std::string text (size, ' ');
  for (size_t i = 0; i < size; i++)
    text[i] = (char)('a' + i % 26);
  return text;
}

TEST_F (ProxyTest, ResponseOfTargetIsForwarded)
{
  auto call = get ("/calendar?month=2", "r1");
  EXPECT_EQ (call->status, 200);
  EXPECT_EQ (call->answer.substr (0, 6), "t1 r1 ");
  EXPECT_EQ (call->field ("x-target"), "t1");
  EXPECT_EQ (call->field ("jaystair-outcome"), "ran");
}

TEST_F (ProxyTest, LargeBodiesStreamBothWays)
{
  const std::string body = pattern (3 * 1024 * 1024 + 17);
  for (const bool chunked : { false, true })
    {
      auto call = make ("POST", "/echo", "r1");
      call->body = body;
      call->chunked = chunked;
      finish (call.get ());
      EXPECT_EQ (call->status, 200);
      EXPECT_TRUE (call->answer == body) << call->answer.size ();
    }
}

TEST_F (ProxyTest, ContentLengthIsForwarded)
{
  auto sized = get ("/bytes/200000");
  EXPECT_EQ (sized->field ("content-length"), "200000");
  EXPECT_TRUE (sized->answer == pattern (200000));
  auto empty = get ("/bytes/0");
  EXPECT_EQ (empty->field ("content-length"), "0");
  EXPECT_EQ (empty->answer, "");
}

TEST_F (ProxyTest, HeadHasTheLengthAndNoBody)
{
  auto call = make ("HEAD", "/bytes/12345", "r1");
  finish (call.get ());
  EXPECT_EQ (call->status, 200);
  EXPECT_EQ (call->field ("content-length"), "12345");
  EXPECT_EQ (call->answer, "");
}

TEST_F (ProxyTest, NoContentAndNotModifiedHaveNoBody)
{
  auto none = get ("/no-content");
  EXPECT_EQ (none->status, 204);
  EXPECT_EQ (none->answer, "");
  EXPECT_EQ (none->field ("content-length"), "");
  EXPECT_EQ (none->field ("transfer-encoding"), "");
  auto same = get ("/not-modified");
  EXPECT_EQ (same->status, 304);
  EXPECT_EQ (same->answer, "");
  EXPECT_EQ (get ("/after")->status, 200);
}

/* Hop-by-hop fields must not be forwarded, and callers can't forge fields of
   the protocol. */
TEST_F (ProxyTest, HopByHopAndForgedFieldsAreRemoved)
{
  auto call = make ("GET", "/headers", "r1");
  call->fields = { "Connection: X-Secret, keep-alive",
                   "X-Secret: 1",
                   "TE: trailers",
                   "Keep-Alive: timeout=5",
                   "Jaystair-Outcome: ran",
                   "Jaystair-Relayed: 1",
                   "X-Kept: two words",
                   "Host: venue.example:8080" };
  finish (call.get ());
  EXPECT_EQ (call->status, 200);
  const std::string &received = call->answer;
  for (const char *removed : { "X-Secret", "TE:", "Keep-Alive",
                               "Jaystair-Outcome", "Jaystair-Relayed" })
    EXPECT_EQ (received.find (removed), std::string::npos) << removed << "\n"
                                                           << received;
  EXPECT_NE (received.find ("X-Kept: two words\n"), std::string::npos)
      << received;
  EXPECT_NE (received.find ("Host: venue.example:8080\n"), std::string::npos);
  EXPECT_NE (received.find ("Jaystair-Deadline-Ms: "), std::string::npos);
}

TEST_F (ProxyTest, DeadlineIsForwardedAsRemainingTime)
{
  auto call = make ("GET", "/", "r1");
  call->fields.push_back ("Jaystair-Deadline-Ms: 5000");
  finish (call.get ());
  const long remaining_ms = std::stol (call->field ("x-seen-deadline"));
  EXPECT_LE (remaining_ms, 5000);
  EXPECT_GT (remaining_ms, 0);
}

/* Many concurrent responses arrive in another order than their requests: each
   must reach the caller that sent the request. */
TEST_F (ProxyTest, ResponsesOutOfOrderReachTheirCallers)
{
  target_server_faults (target)->delay_ms = 30;
  target_server_faults (target)->jitter = 1;
  std::vector<std::unique_ptr<Call>> calls;
  for (int i = 0; i < 60; i++)
    {
      calls.push_back (make (i % 3 == 0 ? "POST" : "GET",
                             "/bytes/" + std::to_string (1000 + 997 * i),
                             "id-" + std::to_string (i)));
      begin (calls.back ().get ());
    }
  std::vector<const Call *> order;
  ASSERT_TRUE (run_until ([&calls, &order] {
    for (const auto &call : calls)
      if (call->done
          && std::find (order.begin (), order.end (), call.get ())
                 == order.end ())
        order.push_back (call.get ());
    return order.size () == calls.size ();
  }));
  size_t in_place = 0;
  for (int i = 0; i < 60; i++)
    {
      in_place += order[i] == calls[i].get ();
      EXPECT_EQ (calls[i]->code, CURLE_OK);
      EXPECT_EQ (calls[i]->status, 200);
      EXPECT_EQ (calls[i]->field ("x-request-id"), "id-" + std::to_string (i));
      EXPECT_TRUE (calls[i]->answer == pattern (1000 + 997 * i));
    }
  EXPECT_LT (in_place, 30u);
}

/* A caller that reads nothing must not make the host buffer its whole
   response: the buffer stays within its limit and the rest remains at the
   target. */
TEST_F (ProxyTest, SlowReaderIsBufferedWithinLimitAndGetsAll)
{
  auto raw = connect_raw ();
  ev_io_stop (loop, &raw->io);
  raw->write ("GET /bytes/20000000 HTTP/1.1\r\nHost: a\r\n"
              "Connection: close\r\n\r\n");
  auto other = get ("/other", "r2");
  EXPECT_EQ (other->status, 200);
  ev_io_start (loop, &raw->io);
  ASSERT_TRUE (run_until ([&raw] { return raw->closed; }));
  const size_t head = raw->received.find ("\r\n\r\n");
  EXPECT_EQ (raw->received.size () - head - 4, 20000000u);
  raw->hang_up ();
}

TEST_F (ProxyTest, KeptConnectionServesManyRequests)
{
  auto raw = connect_raw ();
  raw->write ("GET /bytes/3 HTTP/1.1\r\nHost: a\r\n\r\n"
              "GET /bytes/5 HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE (run_until ([&raw] {
    return raw->received.find ("\r\n\r\nabcde") != std::string::npos;
  }));
  EXPECT_NE (raw->received.find ("\r\n\r\nabcHTTP/1.1 200"),
             std::string::npos);
  raw->hang_up ();
}

TEST_F (ProxyTest, CountersAndTablesAreUpdated)
{
  get ("/calendar", "r1");
  EXPECT_NE (exposed ().find ("jaystair_requests_total{service=\"holds\","
                              "outcome=\"ran\"} 1"),
             std::string::npos)
      << exposed ();
  for (const char *name : { "targets", "services", "routes", "decisions" })
    {
      struct json_object *rows = tables_read (the_tables, name);
      ASSERT_NE (rows, nullptr);
      EXPECT_GT (json_object_array_length (rows), 0u) << name;
      json_object_put (rows);
    }
}

TEST_F (ProxyTest, EachDecisionIsLogged)
{
  int ends[2];
  ASSERT_EQ (pipe (ends), 0);
  write_log_to (ends[1]);
  get ("/calendar", "r1");
  char text[4096] = "";
  EXPECT_GT (read (ends[0], text, sizeof text - 1), 0);
  EXPECT_NE (
      strstr (text, "caller route id=r1 service=holds route=/ request="),
      nullptr)
      << text;
  EXPECT_NE (strstr (text, " attempt=1 verdict=send target=t1 why="), nullptr);
  write_log_to (STDERR_FILENO);
  close (ends[0]);
  close (ends[1]);
}
