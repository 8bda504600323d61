/** @file
 * One host put together: every task of jaystaird on one loop.
 *
 * Life: created and serving; leaving (announced, no longer handed out, work
 * in flight finished); over.
 */
#ifndef NODE_DAEMON_HOST_H
#define NODE_DAEMON_HOST_H

#include <ev.h>

#include "base/status.h"
#include "node/host_settings.h"

struct host;

/** What a host is made from; LOOP outlives it, SETTINGS are copied. */
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

/** Leave gracefully; DONE is called once nothing is in flight, or when the
 * settings' `shutdown_ms` are over.  A second call ends it at once. */
void host_begin_leaving (struct host *host, host_done *done, void *owner);

/** Put the reloadable part of SETTINGS in force (the log) and say in the log
 * what needs a restart. */
void host_reload (struct host *host, const struct host_settings *settings);

#endif
