/** @file
 * Notices that the process stood still: it was suspended, or had no processor.
 *
 * Afterwards the event loop handles what has piled up in its sockets in any
 * order.  The callback runs before that.
 */
#ifndef NODE_PAUSE_WATCH_H
#define NODE_PAUSE_WATCH_H

#include <stdint.h>

#include <ev.h>

/** The process hasn't run for PAUSED_MS. */
typedef void pause_watch_callback (void *owner, int64_t paused_ms);

struct pause_watch_options
{
  struct ev_loop *loop;
  pause_watch_callback *paused;
  void *owner;
};

struct pause_watch
{
  struct pause_watch_options options;
  struct ev_check check;
  struct ev_timer tick; /**< bounds the time that the loop waits for events */
  int64_t last_run_ms;
  int64_t previous_run_ms;
  /** Signals that the loop handles now were sent after this time.  That is two
   * runs ago: a signal that interrupts the wait for events ends that run, and
   * is handled by the next one. */
  int64_t signals_since_ms;
};

void pause_watch_start (struct pause_watch *watch,
                        const struct pause_watch_options *options);
void pause_watch_stop (struct pause_watch *watch);

#endif
