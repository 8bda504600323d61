/* Answers that wait in the kernel when the host closes the connection. */
#include "node/caller/tests/lost_request_fixture.h"

extern "C"
{
#include "base/clock.h"
}

namespace
{

/* A caller whose kernel takes little, and that doesn't read the end of its
   first answer before its next request has been handled. */
class UnreadAnswer : public LostRequest
{
protected:
  static constexpr size_t body_bytes = 80000;

  std::vector<ParsedAnswer>
  answers_around (const std::string &next)
  {
    auto raw = connect_raw ();
    const int small_buffer_bytes = 4096;
    setsockopt (raw->fd, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes,
                sizeof small_buffer_bytes);
    raw->write ("GET /bytes/" + std::to_string (body_bytes)
                + " HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_TRUE (run_until ([&] { return !raw->received.empty (); }));
    ev_io_stop (loop, &raw->io);
    wait_in_flight (0);
    raw->write (next);
    /* Nothing tells the test that the host has closed the connection. */
    const int64_t start_ms = clock_now_ms ();
    EXPECT_TRUE (
        run_until ([&] { return clock_now_ms () - start_ms > 1300; }));
    ev_io_start (loop, &raw->io);
    EXPECT_TRUE (run_until ([&] { return raw->closed; }));
    raw->hang_up ();
    return parse_answers (raw->received);
  }
};

/* Guards against the loss of an answer because the next request on the
   connection can't be read. */
TEST_F (UnreadAnswer, BeforeABadRequestIsWhole)
{
  const std::string bad[] = { "GET\r\n\r\n" + std::string (20000, 'x'),
                              "GET / HTTP/1.1\r\nHost: a\r\nX-Large: "
                                  + std::string (60000, 'x') };
  for (const std::string &next : bad)
    {
      const auto answers = answers_around (next);
      ASSERT_FALSE (answers.empty ());
      EXPECT_EQ (answers[0].body.size (), body_bytes) << next.substr (0, 60);
    }
}

/* Guards against the loss of a refusal of a body that isn't read to its end,
   or of the answer before it. */
TEST_F (UnreadAnswer, BeforeARefusedBodyIsWhole)
{
  const auto answers = answers_around ("POST /calendar HTTP/1.1\r\nHost: a\r\n"
                                       "Content-Length: 900000000\r\n\r\n"
                                       + std::string (30000, 'x'));
  ASSERT_EQ (answers.size (), 2U);
  EXPECT_EQ (answers[0].body.size (), body_bytes);
  EXPECT_EQ (answers[1].status, 413);
  EXPECT_TRUE (answers[1].is_whole);
}

/* Guards against an answer that is lost because the caller sent its next
   request before the host closed the connection near the connection limit. */
TEST_F (UnreadAnswer, NearTheConnectionLimitIsWhole)
{
  caller_task_destroy (task);
  settings.limits.connections = 10;
  start ();
  put_service (usual_routes);
  ev_run (loop, EVRUN_NOWAIT);
  std::vector<std::unique_ptr<RawCaller>> others;
  for (int i = 0; i < 9; i++)
    others.push_back (connect_raw ());
  auto raw = connect_raw ();
  const int small_buffer_bytes = 4096;
  setsockopt (raw->fd, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes,
              sizeof small_buffer_bytes);
  raw->write ("GET /bytes/" + std::to_string (body_bytes)
              + " HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE (run_until ([&] { return !raw->received.empty (); }));
  EXPECT_NE (raw->received.find ("Connection: close"), std::string::npos);
  raw->write (request_of ("GET", "behind"));
  ev_io_stop (loop, &raw->io);
  wait_in_flight (0);
  ev_io_start (loop, &raw->io);
  EXPECT_TRUE (run_until ([&] { return raw->closed; }));
  EXPECT_FALSE (raw->reset);
  EXPECT_EQ (parse_answers (raw->received)[0].body.size (), body_bytes);
  EXPECT_EQ (target_server_runs (target, "behind"), 0U);
  raw->hang_up ();
  for (auto &other : others)
    other->hang_up ();
}

} // namespace
