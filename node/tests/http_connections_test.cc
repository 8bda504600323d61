/** When a server closes a connection, and what it has read by then. */
#include <gtest/gtest.h>

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <functional>
#include <memory>
#include <string>
#include <vector>

extern "C"
{
#include "base/clock.h"
#include "node/http_connections.h"
#include "node/mhd_loop.h"
#include "node/plain_server.h"
}

namespace
{

constexpr useconds_t pause_us = 300000;
const std::string whole_request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

int
connect_to (int port)
{
  sockaddr_in in = {};
  in.sin_family = AF_INET;
  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  in.sin_port = htons (static_cast<uint16_t> (port));
  const int fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  EXPECT_EQ (connect (fd, reinterpret_cast<sockaddr *> (&in), sizeof in), 0);
  return fd;
}

struct Peer
{
  int fd;
  std::string received = "";
  bool closed = false;

  explicit Peer (int port) : fd (connect_to (port))
  {
  }
  Peer (const Peer &) = delete;
  Peer &operator= (const Peer &) = delete;
  ~Peer ()
  {
    close (fd);
  }

  void
  write (const std::string &text)
  {
    EXPECT_EQ (send (fd, text.data (), text.size (), MSG_NOSIGNAL),
               static_cast<ssize_t> (text.size ()));
  }

  void
  read ()
  {
    char data[4096];
    ssize_t got;
    while (!closed && (got = recv (fd, data, sizeof data, MSG_DONTWAIT)) != -1)
      {
        received.append (data, static_cast<size_t> (got));
        closed = got == 0;
      }
    closed = closed || (errno != EAGAIN && errno != EWOULDBLOCK);
  }

  bool
  has_answer () const
  {
    return received.find (" 200 ") != std::string::npos;
  }
};

enum MHD_Result
answer_ok (MHD_Connection *connection)
{
  MHD_Response *response
      = MHD_create_response_from_buffer (0, nullptr, MHD_RESPMEM_PERSISTENT);
  const MHD_Result queued = MHD_queue_response (connection, 200, response);
  MHD_destroy_response (response);
  return queued;
}

class HttpConnections : public testing::Test
{
protected:
  void
  SetUp () override
  {
    loop = ev_loop_new (EVFLAG_AUTO);
  }

  void
  TearDown () override
  {
    if (server != nullptr)
      {
        mhd_loop_destroy (server);
        MHD_stop_daemon (daemon);
        http_connections_destroy (connections);
      }
    ev_loop_destroy (loop);
  }

  void
  begin (int64_t idle_ms, unsigned int progress_s)
  {
    sockaddr_storage address;
    mhd_loop_parse_address ("127.0.0.1:0", &address);
    const http_connections_options options
        = { .loop = loop, .idle_ms = idle_ms, .progress_s = progress_s };
    connections = http_connections_create (&options);
    daemon = MHD_start_daemon (
        MHD_USE_EPOLL, 0, nullptr, nullptr, on_request, this,
        MHD_OPTION_SOCK_ADDR, &address, MHD_OPTION_URI_LOG_CALLBACK,
        http_connections_on_request_line, nullptr, MHD_OPTION_NOTIFY_COMPLETED,
        on_completed, nullptr, MHD_OPTION_NOTIFY_CONNECTION, on_event, this,
        MHD_OPTION_END);
    ASSERT_NE (daemon, nullptr);
    server = mhd_loop_create (loop, daemon,
                              http_connections_for_loop (connections));
    port = mhd_loop_bound_port (daemon);
  }

  static enum MHD_Result
  on_request (void *, MHD_Connection *connection, const char *, const char *,
              const char *, const char *, size_t *upload_bytes, void **state)
  {
    static int head_seen;
    if (*state == nullptr)
      {
        *state = &head_seen;
        return MHD_YES;
      }
    if (*upload_bytes == 0)
      return answer_ok (connection);
    *upload_bytes = 0;
    return MHD_YES;
  }

  static void
  on_completed (void *, MHD_Connection *connection, void **,
                MHD_RequestTerminationCode)
  {
    http_connections_request_ended (connection);
  }

  static void
  on_event (void *owner, MHD_Connection *connection, void **state,
            MHD_ConnectionNotificationCode code)
  {
    auto *test = static_cast<HttpConnections *> (owner);
    http_connections_on_event (test->connections, connection, state, code);
    if (code == MHD_CONNECTION_NOTIFY_STARTED && test->on_accepted)
      test->on_accepted ();
  }

  void
  run_until (const std::function<bool ()> &ready, int64_t limit_ms = 10000)
  {
    const int64_t end_ms = clock_now_ms () + limit_ms;
    while (!ready () && clock_now_ms () < end_ms)
      {
        ev_run (loop, EVRUN_NOWAIT);
        usleep (1000);
      }
  }

  void
  run_ms (int64_t ms)
  {
    run_until ([] { return false; }, ms);
  }

  struct ev_loop *loop = nullptr;
  http_connections *connections = nullptr;
  MHD_Daemon *daemon = nullptr;
  mhd_loop *server = nullptr;
  int port = 0;
  std::function<void ()> on_accepted;
};

/* Guards against a library that counts a new timeout from before it was
   set. */
TEST_F (HttpConnections, TimeoutIsCountedFromItsSetting)
{
  begin (3000, 30);
  Peer peer (port);
  const int64_t start_ms = clock_now_ms ();
  run_until ([&] {
    peer.read ();
    return peer.closed;
  });
  EXPECT_TRUE (peer.closed);
  EXPECT_GE (clock_now_ms () - start_ms, 2900);
}

/* Guards against a request that comes while the process stands still within a
   run of the library, between the look and the library's own check. */
TEST_F (HttpConnections, RequestThatComesWithinARunIsAnswered)
{
  begin (1500, 30);
  Peer peer (port);
  run_ms (1300);
  on_accepted = [&] {
    peer.write (whole_request);
    usleep (pause_us);
  };
  Peer other (port);
  run_until ([&] {
    peer.read ();
    return peer.closed || peer.has_answer ();
  });
  EXPECT_TRUE (peer.has_answer ());
}

/* Guards against a body that comes while the process stands still, and that
   the progress timeout leaves unread. */
TEST_F (HttpConnections, BodyThatWaitsForAPausedHostIsRead)
{
  begin (30000, 1);
  Peer peer (port);
  peer.write ("PUT / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n");
  run_ms (800);
  peer.write ("body");
  usleep (pause_us);
  run_until ([&] {
    peer.read ();
    return peer.closed || peer.has_answer ();
  });
  EXPECT_TRUE (peer.has_answer ());
}

/* Guards against the same with the end of a head. */
TEST_F (HttpConnections, EndOfAHeadThatWaitsForAPausedHostIsRead)
{
  begin (30000, 1);
  Peer peer (port);
  peer.write ("GET / HTTP/1.1\r\nHost: h\r\n");
  run_ms (800);
  peer.write ("\r\n");
  usleep (pause_us);
  run_until ([&] {
    peer.read ();
    return peer.closed || peer.has_answer ();
  });
  EXPECT_TRUE (peer.has_answer ());
}

/* Guards against requests behind others that the library holds already. */
TEST_F (HttpConnections, RequestsSentAheadAreAnswered)
{
  begin (1000, 1);
  Peer peer (port);
  run_ms (900);
  std::string many;
  for (int i = 0; i < 30; i++)
    many += whole_request;
  peer.write (many);
  usleep (pause_us);
  size_t answers = 0;
  run_until ([&] {
    peer.read ();
    answers = 0;
    for (size_t at = 0;
         (at = peer.received.find (" 200 ", at)) != std::string::npos; at++)
      answers++;
    return peer.closed || answers == 30;
  });
  EXPECT_EQ (answers, 30U);
}

/* Guards against a head that comes in parts around the end of its connection,
   none of them while the process runs. */
TEST_F (HttpConnections, HeadInPartsIsAnswered)
{
  begin (1000, 1);
  Peer peer (port);
  run_ms (900);
  peer.write ("GE");
  usleep (pause_us);
  run_ms (20);
  peer.read ();
  EXPECT_FALSE (peer.closed);
  peer.write ("T / HTTP/1.1\r\nHost: h\r\n");
  usleep (pause_us);
  run_ms (20);
  peer.write ("\r\n");
  run_until ([&] {
    peer.read ();
    return peer.closed || peer.has_answer ();
  });
  EXPECT_TRUE (peer.has_answer ());
}

enum MHD_Result
answer_plain (void *, MHD_Connection *connection, const char *, const char *)
{
  return plain_server_respond (connection, 200, "text/plain", "ok\n");
}

/* Guards against connections that the kernel has accepted, and whose requests
   it has received, and that are reset when the server ends. */
TEST_F (HttpConnections, EndingPlainServerAnswersWhatHasCome)
{
  const int free_fd = socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in in = {};
  in.sin_family = AF_INET;
  in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  socklen_t size = sizeof in;
  ASSERT_EQ (bind (free_fd, reinterpret_cast<sockaddr *> (&in), size), 0);
  getsockname (free_fd, reinterpret_cast<sockaddr *> (&in), &size);
  close (free_fd);
  const std::string address
      = "127.0.0.1:" + std::to_string (ntohs (in.sin_port));
  const plain_server_options options = { .loop = loop,
                                         .address = address.c_str (),
                                         .what = "test",
                                         .answer = answer_plain,
                                         .owner = nullptr };
  plain_server *plain = nullptr;
  ASSERT_EQ (plain_server_create (&options, &plain), STATUS_OK);
  std::vector<std::unique_ptr<Peer>> peers;
  for (int i = 0; i < 30; i++)
    {
      peers.push_back (std::make_unique<Peer> (ntohs (in.sin_port)));
      peers.back ()->write (whole_request);
    }
  plain_server_destroy (plain);
  int answered = 0;
  for (auto &peer : peers)
    {
      peer->read ();
      answered += peer->has_answer () ? 1 : 0;
    }
  EXPECT_EQ (answered, 30);
}

} // namespace
