#include "node/quota/control_quota.h"

static struct control_task *
control_of (struct quota_transport *base)
{
  return ((struct control_quota *)base)->control;
}

static enum status
send_control (struct quota_transport *base, const char *to,
              const struct peer_message *message)
{
  return control_send (control_of (base), to, message);
}

static size_t
coordinators (struct quota_transport *base,
              const char *names[QUOTA_COORDINATORS_MAX])
{
  return control_quota_coordinators (control_of (base), names,
                                     QUOTA_COORDINATORS_MAX);
}

static uint32_t
known_hosts (struct quota_transport *base)
{
  return control_listed_host_count (control_of (base));
}

static const struct quota_transport_ops ops = {
  .send = send_control,
  .coordinators = coordinators,
  .known_hosts = known_hosts,
};

void
control_quota_init (struct control_quota *transport,
                    struct control_task *control)
{
  transport->base.ops = &ops;
  transport->control = control;
}

static void
receive (void *owner, const char *from, const struct peer_message *message)
{
  quota_task_receive (owner, from, message);
}

void
control_quota_deliver (struct control_quota *transport,
                       struct quota_task *task)
{
  control_subscribe (transport->control, PEER_QUOTA_REQUEST, receive, task);
  control_subscribe (transport->control, PEER_QUOTA_GRANT, receive, task);
}
