/** @file
 * The quota task's messages over the fleet's peer links.
 */
#ifndef NODE_QUOTA_CONTROL_QUOTA_H
#define NODE_QUOTA_CONTROL_QUOTA_H

#include "node/control/control_task.h"
#include "node/quota/quota_task.h"
#include "node/quota/quota_transport.h"

struct control_quota
{
  struct quota_transport base; /* first */
  struct control_task *control;
};

/** Send through CONTROL, and learn the fleet from it. */
void control_quota_init (struct control_quota *transport,
                         struct control_task *control);

/** Hand what CONTROL receives to TASK. */
void control_quota_deliver (struct control_quota *transport,
                            struct quota_task *task);

#endif
