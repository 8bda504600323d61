/** The simulated network between hosts. */
#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include "tests/harness/fleet.h"
#include "tests/harness/host_network.h"
#include "tests/harness/process.h"
#include "tests/harness/socket_address.h"

namespace
{

const char *const greeting = "host-1 connects";

int
open_socket ()
{
  return socket (AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
}

const sockaddr *
generic (const sockaddr_in &address)
{
  return reinterpret_cast<const sockaddr *> (&address);
}

/** Host 1, connected to host 2 through the network. */
class HostNetworkTest : public testing::Test
{
protected:
  void
  SetUp () override
  {
    const sockaddr_in real = parse_socket_address (addresses.at (12, 8544));
    const sockaddr_in relay = parse_socket_address (addresses.at (62, 9544));
    listener = open_socket ();
    ASSERT_EQ (bind (listener, generic (real), sizeof real), 0);
    ASSERT_EQ (listen (listener, 1), 0);
    network.add_host (2, addresses.at (62, 9544), addresses.at (12, 8544));
    client = open_socket ();
    ASSERT_EQ (connect (client, generic (relay), sizeof relay), 0);
    send_text (client, greeting);
    server = accept (listener, nullptr, nullptr);
    ASSERT_TRUE (wait_received (server, greeting));
  }

  void
  TearDown () override
  {
    for (int fd : { listener, client, server })
      close (fd);
  }

  static void
  send_text (int fd, const std::string &text)
  {
    ASSERT_EQ (send (fd, text.data (), text.size (), MSG_NOSIGNAL),
               static_cast<ssize_t> (text.size ()));
  }

  /* What has arrived since the last call. */
  static std::string
  receive (int fd)
  {
    char block[256];
    const ssize_t n = recv (fd, block, sizeof block, MSG_DONTWAIT);
    return std::string (block, static_cast<size_t> (n > 0 ? n : 0));
  }

  static bool
  wait_received (int fd, const std::string &text)
  {
    std::string received;
    return wait_until ([&] {
      received += receive (fd);
      return received == text;
    });
  }

  AddressBlock addresses;
  HostNetwork network;
  int listener = -1, client = -1, server = -1;
};

TEST_F (HostNetworkTest, SilentDirectionDeliversLater)
{
  network.silence (1, 2, true);
  send_text (client, "late");
  send_text (server, "now");
  EXPECT_TRUE (wait_received (client, "now"));
  EXPECT_EQ (receive (server), "");
  network.silence (1, 2, false);
  EXPECT_TRUE (wait_received (server, "late"));
}

TEST_F (HostNetworkTest, RefusedConnectionEnds)
{
  network.refuse (1, 2, true);
  EXPECT_TRUE (wait_until ([&] {
    char byte;
    const ssize_t n = recv (client, &byte, 1, MSG_DONTWAIT);
    return n == 0 || (n < 0 && errno == ECONNRESET);
  }));
}

} // namespace
