#include <gtest/gtest.h>

#include <arpa/inet.h>
#include <cstring>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

extern "C"
{
#include "base/log.h"
#include "base/rng.h"
#include "wire/peer/frame.h"
#include "wire/peer/peer_link.h"
#include "wire/peer/peer_server.h"
}

namespace
{
peer_identity
make_identity (const char *name, const char *secret)
{
  peer_identity identity = {};
  strcpy (identity.hello.name, name);
  strcpy (identity.hello.dc, "north-a");
  identity.secret.size = strlen (secret);
  memcpy (identity.secret.bytes, secret, identity.secret.size);
  return identity;
}

/* A server and a link on one event loop; both sides count what they receive.
 */
class link_pair
{
public:
  link_pair (const char *server_secret, const char *link_secret,
             const char *expected = "s")
      : server_identity (make_identity ("s", server_secret)),
        link_identity (make_identity ("c", link_secret))
  {
    loop = ev_loop_new (EVFLAG_AUTO);
    static const peer_conn_events server_events
        = { nullptr, server_message, nullptr };
    const peer_server_options server_options
        = { loop, &server_identity, &server_events, this, "127.0.0.1:0", 0 };
    EXPECT_EQ (peer_server_create (&server_options, &server), STATUS_OK);
    address = "127.0.0.1:" + std::to_string (peer_server_port (server));
    static const peer_link_events link_events = { link_ready, link_message };
    const peer_link_options link_options = {
      loop, &link_identity, &link_events, this, address.c_str (), expected, 1,
      0
    };
    link = peer_link_create (&link_options);
    ev_timer_init (&timeout, timeout_cb, 60, 0);
    timeout.data = this;
    ev_timer_start (loop, &timeout);
  }

  ~link_pair ()
  {
    ev_timer_stop (loop, &timeout);
    peer_link_destroy (link);
    peer_server_destroy (server);
    ev_loop_destroy (loop);
  }

  template <typename condition>
  bool
  run_until (condition is_met)
  {
    while (!is_met () && !timed_out)
      ev_run (loop, EVRUN_ONCE);
    return is_met ();
  }

  struct ev_loop *loop;
  peer_identity server_identity, link_identity;
  peer_server *server = nullptr;
  peer_link *link = nullptr;
  std::string address;
  int ready_count = 0;
  uint64_t received = 0;
  uint64_t echoed = 0;

private:
  static void
  server_message (void *owner, peer_conn *conn, const peer_message *message)
  {
    auto *self = (link_pair *)owner;
    EXPECT_EQ (message->heartbeat.sequence, self->received);
    self->received++;
    peer_message answer = *message;
    answer.type = PEER_HEARTBEAT_ACK;
    EXPECT_EQ (peer_conn_send (conn, &answer), STATUS_OK);
  }

  static void
  link_ready (void *owner, peer_link *link)
  {
    ((link_pair *)owner)->ready_count++;
  }

  static void
  link_message (void *owner, peer_link *link, const peer_message *message)
  {
    auto *self = (link_pair *)owner;
    EXPECT_EQ (message->heartbeat.sequence, self->echoed);
    self->echoed++;
  }

  static void
  timeout_cb (struct ev_loop *loop, ev_timer *watcher, int events)
  {
    ((link_pair *)watcher->data)->timed_out = true;
  }

  ev_timer timeout;
  bool timed_out = false;
};

const char secret_a[] = "0123456789abcdef";
const char secret_b[] = "0123456789abcdeF";
}

TEST (PeerLink, MessagesSentBeforeTheHandshakeArriveInOrder)
{
  link_pair p (secret_a, secret_a);
  peer_message message = {};
  message.type = PEER_HEARTBEAT;
  for (uint64_t i = 0; i < 5000; i++)
    {
      message.heartbeat.sequence = i;
      ASSERT_EQ (peer_link_send (p.link, &message), STATUS_OK);
    }
  EXPECT_TRUE (p.run_until ([&] { return p.echoed == 5000; }));
  EXPECT_STREQ (peer_link_hello (p.link)->name, "s");
  EXPECT_EQ (p.link_identity.traffic.bytes_out,
             p.server_identity.traffic.bytes_in);
  EXPECT_EQ (p.server_identity.traffic.bytes_out,
             p.link_identity.traffic.bytes_in);
}

TEST (PeerLink, AWrongOrMissingSecretIsRefused)
{
  const char *const pairs[][2]
      = { { secret_a, secret_b }, { secret_a, "" }, { "", secret_a } };
  for (const auto &secrets : pairs)
    {
      link_pair p (secrets[0], secrets[1]);
      peer_message message = {};
      message.type = PEER_HEARTBEAT;
      peer_link_send (p.link, &message);
      EXPECT_TRUE (p.run_until ([&] {
        return p.server_identity.traffic.refused
                   + p.link_identity.traffic.refused
               > 2;
      }));
      EXPECT_EQ (p.received, 0u);
      EXPECT_EQ (p.ready_count, 0);
    }
}

TEST (PeerLink, HostsConnectWithoutASecret)
{
  link_pair p ("", "");
  EXPECT_TRUE (p.run_until ([&] { return p.ready_count == 1; }));
}

/* The address of a replaced host may be reused by another host, which must not
   receive messages for the old one. */
TEST (PeerLink, RefusesAnotherHostAtTheAddress)
{
  link_pair p ("", "", "somebody-else");
  peer_message message = {};
  message.type = PEER_HEARTBEAT;
  peer_link_send (p.link, &message);
  /* The link disconnects once it has the HELLO, and retries later. */
  EXPECT_TRUE (p.run_until ([&] {
    return peer_link_send (p.link, &message) == STATUS_UNREACHABLE;
  }));
  EXPECT_EQ (p.ready_count, 0);
  EXPECT_FALSE (peer_link_is_ready (p.link));
}

namespace
{
int
connect_raw (const link_pair &p)
{
  const int fd = socket (AF_INET, SOCK_STREAM, 0);
  sockaddr_in to = {};
  to.sin_family = AF_INET;
  to.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
  to.sin_port = htons (peer_server_port (p.server));
  EXPECT_EQ (connect (fd, (sockaddr *)&to, sizeof to), 0);
  return fd;
}

void
add_message (peer_buffer *buffer, const peer_message &message)
{
  size_t size;
  char *bytes = peer_message_encode (&message, &size);
  frame_append (buffer, bytes, size);
  free (bytes);
}
}

/* An unauthenticated client may send a HELLO, an empty proof and a message
   without waiting.  The message must not be handled. */
TEST (PeerLink, AnUnauthenticatedMessageIsNotHandled)
{
  link_pair p (secret_a, secret_a);
  ASSERT_TRUE (p.run_until ([&] { return p.ready_count == 1; }));
  peer_message hello = {}, proof = {}, heartbeat = {};
  hello.type = PEER_HELLO;
  strcpy (hello.hello.name, "stranger");
  proof.type = PEER_PROOF;
  heartbeat.type = PEER_HEARTBEAT;
  peer_buffer buffer = {};
  add_message (&buffer, hello);
  add_message (&buffer, proof);
  add_message (&buffer, heartbeat);
  const int fd = connect_raw (p);
  ASSERT_EQ (send (fd, buffer.bytes, buffer.end, MSG_NOSIGNAL),
             (ssize_t)buffer.end);
  EXPECT_TRUE (
      p.run_until ([&] { return p.server_identity.traffic.refused == 1; }));
  EXPECT_EQ (p.received, 0u);
  close (fd);
  peer_buffer_release (&buffer);
}

/* Invalid input, for example of a foreign program, must close only its own
   connection. */
TEST (PeerLink, GarbageClosesItsConnectionOnlyAndIsCounted)
{
  link_pair p (secret_a, secret_a);
  ASSERT_TRUE (p.run_until ([&] { return p.ready_count == 1; }));
  rng random;
  rng_seed (&random, 61);
  for (int round = 0; round < 30; round++)
    {
      const int fd = connect_raw (p);
      char bytes[300];
      for (char &byte : bytes)
        byte = (char)rng_next (&random);
      const unsigned char head[] = { 0, 0, 0, 200 };
      memcpy (bytes, head, sizeof head);
      ASSERT_EQ (send (fd, bytes, sizeof bytes, MSG_NOSIGNAL),
                 (ssize_t)sizeof bytes);
      EXPECT_TRUE (p.run_until (
          [&] { return p.server_identity.traffic.refused == round + 1; }));
      close (fd);
    }
  peer_message message = {};
  message.type = PEER_HEARTBEAT;
  peer_link_send (p.link, &message);
  EXPECT_TRUE (p.run_until ([&] { return p.echoed == 1; }));
  EXPECT_EQ (p.ready_count, 1);
}
