/** @file
 * The ejection task's messages over the fleet's peer links.
 */
#ifndef NODE_EJECTION_CONTROL_EJECTION_H
#define NODE_EJECTION_CONTROL_EJECTION_H

#include "node/control/control_task.h"
#include "node/ejection/ejection_task.h"
#include "node/ejection/ejection_transport.h"

struct control_ejection
{
  struct ejection_transport base; /* first */
  struct control_task *control;
};

/** Send through CONTROL. */
void control_ejection_init (struct control_ejection *transport,
                            struct control_task *control);

/** Hand what CONTROL receives to TASK. */
void control_ejection_deliver (struct control_ejection *transport,
                               struct ejection_task *task);

#endif
