#include "node/ejection/control_ejection.h"

static enum status
send_control (struct ejection_transport *base, const char *to,
              const struct peer_message *message)
{
  const struct control_ejection *transport
      = (const struct control_ejection *)base;
  return control_send (transport->control, to, message);
}

static const struct ejection_transport_ops ops = { .send = send_control };

void
control_ejection_init (struct control_ejection *transport,
                       struct control_task *control)
{
  transport->base.ops = &ops;
  transport->control = control;
}

static void
receive (void *owner, const char *from, const struct peer_message *message)
{
  ejection_task_receive (owner, from, message);
}

void
control_ejection_deliver (struct control_ejection *transport,
                          struct ejection_task *task)
{
  control_subscribe (transport->control, PEER_EVIDENCE, receive, task);
  control_subscribe (transport->control, PEER_DECISION, receive, task);
}
