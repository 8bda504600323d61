#include "caller_fixture.h"

extern "C"
{
#include "base/clock.h"
}

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

namespace
{

constexpr size_t body_bytes = 400000;
constexpr int small_buffer_bytes = 32768;

class ClosingConnectionTest : public CallerTest
{
protected:
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    target = add_target ("t1");
    start ();
    put_service (usual_routes);
    ASSERT_EQ (get ("/calendar", "first")->status, 200);
  }

  void
  begin_leaving ()
  {
    caller_task_begin_leaving (
        task, [] (void *owner) { *static_cast<bool *> (owner) = true; },
        &has_left);
  }

  static std::string
  read_of (const std::string &path, const std::string &id)
  {
    return "GET " + path + " HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id
           + "\r\n\r\n";
  }

  /** A caller whose kernel takes little, so that the end of a response waits
   * at the host. */
  std::unique_ptr<RawCaller>
  connect_slow ()
  {
    auto raw = connect_raw ();
    setsockopt (raw->fd, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes,
                sizeof small_buffer_bytes);
    return raw;
  }

  static size_t
  body_size (const RawCaller &raw)
  {
    return raw.received.size () - raw.received.find ("\r\n\r\n") - 4;
  }

  target_server *target = nullptr;
  bool has_left = false;
};

/* Guards against a connection that is reset under a response because the
   caller's next request hasn't been read. */
TEST_F (ClosingConnectionTest, ResponseBeforeAnUnreadRequestIsWhole)
{
  begin_leaving ();
  auto raw = connect_slow ();
  raw->write (read_of ("/bytes/" + std::to_string (body_bytes), "large"));
  ASSERT_TRUE (run_until ([&] { return !raw->received.empty (); }));
  raw->write (read_of ("/calendar", "behind"));
  /* The caller is slow: the end of the response waits in the kernel. */
  ev_io_stop (loop, &raw->io);
  ASSERT_TRUE (run_until ([&] { return caller_task_in_flight (task) == 0; }));
  ev_io_start (loop, &raw->io);
  EXPECT_TRUE (run_until ([&] { return raw->closed; }));
  EXPECT_FALSE (raw->reset);
  EXPECT_EQ (body_size (*raw), body_bytes);
  EXPECT_EQ (target_server_runs (target, "behind"), 0U);
  raw->hang_up ();
}

/* Guards against requests that a host accepts while it ends: their connections
   would be reset. */
TEST_F (ClosingConnectionTest, LeavingHostClosesItsConnectionsInOrder)
{
  settings.limits.keep_answer_ms = 100;
  settings.times.suspect_after_ms = 100;
  auto idle = connect_raw ();
  idle->write (read_of ("/calendar", "before"));
  ASSERT_TRUE (run_until ([&] { return !idle->received.empty (); }));
  EXPECT_FALSE (idle->closed);
  begin_leaving ();
  const int64_t start_ms = clock_now_ms ();
  std::unique_ptr<RawCaller> late;
  EXPECT_TRUE (run_until ([&] {
    if (late == nullptr && clock_now_ms () >= start_ms + 100)
      {
        late = connect_raw ();
        late->write (read_of ("/calendar", "late"));
      }
    return has_left;
  }));
  EXPECT_TRUE (late != nullptr && late->closed && !late->reset);
  EXPECT_NE (late->received.find (" 200 "), std::string::npos);
  EXPECT_TRUE (idle->closed);
  EXPECT_FALSE (idle->reset);
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in address = {};
  socklen_t size = sizeof address;
  getpeername (idle->fd, (sockaddr *)&address, &size);
  EXPECT_EQ (connect (fd, (sockaddr *)&address, size), -1);
  close (fd);
  idle->hang_up ();
  late->hang_up ();
}

} // namespace
