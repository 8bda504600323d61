/** What a leaving host has received in full when it closes all connections. */
#include "caller_fixture.h"

#include <sys/socket.h>
#include <unistd.h>

extern "C"
{
#include "base/clock.h"
}

namespace
{

constexpr useconds_t pause_us = 300000;

class ClosingLook : public CallerTest
{
protected:
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
    caller_task_begin_leaving (
        task, [] (void *owner) { *static_cast<bool *> (owner) = true; },
        &has_left);
  }

  static std::string
  read_of (const std::string &id, const std::string &fields = "")
  {
    return "GET /calendar HTTP/1.1\r\nHost: a\r\nX-Request-Id: " + id + "\r\n"
           + fields + "\r\n";
  }

  void
  run_ms (int64_t ms)
  {
    const int64_t end_ms = clock_now_ms () + ms;
    run_until ([&] { return clock_now_ms () >= end_ms; });
  }

  /** The host hasn't closed the connection by now, seen or not. */
  static bool
  is_open (const RawCaller &raw)
  {
    char byte;
    return recv (raw.fd, &byte, sizeof byte, MSG_PEEK | MSG_DONTWAIT) == -1;
  }

  void
  expect_answer (RawCaller *raw)
  {
    EXPECT_TRUE (run_until ([&] {
      return raw->closed
             || raw->received.find ("\r\n\r\n") != std::string::npos;
    }));
    EXPECT_EQ (raw->received.substr (0, 9), "HTTP/1.1 ");
    raw->hang_up ();
  }

  target_server *target = nullptr;
  bool has_left = false;
};

/* Guards against a head, longer than the library reads at once, that is left
   in the kernel when all connections close. */
TEST_F (ClosingLook, LongHeadIsAnsweredBeforeAllConnectionsClose)
{
  begin_host ();
  std::string fields;
  for (int i = 0; i < 18; i++)
    fields
        += "X-F" + std::to_string (i) + ": " + std::string (500, 'f') + "\r\n";
  auto before = connect_raw ();
  before->write (read_of ("before", fields));
  expect_answer (before.get ());
  begin_leaving ();
  run_ms (1900);
  auto raw = connect_raw ();
  run_ms (30);
  caller_task_answer_all_now (task);
  ASSERT_TRUE (is_open (*raw)) << "the test ran late";
  raw->write (read_of ("long", fields));
  usleep (pause_us);
  expect_answer (raw.get ());
}

/* Guards against the same with a body that is refused. */
TEST_F (ClosingLook, RequestWithABodyIsAnsweredBeforeAllConnectionsClose)
{
  begin_host ();
  begin_leaving ();
  run_ms (1900);
  auto raw = connect_raw ();
  run_ms (30);
  caller_task_answer_all_now (task);
  ASSERT_TRUE (is_open (*raw)) << "the test ran late";
  raw->write ("PUT /calendar HTTP/1.1\r\nHost: a\r\nX-Request-Id: p\r\n"
              "Content-Length: 100000\r\n\r\n"
              + std::string (100000, 'b'));
  usleep (pause_us);
  expect_answer (raw.get ());
}

/* Guards against a host that stands still when its time is over and ends
   without a look. */
TEST_F (ClosingLook, RequestIsAnsweredWhenTheTimeIsOver)
{
  begin_host ();
  target_server_faults (target)->delay_ms = 5000;
  auto slow = connect_raw ();
  slow->write ("GET /slow HTTP/1.1\r\nHost: a\r\nX-Request-Id: s\r\n\r\n");
  auto kept = connect_raw ();
  begin_leaving ();
  run_ms (2000);
  auto fresh = connect_raw ();
  run_ms (1300);
  auto waiting = connect_raw ();
  fresh->write (read_of ("fresh"));
  waiting->write (read_of ("waiting"));
  usleep (pause_us);
  caller_task_destroy (task);
  task = nullptr;
  expect_answer (fresh.get ());
  expect_answer (waiting.get ());
  slow->hang_up ();
  kept->hang_up ();
}

} // namespace
