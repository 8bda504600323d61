#include "node/control/control_internal.h"

void
control_fanout_to_set (struct control_task *task, const char *name,
                       const struct peer_message *message)
{
  const struct control_service *service;
  HASH_FIND_STR (task->services, name, service);
  for (size_t i = 0; service != NULL && i < service->set_count; i++)
    {
      struct control_host *host = control_hosts_find (task, service->set[i]);
      if (host != NULL && host != task->self)
        control_hosts_send (task, host, message);
    }
}

static void
send_to_index (struct control_task *task, size_t index,
               const struct peer_message *message)
{
  struct control_host *host
      = control_hosts_find (task, task->fleet[index].key);
  if (host != NULL && host != task->self)
    control_hosts_send (task, host, message);
}

/* Sends to all hosts of a small fleet.  In a larger one, a host may be
   selected more than once. */
void
control_fanout_to_random (struct control_task *task, uint32_t wanted,
                          const struct peer_message *message)
{
  const uint32_t count = (uint32_t)task->fleet_count;
  if (count == 0)
    return;
  for (uint32_t i = 0; wanted > 1 && count <= wanted + 1 && i < count; i++)
    send_to_index (task, i, message);
  for (uint32_t i = 0; (wanted == 1 || count > wanted + 1) && i < wanted; i++)
    send_to_index (task, rng_below (&task->random, count), message);
}
