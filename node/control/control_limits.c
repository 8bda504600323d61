#include "node/control/control_internal.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/xmalloc.h"

enum
{
  LIMIT_COLUMNS = 3, /* target key, limit, age in milliseconds */
  LIMIT_ROWS_MAX = 256,
  GOSSIP_FANOUT = 6, /* random hosts to which each host forwards a change */
};

static uint32_t
clamp_uint32 (int64_t value)
{
  if (value < 0)
    return 0;
  return value < UINT32_MAX ? (uint32_t)value : UINT32_MAX;
}

static void
on_announced (void *owner, const struct bus_message *bus_message)
{
  struct control_task *task = owner;
  const struct bus_limits *announced = &bus_message->limits;
  const size_t count
      = announced->count < LIMIT_ROWS_MAX ? announced->count : LIMIT_ROWS_MAX;
  int64_t *values = xcalloc (count * LIMIT_COLUMNS + 1, sizeof *values);
  struct peer_message message = { .type = PEER_LIMITS };
  for (size_t i = 0; i < count; i++)
    {
      values[i * LIMIT_COLUMNS] = (int64_t)announced->rows[i].target;
      values[i * LIMIT_COLUMNS + 1] = announced->rows[i].rate_millis;
      values[i * LIMIT_COLUMNS + 2] = announced->rows[i].sent_ago_ms;
    }
  snprintf (message.report.service, sizeof message.report.service, "%s",
            announced->service);
  message.report.columns = LIMIT_COLUMNS;
  message.report.values = values;
  message.report.value_count = count * LIMIT_COLUMNS;
  switch (announced->to)
    {
    case LIMIT_TO_SET:
      control_fanout_to_set (task, announced->service, &message);
      break;
    case LIMIT_TO_RANDOM_FEW:
      control_fanout_to_random (task, GOSSIP_FANOUT, &message);
      break;
    case LIMIT_TO_RANDOM_ONE:
      control_fanout_to_random (task, 1, &message);
      break;
    }
  free (values);
}

void
control_limits_receive (struct control_task *task,
                        const struct peer_message *peer_message)
{
  const struct peer_report *report = &peer_message->report;
  const size_t count = report->value_count / LIMIT_COLUMNS;
  if (report->columns != LIMIT_COLUMNS || count == 0 || count > LIMIT_ROWS_MAX
      || report->value_count % LIMIT_COLUMNS != 0)
    return;
  struct bus_message message
      = { .topic = BUS_LIMITS_RECEIVED, .limits = { .count = count } };
  message.limits.rows = xcalloc (count, sizeof *message.limits.rows);
  snprintf (message.limits.service, sizeof message.limits.service, "%s",
            report->service);
  for (size_t i = 0; i < count; i++)
    {
      const int64_t *value = report->values + i * LIMIT_COLUMNS;
      message.limits.rows[i]
          = (struct limit_row){ .target = (uint64_t)value[0],
                                .rate_millis = clamp_uint32 (value[1]),
                                .sent_ago_ms = clamp_uint32 (value[2]) };
    }
  bus_post (task->options.bus, &message);
}

void
control_limits_start (struct control_task *task)
{
  bus_subscribe (task->options.bus, BUS_LIMITS_ANNOUNCED, on_announced, task);
}
