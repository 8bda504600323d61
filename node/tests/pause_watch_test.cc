#include <gtest/gtest.h>

#include <csignal>
#include <poll.h>

extern "C"
{
#include "base/clock.h"
#include "node/pause_watch.h"
}

namespace
{

constexpr int pause_ms = 1200, busy_ms = 100;

struct Pauses
{
  int count = 0;
  int64_t last_ms = 0;
  bool came_before_timer = false;
  bool timer_ran = false;
};

void
on_paused (void *owner, int64_t paused_ms)
{
  auto *pauses = static_cast<Pauses *> (owner);
  pauses->count++;
  pauses->last_ms = paused_ms;
  pauses->came_before_timer = !pauses->timer_ran;
}

void
on_timer (struct ev_loop *, ev_timer *timer, int)
{
  static_cast<Pauses *> (timer->data)->timer_ran = true;
}

class PauseWatch : public testing::Test
{
protected:
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  struct pause_watch watch
  {
  };
  Pauses pauses;

  PauseWatch ()
  {
    const pause_watch_options options{ loop, on_paused, &pauses };
    pause_watch_start (&watch, &options);
  }

  ~PauseWatch () override
  {
    pause_watch_stop (&watch);
    ev_loop_destroy (loop);
  }
};

/* Guards against requests that are handled before the pause is noticed. */
TEST_F (PauseWatch, ReportsAPauseBeforeOtherEvents)
{
  ev_timer timer;
  ev_timer_init (&timer, on_timer, 0.01, 0.);
  timer.data = &pauses;
  ev_timer_start (loop, &timer);
  poll (nullptr, 0, pause_ms);
  ev_run (loop, EVRUN_ONCE);
  EXPECT_EQ (pauses.count, 1);
  EXPECT_GE (pauses.last_ms, pause_ms);
  EXPECT_TRUE (pauses.came_before_timer);
}

/* Guards against an idle loop that is taken for a pause. */
TEST_F (PauseWatch, IdleLoopIsNoPause)
{
  for (int i = 0; i < 6; i++)
    ev_run (loop, EVRUN_ONCE);
  EXPECT_EQ (pauses.count, 0);
}

struct SignalRead
{
  pause_watch *watch;
  int64_t sent_ms = 0;
  int64_t since_ms = -1;
};

void
send_while_busy (struct ev_loop *, ev_timer *timer, int)
{
  poll (nullptr, 0, busy_ms);
  static_cast<SignalRead *> (timer->data)->sent_ms = clock_now_ms ();
  raise (SIGUSR1);
  poll (nullptr, 0, busy_ms);
}

void
read_signal (struct ev_loop *loop, ev_signal *watcher, int)
{
  auto *read = static_cast<SignalRead *> (watcher->data);
  read->since_ms = read->watch->signals_since_ms;
  ev_break (loop, EVBREAK_ALL);
}

/* Guards against a signal that is taken for a later one, since the loop was
   busy when it came. */
TEST_F (PauseWatch, SignalToABusyLoopWasSentAfterTheTimeGiven)
{
  SignalRead read{ &watch };
  ev_signal on_signal;
  ev_signal_init (&on_signal, read_signal, SIGUSR1);
  on_signal.data = &read;
  ev_signal_start (loop, &on_signal);
  ev_timer timer;
  ev_timer_init (&timer, send_while_busy, 0.3, 0.);
  timer.data = &read;
  ev_timer_start (loop, &timer);
  const int64_t start_ms = clock_now_ms ();
  ev_run (loop, 0);
  ev_signal_stop (loop, &on_signal);
  EXPECT_GE (read.since_ms, start_ms);
  EXPECT_LE (read.since_ms, read.sent_ms - busy_ms);
}

} // namespace
