#include "node/control/control_internal.h"

#include <stdio.h>
#include <stdlib.h>

#include "node/control/poison_message.h"

enum
{
  /** Reaches all but a few hosts in a thousand within a few rounds; periodic
   * refreshes reach the rest. */
  GOSSIP_FANOUT = 6,
};

static void
on_announced (void *owner, const struct bus_message *bus_message)
{
  struct control_task *task = owner;
  const struct bus_poison *announced = &bus_message->poison;
  int64_t *values;
  const struct peer_message message = poison_message_make (
      announced->service, announced->rows, announced->count, &values);
  switch (announced->to)
    {
    case POISON_TO_SET:
      control_fanout_to_set (task, announced->service, &message);
      break;
    case POISON_TO_RANDOM_FEW:
      control_fanout_to_random (task, GOSSIP_FANOUT, &message);
      break;
    case POISON_TO_RANDOM_ONE:
      control_fanout_to_random (task, 1, &message);
      break;
    }
  free (values);
  const struct poison_row *first = &announced->rows[0];
  if (announced->is_stored)
    control_poison_store_write (task, announced);
  else if (first->strikes == 0 && first->target == 0)
    control_poison_store_clear (task, &first->fingerprint);
}

void
control_poison_deliver (struct control_task *task, const char *service,
                        struct poison_row *rows, size_t count)
{
  struct bus_message message = { .topic = BUS_POISON_RECEIVED,
                                 .poison = { .rows = rows, .count = count } };
  snprintf (message.poison.service, sizeof message.poison.service, "%s",
            service);
  bus_post (task->options.bus, &message);
}

void
control_poison_receive (struct control_task *task,
                        const struct peer_message *message)
{
  struct poison_row *rows;
  const size_t count = poison_message_read (message, &rows);
  if (count > 0)
    control_poison_deliver (task, message->report.service, rows, count);
}

void
control_poison_start (struct control_task *task)
{
  bus_subscribe (task->options.bus, BUS_POISON_ANNOUNCED, on_announced, task);
  control_poison_store_start (task);
}
