#include <arpa/inet.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>

#include <gtest/gtest.h>

extern "C"
{
#include "node/ejection/target_probe.h"
}

namespace
{
struct TargetProbe : testing::Test
{
  struct ev_loop *loop = ev_loop_new (0);
  int fd = socket (AF_INET, SOCK_STREAM, 0);
  std::string address;
  int ended = 0;
  bool ok = false;

  void
  SetUp () override
  {
    sockaddr_in in = {};
    in.sin_family = AF_INET;
    in.sin_addr.s_addr = htonl (INADDR_LOOPBACK);
    ASSERT_EQ (bind (fd, (sockaddr *)&in, sizeof in), 0);
    socklen_t size = sizeof in;
    getsockname (fd, (sockaddr *)&in, &size);
    address = "127.0.0.1:" + std::to_string (ntohs (in.sin_port));
  }
  ~TargetProbe () override
  {
    close (fd);
    ev_loop_destroy (loop);
  }
  bool
  probe (const std::string &to)
  {
    target_probe_start (
        loop, to.c_str (), 5000,
        [] (void *owner, target_probe *p, bool result) {
          auto *test = static_cast<TargetProbe *> (owner);
          test->ended++;
          test->ok = result;
          target_probe_destroy (p);
        },
        this);
    EXPECT_EQ (ended, 0);
    ev_run (loop, 0);
    EXPECT_EQ (ended, 1);
    return ok;
  }
};

TEST_F (TargetProbe, ListenerAccepts)
{
  ASSERT_EQ (listen (fd, 4), 0);
  EXPECT_TRUE (probe (address));
}

TEST_F (TargetProbe, BoundPortWithoutListenerRefuses)
{
  EXPECT_FALSE (probe (address));
}

TEST_F (TargetProbe, InvalidAddressFailsFromTheLoop)
{
  EXPECT_FALSE (probe ("nowhere"));
}

TEST_F (TargetProbe, DestroyedProbeIsNotCalledBack)
{
  ASSERT_EQ (listen (fd, 4), 0);
  target_probe_destroy (target_probe_start (
      loop, address.c_str (), 5000,
      [] (void *, target_probe *, bool) { FAIL (); }, this));
  ev_run (loop, 0);
}
}
