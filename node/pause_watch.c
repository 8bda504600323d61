#include "node/pause_watch.h"

#include "base/clock.h"

enum
{
  TICK_MS = 250,
  /** Longer gaps between two runs of the loop are reported. */
  PAUSE_MIN_MS = 1000,
};

static void
check_cb (struct ev_loop *loop, struct ev_check *check, int events)
{
  struct pause_watch *watch = check->data;
  const int64_t now_ms = clock_now_ms ();
  const int64_t gap_ms = now_ms - watch->last_run_ms;
  watch->signals_since_ms = watch->previous_run_ms;
  watch->previous_run_ms = watch->last_run_ms;
  watch->last_run_ms = now_ms;
  if (gap_ms >= PAUSE_MIN_MS)
    watch->options.paused (watch->options.owner, gap_ms);
}

static void
tick_cb (struct ev_loop *loop, struct ev_timer *timer, int events)
{
}

void
pause_watch_start (struct pause_watch *watch,
                   const struct pause_watch_options *options)
{
  watch->options = *options;
  watch->last_run_ms = clock_now_ms ();
  watch->previous_run_ms = watch->last_run_ms;
  watch->signals_since_ms = watch->last_run_ms;
  ev_check_init (&watch->check, check_cb);
  ev_set_priority (&watch->check, EV_MAXPRI);
  watch->check.data = watch;
  ev_check_start (options->loop, &watch->check);
  ev_timer_init (&watch->tick, tick_cb, TICK_MS / 1000.0, TICK_MS / 1000.0);
  ev_timer_start (options->loop, &watch->tick);
}

void
pause_watch_stop (struct pause_watch *watch)
{
  if (watch->options.loop == NULL)
    return;
  ev_check_stop (watch->options.loop, &watch->check);
  ev_timer_stop (watch->options.loop, &watch->tick);
}
