/** @file
 * Enforces the quotas of workspaces over the whole fleet: leases this host's
 * share to a coordinator, requests tokens from coordinators for the requests
 * that this host serves, and acts as a coordinator if this host is
 * selected.  policy/quota/quota_limit.h explains why no more requests run than
 * the quota allows.
 *
 * It handles BUS_QUOTA_REQUESTED, posts BUS_QUOTA_GRANTED in response, and
 * takes the limits from BUS_CONFIG_IN_FORCE.
 */
#ifndef NODE_QUOTA_QUOTA_TASK_H
#define NODE_QUOTA_QUOTA_TASK_H

#include <ev.h>

#include "base/counters.h"
#include "node/bus.h"
#include "node/host_settings.h"
#include "node/quota/quota_transport.h"

struct quota_task;
struct tables;

/** The dependencies of the task, all of which must outlive it. */
struct quota_task_options
{
  struct ev_loop *loop;
  struct bus *bus;
  const struct host_settings *settings;
  struct counters *counters;
  struct tables *tables; /**< registry of operator tables; may be NULL */
  struct quota_transport *transport;
};

struct quota_task *
quota_task_create (const struct quota_task_options *options);
void quota_task_destroy (struct quota_task *task);

/** Handle MESSAGE, of type PEER_QUOTA_REQUEST or PEER_QUOTA_GRANT, received
 * from host FROM. */
void quota_task_receive (struct quota_task *task, const char *from,
                         const struct peer_message *message);

#endif
