#include <gtest/gtest.h>

#include <sys/socket.h>
#include <unistd.h>

#include <functional>
#include <string>
#include <vector>

extern "C"
{
#include "node/caller/lingering_close.h"
}

namespace
{

constexpr size_t max = 3;

class LingeringCloseTest : public testing::Test
{
protected:
  void
  SetUp () override
  {
    loop = ev_loop_new (EVFLAG_AUTO);
    lingering = lingering_close_create (loop, max, nullptr);
  }

  void
  TearDown () override
  {
    lingering_close_destroy (lingering);
    for (int fd : callers)
      if (fd >= 0)
        close (fd);
    ev_loop_destroy (loop);
  }

  /** Connect a caller.
   * @return the host's end */
  int
  connect_caller ()
  {
    int ends[2];
    EXPECT_EQ (socketpair (AF_UNIX, SOCK_STREAM, 0, ends), 0);
    callers.push_back (ends[1]);
    return ends[0];
  }

  /** Close the host's end FD as the server does. */
  void
  close_host_end (int fd)
  {
    lingering_close_add (lingering, fd, 0);
    close (fd);
  }

  void
  close_caller (size_t number)
  {
    close (callers[number]);
    callers[number] = -1;
  }

  void
  send_text (size_t number, const std::string &text)
  {
    EXPECT_EQ (send (callers[number], text.data (), text.size (),
                     MSG_NOSIGNAL | MSG_DONTWAIT),
               (ssize_t)text.size ());
  }

  /** Run the loop until READY returns true.
   * @return how long it took, in seconds */
  double
  run_until (const std::function<bool ()> &ready)
  {
    ev_timer tick;
    ev_timer_init (
        &tick, [] (struct ev_loop *, ev_timer *, int) {}, 0.01, 0.01);
    ev_timer_start (loop, &tick);
    const double start = ev_time ();
    while (!ready () && ev_time () < start + 10.)
      ev_run (loop, EVRUN_ONCE);
    ev_timer_stop (loop, &tick);
    return ev_time () - start;
  }

  struct ev_loop *loop = nullptr;
  lingering_close *lingering = nullptr;
  std::vector<int> callers;
};

TEST_F (LingeringCloseTest, WhatACallerSendsIsReadUntilItCloses)
{
  close_host_end (connect_caller ());
  for (int i = 0; i < 20; i++)
    {
      send_text (0, std::string (20000, 'x'));
      ev_run (loop, EVRUN_NOWAIT);
    }
  EXPECT_EQ (lingering_close_count (lingering), 1U);
  char byte;
  EXPECT_EQ (recv (callers[0], &byte, 1, MSG_DONTWAIT), 0);
  close_caller (0);
  run_until ([&] { return lingering_close_count (lingering) == 0; });
  EXPECT_EQ (lingering_close_count (lingering), 0U);
}

/* Guards against descriptors that callers hold by never closing. */
TEST_F (LingeringCloseTest, CallerThatNeverClosesIsClosedAfterAWhile)
{
  close_host_end (connect_caller ());
  const double took_s
      = run_until ([&] { return lingering_close_count (lingering) == 0; });
  EXPECT_GE (took_s, 1.9);
  EXPECT_EQ (send (callers[0], "x", 1, MSG_NOSIGNAL), -1);
}

/* Guards against the same by many of them. */
TEST_F (LingeringCloseTest, OldestIsClosedBeyondTheLimit)
{
  for (size_t i = 0; i < max + 1; i++)
    close_host_end (connect_caller ());
  EXPECT_EQ (lingering_close_count (lingering), max);
  EXPECT_EQ (send (callers[0], "x", 1, MSG_NOSIGNAL), -1);
  EXPECT_EQ (send (callers[1], "x", 1, MSG_NOSIGNAL), 1);
}

TEST_F (LingeringCloseTest, ConnectionThatItsCallerHasClosedIsLeftAlone)
{
  const int fd = connect_caller ();
  close_caller (0);
  close_host_end (fd);
  EXPECT_EQ (lingering_close_count (lingering), 0U);
}

/* Guards against an orderly end of a truncated response that ends with its
   connection. */
TEST_F (LingeringCloseTest, ConnectionThatIsToBeResetIsLeftAlone)
{
  const int fd = connect_caller ();
  const struct linger reset = { 1, 0 };
  setsockopt (fd, SOL_SOCKET, SO_LINGER, &reset, sizeof reset);
  close_host_end (fd);
  EXPECT_EQ (lingering_close_count (lingering), 0U);
}

} // namespace
