/** @file
 * Transport of the quota task over the peer links of the control task.
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

/** Use CONTROL to send messages and to look up the fleet's hosts. */
void control_quota_init (struct control_quota *transport,
                         struct control_task *control);

/** Deliver the quota messages that CONTROL receives to TASK. */
void control_quota_deliver (struct control_quota *transport,
                            struct quota_task *task);

#endif
