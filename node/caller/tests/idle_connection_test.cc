/** Connections without a request: how long callers may use them again, and how
 * they end. */
#include "caller_fixture.h"

#include <cerrno>
#include <sys/socket.h>
#include <unistd.h>

extern "C"
{
#include "base/clock.h"
}

namespace
{

constexpr useconds_t pause_us = 300000;

class IdleConnection : public CallerTest
{
protected:
  /** A host that serves for 2.5 s after it begins to leave, and whose callers
   * may use a connection again after two seconds. */
  void
  begin_host ()
  {
    settings.times.shutdown_ms = 6000;
    settings.times.suspect_after_ms = 1500;
    target = add_target ("t1");
    start ();
    put_service (usual_routes);
    ASSERT_EQ (get ("/calendar", "first")->status, 200);
  }

  void
  begin_leaving ()
  {
    leaving_since_ms = clock_now_ms ();
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

  void
  run_ms (int64_t ms)
  {
    const int64_t end_ms = clock_now_ms () + ms;
    run_until ([&] { return clock_now_ms () >= end_ms; });
  }

  /** A caller whose first request was answered. */
  std::unique_ptr<RawCaller>
  connect_used ()
  {
    auto raw = connect_raw ();
    raw->write (read_of ("/calendar", "before"));
    EXPECT_TRUE (run_until ([&] { return has_answer (*raw, " 200 "); }));
    return raw;
  }

  static bool
  has_answer (const RawCaller &raw, const std::string &status)
  {
    return raw.received.find (status) != std::string::npos
           && raw.received.find ("\r\n\r\n") != std::string::npos;
  }

  /** Expect an answer to a request that is sent now.  The host stands still
   * for STALL_US after it has come.
   * @return false if the test is late: the host has closed, or is to refuse */
  bool
  expect_served (RawCaller *raw, useconds_t stall_us = 0)
  {
    char byte;
    raw->received.clear ();
    bool is_late = recv (raw->fd, &byte, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
    if (!is_late)
      {
        raw->write (read_of ("/calendar", "again"));
        usleep (stall_us);
        is_late = leaving_since_ms > 0
                  && clock_now_ms () - leaving_since_ms > 2950;
      }
    if (is_late)
      {
        raw->hang_up ();
        return false;
      }
    EXPECT_TRUE (
        run_until ([&] { return raw->closed || has_answer (*raw, " 200 "); }));
    EXPECT_TRUE (has_answer (*raw, " 200 ")) << raw->received;
    raw->hang_up ();
    return true;
  }

  /** Play a case until the test isn't late, each time at a new host. */
  void
  play (const std::function<bool ()> &is_in_time)
  {
    for (int i = 0; i < 20; i++)
      {
        if (i > 0)
          restart_host ();
        if (is_in_time ())
          return;
      }
    FAIL () << "late each time";
  }

  void
  restart_host ()
  {
    caller_task_destroy (task);
    start ();
    put_service (usual_routes);
    has_left = false;
    leaving_since_ms = 0;
  }

  int
  lingering ()
  {
    const std::string name = "\njaystair_lingering_connections ";
    const std::string counts = exposed ();
    return std::stoi (counts.substr (counts.find (name) + name.size ()));
  }

  target_server *target = nullptr;
  bool has_left = false;
  int64_t leaving_since_ms = 0;
};

/* Guards against callers who can't know how long they may use a connection
   again. */
TEST_F (IdleConnection, AnswersSayHowLongTheirConnectionMayBeReused)
{
  begin_host ();
  auto raw = connect_used ();
  EXPECT_NE (raw->received.find ("Keep-Alive: timeout=2\r\n"),
             std::string::npos);
  post_service ("", usual_routes, "");
  ev_run (loop, EVRUN_NOWAIT);
  raw->received.clear ();
  raw->write (read_of ("/calendar", "refused"));
  EXPECT_TRUE (run_until ([&] { return has_answer (*raw, " 503 "); }));
  EXPECT_NE (raw->received.find ("Keep-Alive: timeout=2\r\n"),
             std::string::npos);
  begin_leaving ();
  raw->received.clear ();
  raw->write (read_of ("/calendar", "last"));
  EXPECT_TRUE (run_until ([&] { return has_answer (*raw, " 503 "); }));
  EXPECT_EQ (raw->received.find ("Keep-Alive"), std::string::npos);
  EXPECT_NE (raw->received.find ("Connection: close\r\n"), std::string::npos);
  raw->hang_up ();
}

/* Guards against a leaving host that closes connections which their callers
   use again in time. */
TEST_F (IdleConnection, LeavingHostServesTheNextRequest)
{
  begin_host ();
  play ([&] {
    auto raw = connect_used ();
    begin_leaving ();
    run_ms (1900);
    return expect_served (raw.get ());
  });
}

/* Guards against the same on a connection that has had no request. */
TEST_F (IdleConnection, LeavingHostServesTheFirstRequest)
{
  begin_host ();
  play ([&] {
    auto raw = connect_raw ();
    run_ms (100);
    begin_leaving ();
    run_ms (1900);
    return expect_served (raw.get ());
  });
}

/* Guards against a connection that the timeout ends while the host, which
   isn't scheduled, has a request of it in the kernel. */
TEST_F (IdleConnection, RequestOnAConnectionOfALeavingHostAboutToEndIsServed)
{
  begin_host ();
  play ([&] {
    auto raw = connect_used ();
    begin_leaving ();
    run_ms (2350);
    return expect_served (raw.get (), pause_us);
  });
}

TEST_F (IdleConnection, RequestOnAConnectionAboutToTimeOutIsServed)
{
  settings.limits.idle_timeout_ms = 2000;
  begin_host ();
  play ([&] {
    auto raw = connect_used ();
    run_ms (1850);
    return expect_served (raw.get (), pause_us);
  });
}

/* Guards against the same when the host closes all that are left. */
TEST_F (IdleConnection, RequestIsAnsweredBeforeAllConnectionsClose)
{
  begin_host ();
  play ([&] {
    begin_leaving ();
    run_ms (1900);
    auto raw = connect_raw ();
    run_ms (30);
    caller_task_answer_all_now (task);
    return expect_served (raw.get (), pause_us);
  });
  EXPECT_TRUE (run_until ([&] { return has_left; }));
}

/* Guards against connections that stay open for ever. */
TEST_F (IdleConnection, ClosesAfterTheIdleTimeout)
{
  settings.limits.idle_timeout_ms = 1500;
  begin_host ();
  auto used = connect_used ();
  auto unused = connect_raw ();
  const int64_t start_ms = clock_now_ms ();
  ASSERT_TRUE (run_until ([&] { return used->closed && unused->closed; }));
  EXPECT_GE (clock_now_ms () - start_ms, 1400);
  EXPECT_FALSE (used->reset);
  EXPECT_FALSE (unused->reset);
  used->hang_up ();
  unused->hang_up ();
}

/* Guards against a host that keeps the caller's kernel from telling that the
   request wasn't read. */
TEST_F (IdleConnection, RequestAfterTheCloseIsNotRead)
{
  settings.limits.idle_timeout_ms = 1000;
  begin_host ();
  auto raw = connect_used ();
  ASSERT_TRUE (run_until ([&] { return raw->closed; }));
  EXPECT_FALSE (raw->reset);
  EXPECT_EQ (lingering (), 0);
  const std::string text = read_of ("/calendar", "late");
  EXPECT_EQ (send (raw->fd, text.data (), text.size (), MSG_NOSIGNAL),
             (ssize_t)text.size ());
  run_ms (20);
  EXPECT_EQ (send (raw->fd, "x", 1, MSG_NOSIGNAL), -1);
  EXPECT_TRUE (errno == EPIPE || errno == ECONNRESET);
  raw->hang_up ();
}

/* Guards against a leaving host that waits for connections which nobody uses
   any more. */
TEST_F (IdleConnection, LeavingHostEndsWhenItsConnectionsArentReused)
{
  begin_host ();
  auto used = connect_used ();
  auto unused = connect_raw ();
  begin_leaving ();
  const int64_t start_ms = clock_now_ms ();
  ASSERT_TRUE (run_until ([&] { return has_left; }));
  EXPECT_GE (clock_now_ms () - start_ms, 2500);
  EXPECT_FALSE (used->reset);
  EXPECT_FALSE (unused->reset);
  used->hang_up ();
  unused->hang_up ();
}

} // namespace
