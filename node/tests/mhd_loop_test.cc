#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <string.h>
#include <unistd.h>

#include <string>

extern "C"
{
#include "node/mhd_loop.h"
}

TEST (MhdLoop, ParsesNumericAddressesOnly)
{
  struct sockaddr_storage storage;
  ASSERT_EQ (mhd_loop_parse_address ("127.0.0.2:8080", &storage),
             sizeof (struct sockaddr_in));
  const auto *in = reinterpret_cast<struct sockaddr_in *> (&storage);
  EXPECT_EQ (ntohs (in->sin_port), 8080);
  EXPECT_EQ (ntohl (in->sin_addr.s_addr), 0x7f000002u);
  ASSERT_EQ (mhd_loop_parse_address ("[::1]:9", &storage),
             sizeof (struct sockaddr_in6));
  EXPECT_EQ (storage.ss_family, AF_INET6);
  const std::string too_long = std::string (100, '1') + ":80";
  for (const char *text :
       { "", ":", "127.0.0.1", "127.0.0.1:", "127.0.0.1:x", "127.0.0.1:-1",
         "127.0.0.1:65536", "127.0.0.1:80 ", "localhost:80", "::1:80", "[::1]",
         "[127.0.0.1]:80", "[]:80", ":80", too_long.c_str () })
    EXPECT_EQ (mhd_loop_parse_address (text, &storage), 0u) << text;
}

static enum MHD_Result
refuse_all (void *, struct MHD_Connection *, const char *, const char *,
            const char *, const char *, size_t *, void **)
{
  return MHD_NO;
}

TEST (MhdLoop, RefusesDaemonWithoutEpoll)
{
  struct MHD_Daemon *daemon
      = MHD_start_daemon (MHD_USE_NO_LISTEN_SOCKET, 0, nullptr, nullptr,
                          refuse_all, nullptr, MHD_OPTION_END);
  ASSERT_NE (daemon, nullptr);
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  EXPECT_EQ (mhd_loop_create (loop, daemon, nullptr), nullptr);
  EXPECT_NE (std::string (status_message ()).find ("MHD_USE_EPOLL"),
             std::string::npos);
  mhd_loop_destroy (nullptr);
  MHD_stop_daemon (daemon);
  ev_loop_destroy (loop);
}

/** A server that suspends a request until the test resumes it. */
struct suspending_server
{
  struct ev_loop *loop;
  struct mhd_loop *mhd_loop;
  struct MHD_Connection *connection;
  bool resumed;
  int calls;
};

static enum MHD_Result
suspend_until_resumed (void *owner, struct MHD_Connection *connection,
                       const char *, const char *, const char *, const char *,
                       size_t *, void **request)
{
  auto *server = static_cast<struct suspending_server *> (owner);
  server->calls++;
  if (server->resumed)
    {
      struct MHD_Response *response = MHD_create_response_from_buffer (
          0, nullptr, MHD_RESPMEM_PERSISTENT);
      const enum MHD_Result queued
          = MHD_queue_response (connection, MHD_HTTP_OK, response);
      MHD_destroy_response (response);
      return queued;
    }
  if (*request == nullptr)
    {
      *request = owner;
      return MHD_YES;
    }
  server->connection = connection;
  MHD_suspend_connection (connection);
  ev_break (server->loop, EVBREAK_ALL);
  return MHD_YES;
}

static void
on_response (struct ev_loop *loop, ev_io *, int)
{
  ev_break (loop, EVBREAK_ALL);
}

/* A caller waits forever although its response is ready, if the request is
   resumed outside the server's callbacks and no event wakes the loop. */
TEST (MhdLoop, RespondsToResumedRequest)
{
  struct suspending_server server = {};
  struct sockaddr_storage storage;
  mhd_loop_parse_address ("127.0.0.1:0", &storage);
  server.loop = ev_loop_new (EVFLAG_AUTO);
  struct MHD_Daemon *daemon
      = MHD_start_daemon (MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, nullptr,
                          nullptr, suspend_until_resumed, &server,
                          MHD_OPTION_SOCK_ADDR, &storage, MHD_OPTION_END);
  ASSERT_NE (daemon, nullptr);
  server.mhd_loop = mhd_loop_create (server.loop, daemon, nullptr);
  ASSERT_NE (server.mhd_loop, nullptr);
  auto *in = reinterpret_cast<struct sockaddr_in *> (&storage);
  in->sin_port = htons (mhd_loop_bound_port (daemon));
  const int fd = socket (AF_INET, SOCK_STREAM, 0);
  ASSERT_EQ (
      connect (fd, reinterpret_cast<struct sockaddr *> (in), sizeof *in), 0);
  const char request[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";
  ASSERT_EQ (write (fd, request, sizeof request - 1),
             static_cast<ssize_t> (sizeof request - 1));
  ev_run (server.loop, 0);
  ASSERT_NE (server.connection, nullptr);

  server.resumed = true;
  MHD_resume_connection (server.connection);
  mhd_loop_wake (server.mhd_loop);
  ev_io response;
  ev_io_init (&response, on_response, fd, EV_READ);
  ev_io_start (server.loop, &response);
  ev_run (server.loop, 0);
  char text[256] = {};
  EXPECT_GT (read (fd, text, sizeof text - 1), 0);
  EXPECT_EQ (strncmp (text, "HTTP/1.1 200", 12), 0) << text;

  ev_io_stop (server.loop, &response);
  close (fd);
  mhd_loop_destroy (server.mhd_loop);
  MHD_stop_daemon (daemon);
  ev_loop_destroy (server.loop);
}
