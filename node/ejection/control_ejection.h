/** @file
 * Transport of the ejection task over the peer links of the control task.
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

/** Use CONTROL to send messages. */
void control_ejection_init (struct control_ejection *transport,
                            struct control_task *control);

/** Deliver the ejection messages that CONTROL receives to TASK. */
void control_ejection_deliver (struct control_ejection *transport,
                               struct ejection_task *task);

#endif
