#include "caller_fixture.h"

#include <cstdio>
#include <ctime>
#include <dirent.h>
#include <fstream>
#include <netinet/in.h>
#include <set>
#include <sys/socket.h>
#include <sys/stat.h>
#include <cstring>
#include <thread>
#include <unistd.h>

extern "C"
{
#include "base/clock.h"
}

namespace
{

constexpr size_t body_bytes = 400000;
constexpr int small_buffer_bytes = 32768;
constexpr useconds_t stall_us = 400000, pause_us = 1300000;

class ConnectionEndTest : public CallerTest
{
protected:
  void
  begin_host (uint32_t connections)
  {
    settings.limits.keep_answer_ms = 100;
    settings.times.suspect_after_ms = 100;
    settings.limits.connections = connections;
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

  /** A caller that has sent two reads and reads little of the first response,
   * the end of which waits at the host. */
  std::unique_ptr<RawCaller>
  begin_slow ()
  {
    auto raw = connect_raw ();
    setsockopt (raw->fd, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes,
                sizeof small_buffer_bytes);
    raw->write (read_of ("/bytes/" + std::to_string (body_bytes), "large"));
    EXPECT_TRUE (run_until ([&] { return !raw->received.empty (); }));
    raw->write (read_of ("/calendar", "behind"));
    ev_io_stop (loop, &raw->io);
    EXPECT_TRUE (
        run_until ([&] { return caller_task_in_flight (task) == 0; }));
    return raw;
  }

  void
  run_ms (int64_t ms)
  {
    const int64_t end_ms = clock_now_ms () + ms;
    run_until ([&] { return clock_now_ms () >= end_ms; });
  }

  bool
  accepts ()
  {
    const std::string address = caller_task_address (task);
    sockaddr_in in = {};
    in.sin_family = AF_INET;
    in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    in.sin_port = htons (
        (uint16_t)std::stoi (address.substr (address.rfind (':') + 1)));
    const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const bool ok = connect (fd, (sockaddr *)&in, sizeof in) == 0;
    close (fd);
    return ok;
  }

  void
  expect_whole (RawCaller *raw, bool sends_more)
  {
    if (sends_more)
      {
        raw->write (read_of ("/calendar", "more"));
        run_ms (20);
      }
    ev_io_start (loop, &raw->io);
    EXPECT_TRUE (run_until ([&] { return raw->closed; }));
    EXPECT_FALSE (raw->reset);
    EXPECT_EQ (raw->received.size () - raw->received.find ("\r\n\r\n") - 4,
               body_bytes);
    raw->hang_up ();
  }

  /** Connections that this host has closed and that it still reads. */
  int
  lingering ()
  {
    const std::string name = "\njaystair_lingering_connections ";
    const std::string counts = exposed ();
    return std::stoi (counts.substr (counts.find (name) + name.size ()));
  }

  /** A response is under delivery while COUNT others end, whose callers don't
   * close at once. */
  void
  close_beside (int count)
  {
    begin_host (30); /* three may linger */
    settings.limits.keep_answer_ms = 3000;
    begin_leaving ();
    auto slow = begin_slow ();
    EXPECT_EQ (lingering (), 1);
    std::vector<std::unique_ptr<RawCaller>> others;
    for (int i = 0; i < count; i++)
      {
        others.push_back (connect_raw ());
        others.back ()->write (
            read_of ("/calendar", "o" + std::to_string (i)));
        ASSERT_TRUE (run_until ([&] { return others.back ()->closed; }));
      }
    expect_whole (slow.get (), true);
    for (auto &raw : others)
      raw->hang_up ();
  }

  target_server *target = nullptr;
  bool has_left = false;
};

TEST_F (ConnectionEndTest, ResponseUnderDeliveryBesideTwoThatEnd)
{
  close_beside (2);
}

/* Guards against connections with nothing left to deliver that displace one
   whose response is under delivery. */
TEST_F (ConnectionEndTest, ResponseUnderDeliveryIsntDisplaced)
{
  close_beside (3);
}

/* Guards against requests that a host reads and drops on a connection which it
   has closed as idle, so that their caller can't know that they didn't run. */
TEST_F (ConnectionEndTest, IdleConnectionOfALeavingHostIsNotReadAfterItsClose)
{
  begin_host (1000);
  auto idle = connect_raw ();
  idle->write (read_of ("/calendar", "before"));
  ASSERT_TRUE (run_until ([&] { return !idle->received.empty (); }));
  begin_leaving ();
  ASSERT_TRUE (run_until ([&] { return idle->closed; }));
  EXPECT_FALSE (idle->reset);
  EXPECT_EQ (lingering (), 0);
  idle->write (read_of ("/calendar", "late"));
  run_ms (20);
  EXPECT_EQ (send (idle->fd, "x", 1, MSG_NOSIGNAL), -1);
  idle->hang_up ();
}

/* Guards against the same with a response under delivery that was begun before
   the host leaves and so doesn't close its connection. */
TEST_F (ConnectionEndTest, KeptConnectionUnderDeliveryIsClosedInOrder)
{
  begin_host (1000);
  auto raw = connect_raw ();
  setsockopt (raw->fd, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes,
              sizeof small_buffer_bytes);
  raw->write (read_of ("/bytes/" + std::to_string (body_bytes), "large"));
  ASSERT_TRUE (run_until ([&] { return !raw->received.empty (); }));
  ev_io_stop (loop, &raw->io);
  ASSERT_TRUE (run_until ([&] { return caller_task_in_flight (task) == 0; }));
  auto idle = connect_raw ();
  idle->write (read_of ("/calendar", "before"));
  ASSERT_TRUE (run_until ([&] { return !idle->received.empty (); }));
  begin_leaving ();
  ASSERT_TRUE (run_until ([&] { return idle->closed && lingering () == 1; }));
  EXPECT_FALSE (has_left);
  expect_whole (raw.get (), true);
  idle->hang_up ();
}

/* Guards against a host that ends with time left and resets a response under
   delivery. */
TEST_F (ConnectionEndTest, LeavingHostWaitsForAResponseUnderDelivery)
{
  begin_host (1000);
  begin_leaving ();
  const int64_t start_ms = clock_now_ms ();
  auto slow = begin_slow ();
  ASSERT_TRUE (run_until ([&] { return clock_now_ms () >= start_ms + 1500; }));
  EXPECT_FALSE (has_left);
  expect_whole (slow.get (), true);
  EXPECT_TRUE (run_until ([&] { return has_left; }));
}

TEST_F (ConnectionEndTest, LeavingHostEndsUnderAResponseWithNothingBehind)
{
  begin_host (1000);
  begin_leaving ();
  auto raw = connect_raw ();
  setsockopt (raw->fd, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes,
              sizeof small_buffer_bytes);
  raw->write (read_of ("/bytes/" + std::to_string (body_bytes), "large"));
  ASSERT_TRUE (run_until ([&] { return !raw->received.empty (); }));
  ev_io_stop (loop, &raw->io);
  ASSERT_TRUE (run_until ([&] { return has_left; }));
  caller_task_destroy (task);
  task = nullptr;
  expect_whole (raw.get (), false);
}

/* Guards against a request that waits in the kernel while the host isn't
   scheduled and is discarded instead of answered. */
TEST_F (ConnectionEndTest, RequestBeforeTheCloseIsAnswered)
{
  begin_host (1000);
  auto idle = connect_raw ();
  idle->write (read_of ("/calendar", "before"));
  ASSERT_TRUE (run_until ([&] { return !idle->received.empty (); }));
  begin_leaving ();
  ASSERT_TRUE (run_until ([&] { return !accepts (); }));
  ASSERT_FALSE (idle->closed);
  idle->received.clear ();
  idle->write (read_of ("/calendar", "waits"));
  usleep (stall_us);
  EXPECT_TRUE (run_until ([&] { return idle->closed; }));
  EXPECT_NE (idle->received.find (" 200 "), std::string::npos);
  EXPECT_FALSE (idle->reset);
  idle->hang_up ();
}

/* Guards against the same where the host stands still until the connection
   counts as idle. */
TEST_F (ConnectionEndTest, RequestThatWaitsForAPausedHostIsAnswered)
{
  begin_host (1000);
  settings.limits.keep_answer_ms = 5000;
  auto idle = connect_raw ();
  idle->write (read_of ("/calendar", "before"));
  ASSERT_TRUE (run_until ([&] { return !idle->received.empty (); }));
  begin_leaving ();
  run_ms (50);
  idle->received.clear ();
  idle->write (read_of ("/calendar", "waits"));
  usleep (pause_us);
  EXPECT_TRUE (
      run_until ([&] { return idle->closed || !idle->received.empty (); }));
  EXPECT_NE (idle->received.find (" 200 "), std::string::npos);
  idle->hang_up ();
}

/* Guards against connections that the kernel has accepted and that are reset
   when the host stops listening. */
TEST_F (ConnectionEndTest, AcceptedConnectionsAreServedWhenListeningEnds)
{
  begin_host (1000);
  begin_leaving ();
  const int64_t start_ms = clock_now_ms ();
  ASSERT_TRUE (run_until ([&] { return clock_now_ms () >= start_ms + 130; }));
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < 60; i++)
    {
      callers.push_back (connect_raw ());
      callers.back ()->write (read_of ("/calendar", "c" + std::to_string (i)));
    }
  usleep (stall_us);
  EXPECT_TRUE (run_until ([&] {
    for (auto &raw : callers)
      if (!raw->closed)
        return false;
    return true;
  }));
  int reset = 0;
  int served = 0;
  for (auto &raw : callers)
    {
      reset += raw->reset ? 1 : 0;
      served += raw->received.find (" 200 ") != std::string::npos ? 1 : 0;
      raw->hang_up ();
    }
  EXPECT_EQ (reset, 0);
  EXPECT_EQ (served, 60);
}

/* Sends a long request between the poll of the loop and its callbacks, as when
   the process isn't scheduled there. */
struct LateWriter
{
  ev_check check;
  int64_t from_ms;
  int64_t until_ms = 0;
  RawCaller *raw;
  std::string text;
  bool done = false;
};

TEST_F (ConnectionEndTest, LongRequestReadWhenListeningEndsIsAnswered)
{
  begin_host (1000);
  /* The phase ends between two checks. */
  settings.times.suspect_after_ms = 125;
  auto raw = connect_raw ();
  raw->write (read_of ("/calendar", "before"));
  ASSERT_TRUE (run_until ([&] { return !raw->received.empty (); }));
  raw->received.clear ();
  begin_leaving ();
  LateWriter writer;
  writer.from_ms = clock_now_ms () + 227;
  writer.raw = raw.get ();
  const std::string body (60000, 'b');
  writer.text = "PUT /calendar HTTP/1.1\r\nHost: a\r\nX-Request-Id: put\r\n"
                "Content-Length: 60000\r\n\r\n"
                + body;
  ev_check_init (&writer.check, [] (struct ev_loop *, ev_check *check, int) {
    auto *w = static_cast<LateWriter *> (check->data);
    if (w->done || clock_now_ms () < w->from_ms)
      return;
    w->done = true;
    w->raw->write (w->text);
  });
  writer.check.data = &writer;
  ev_set_priority (&writer.check, EV_MAXPRI);
  ev_check_start (loop, &writer.check);
  EXPECT_TRUE (run_until ([&] { return raw->closed; }));
  EXPECT_NE (raw->received.find (" 200 "), std::string::npos);
  ev_check_stop (loop, &writer.check);
  raw->hang_up ();
}

/* Sockets that epoll sets of this process watch under a descriptor that is
   closed or stands for another socket. */
std::set<std::string>
stale_registrations ()
{
  std::set<std::string> stale;
  DIR *dir = opendir ("/proc/self/fdinfo");
  while (dirent *entry = readdir (dir))
    {
      std::ifstream info (std::string ("/proc/self/fdinfo/") + entry->d_name);
      std::string line;
      while (std::getline (info, line))
        {
          int fd = -1;
          unsigned long number = 0;
          const char *at = strstr (line.c_str (), " ino:");
          struct stat status = {};
          if (at != nullptr && sscanf (line.c_str (), "tfd: %d", &fd) == 1
              && sscanf (at, " ino:%lx", &number) == 1
              && (fstat (fd, &status) != 0 || status.st_ino != number))
            stale.insert (std::string (entry->d_name) + " watches "
                          + std::to_string (fd));
        }
    }
  closedir (dir);
  return stale;
}

/* Guards against a registration in an epoll set that outlives its connection,
   since a duplicate of the descriptor is open. */
TEST_F (ConnectionEndTest, NoEpollSetWatchesAClosedConnection)
{
  begin_host (1000);
  begin_leaving ();
  auto slow = begin_slow ();
  target_server_faults (target)->delay_ms = 100;
  auto other = connect_raw ();
  other->write (read_of ("/slow", "waits"));
  run_ms (50);
  EXPECT_EQ (stale_registrations (), std::set<std::string> ());
  EXPECT_TRUE (run_until ([&] { return other->closed; }));
  EXPECT_EQ (stale_registrations (), std::set<std::string> ());
  EXPECT_TRUE (run_until ([&] { return !accepts (); }));
  run_ms (120);
  EXPECT_EQ (stale_registrations (), std::set<std::string> ());
  other->hang_up ();
  slow->hang_up ();
}

/* Guards against the same where the library closes a connection by itself. */
TEST_F (ConnectionEndTest, NoEpollSetWatchesAConnectionWithABadRequest)
{
  begin_host (1000);
  auto raw = connect_raw ();
  raw->write ("GET\r\n\r\n");
  EXPECT_TRUE (run_until ([&] { return raw->closed; }));
  EXPECT_FALSE (raw->reset);
  EXPECT_EQ (lingering (), 1);
  EXPECT_EQ (stale_registrations (), std::set<std::string> ());
  raw->write (read_of ("/calendar", "more"));
  run_ms (50);
  EXPECT_EQ (stale_registrations (), std::set<std::string> ());
  raw->hang_up ();
}

/* Guards against an end of the delivery at a caller that reads slowly. */
TEST_F (ConnectionEndTest, ResponseThatIsReadForLongIsDelivered)
{
  begin_host (1000);
  settings.limits.keep_answer_ms = 3000;
  begin_leaving ();
  auto slow = begin_slow ();
  for (int i = 0; i < 25; i++)
    {
      char data[2000];
      const ssize_t got = recv (slow->fd, data, sizeof data, MSG_DONTWAIT);
      if (got > 0)
        slow->received.append (data, (size_t)got);
      run_ms (100);
    }
  EXPECT_FALSE (has_left);
  expect_whole (slow.get (), true);
}

/* A host that is stopped in the middle of a response that ends with its
   connection, at an HTTP/1.0 caller that doesn't read. */
TEST_F (ConnectionEndTest, CutResponseToAnOldCallerIsReset)
{
  begin_host (1000);
  auto raw = connect_raw ();
  setsockopt (raw->fd, SOL_SOCKET, SO_RCVBUF, &small_buffer_bytes,
              sizeof small_buffer_bytes);
  raw->write ("GET /bytes/60000000 HTTP/1.0\r\nHost: a\r\nX-Request-Id: "
              "old\r\n\r\n");
  ASSERT_TRUE (run_until ([&] { return !raw->received.empty (); }));
  ev_io_stop (loop, &raw->io);
  run_ms (50);
  EXPECT_EQ (caller_task_in_flight (task), 1U);
  caller_task_destroy (task);
  task = nullptr;
  ev_io_start (loop, &raw->io);
  EXPECT_TRUE (run_until ([&] { return raw->closed; }));
  EXPECT_TRUE (raw->reset);
  raw->hang_up ();
}

/** A target that sends the head of a response without a length and a part of
 * its body, and then nothing. */
struct UnsizedTarget
{
  int listener = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  int fd = -1;
  std::string address;
  std::thread thread;

  UnsizedTarget ()
  {
    sockaddr_in in = {};
    in.sin_family = AF_INET;
    in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    socklen_t size = sizeof in;
    bind (listener, (sockaddr *)&in, sizeof in);
    listen (listener, 5);
    getsockname (listener, (sockaddr *)&in, &size);
    address = "127.0.0.1:" + std::to_string (ntohs (in.sin_port));
    thread = std::thread ([this] {
      fd = accept (listener, nullptr, nullptr);
      char data[4096];
      if (fd < 0 || recv (fd, data, sizeof data, 0) <= 0)
        return;
      const std::string text
          = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\npart";
      send (fd, text.data (), text.size (), MSG_NOSIGNAL);
    });
  }

  ~UnsizedTarget ()
  {
    shutdown (listener, SHUT_RDWR);
    thread.join ();
    close (listener);
    close (fd);
  }
};

class CutUnsizedTest : public ConnectionEndTest,
                       public testing::WithParamInterface<const char *>
{
};

/* Guards against an orderly end of a cut response that ends with its
   connection. */
TEST_P (CutUnsizedTest, CutResponseDoesntLookWhole)
{
  settings.limits.keep_answer_ms = 100;
  settings.times.suspect_after_ms = 100;
  UnsizedTarget unsized;
  start ();
  put_service_at (unsized.address);
  begin_leaving ();
  auto raw = connect_raw ();
  raw->write (std::string ("GET /calendar HTTP/") + GetParam ()
              + "\r\nHost: a\r\nX-Request-Id: u\r\n\r\n");
  ASSERT_TRUE (run_until (
      [&] { return raw->received.find ("part") != std::string::npos; }));
  caller_task_answer_all_now (task);
  run_ms (100);
  caller_task_destroy (task);
  task = nullptr;
  EXPECT_TRUE (run_until ([&] { return raw->closed; }));
  const bool is_chunked
      = raw->received.find ("chunked") != std::string::npos
        && raw->received.find ("\r\n0\r\n") == std::string::npos;
  EXPECT_TRUE (raw->reset || is_chunked) << raw->received;
  raw->hang_up ();
}

INSTANTIATE_TEST_SUITE_P (Versions, CutUnsizedTest,
                          testing::Values ("1.0", "1.1"));

/* Guards against a use of requests at targets after their host was stopped. */
TEST_F (ConnectionEndTest, HostStoppedAtOnceWithRequestsAtTargets)
{
  begin_host (1000);
  target_server_faults (target)->delay_ms = 5000;
  std::vector<std::unique_ptr<RawCaller>> callers;
  for (int i = 0; i < 5; i++)
    {
      callers.push_back (connect_raw ());
      callers.back ()->write (read_of ("/slow", "s" + std::to_string (i)));
    }
  ASSERT_TRUE (run_until ([&] { return caller_task_in_flight (task) == 5; }));
  run_ms (50);
  caller_task_destroy (task);
  task = nullptr;
  for (auto &raw : callers)
    raw->hang_up ();
}

} // namespace
