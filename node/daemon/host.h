/** @file
 * One host: all tasks of jaystaird on one event loop.
 *
 * A host serves after its creation.  When it leaves it is announced as leaving
 * and no longer listed to callers, and requests in flight are finished; then
 * it is stopped.
 */
#ifndef NODE_DAEMON_HOST_H
#define NODE_DAEMON_HOST_H

#include <ev.h>

#include "base/status.h"
#include "node/host_settings.h"

struct host;

/** Options of a host; LOOP must outlive it, SETTINGS are copied. */
struct host_options
{
  struct ev_loop *loop;
  const struct host_settings *settings;
};

/** Listen on all addresses and start every task. */
enum status host_create (const struct host_options *options,
                         struct host **host);
void host_destroy (struct host *host);

typedef void host_done (void *owner);

/** How long ago a signal that the loop handles now can have been sent at
 * most, in milliseconds. */
int64_t host_signal_late_max_ms (const struct host *host);

/** Leave gracefully, asked by a signal that the loop handles now.  DONE is
 * called once nothing is in flight, or at the latest when the `shutdown_ms` of
 * the settings have passed since the signal was sent; see leave_times.h.
 * Later calls change nothing. */
void host_begin_leaving (struct host *host, host_done *done, void *owner);

/** Break off what a leaving host still waits for; a second call ends it
 * without waiting for the responses to be written. */
void host_stop_waiting (struct host *host);

/** Log which of the changed SETTINGS are applied (those of the log) and
 * whether a restart is needed for the others. */
void host_reload (struct host *host, const struct host_settings *settings);

#endif
