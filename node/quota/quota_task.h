/** @file
 * The quotas of workspaces over the whole fleet: lends this host's share to a
 * keeper, asks keepers for the tokens that requests here want, and is a keeper
 * itself where it is chosen.  policy/quota/quota_limit.h says why no more runs
 * than may.
 *
 * It obeys BUS_QUOTA_REQUESTED, answers with BUS_QUOTA_GRANTED, and learns
 * limits from BUS_CONFIG_IN_FORCE.
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

/** What the task needs; all of it outlives the task. */
struct quota_task_options
{
  struct ev_loop *loop;
  struct bus *bus;
  const struct host_settings *settings;
  struct counters *counters;
  struct tables *tables; /**< operator's rows; NULL: none */
  struct quota_transport *transport;
};

struct quota_task *
quota_task_create (const struct quota_task_options *options);
void quota_task_destroy (struct quota_task *task);

/** MESSAGE, of type PEER_QUOTA_REQUEST or PEER_QUOTA_GRANT, came from host
 * FROM. */
void quota_task_receive (struct quota_task *task, const char *from,
                         const struct peer_message *message);

#endif
