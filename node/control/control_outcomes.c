#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <string.h>

enum
{
  OUTCOME_COLUMNS = 2, /* key of the target, how the attempt ended */
};

/* Guards against hosts that each find out for themselves that a target is
   ill, at the price of a request every time: what one sees, the others of the
   service's set hear a moment later.  A host that isn't reached finds out as
   before. */
static void
on_seen (void *owner, const struct bus_message *message)
{
  struct control_task *task = owner;
  const struct bus_outcome *outcome = &message->outcome;
  const struct control_service *service;
  HASH_FIND_STR (task->services, outcome->service, service);
  if (service == NULL)
    return;
  int64_t values[OUTCOME_COLUMNS]
      = { (int64_t)outcome->target_key, (int64_t)outcome->end };
  struct peer_message told = { .type = PEER_OUTCOMES,
                               .report = { .columns = OUTCOME_COLUMNS,
                                           .values = values,
                                           .value_count = OUTCOME_COLUMNS } };
  memcpy (told.report.service, service->name, sizeof told.report.service);
  for (size_t i = 0; i < service->set_count; i++)
    {
      struct control_host *host = control_hosts_find (task, service->set[i]);
      if (host != NULL && host != task->self)
        control_hosts_send (task, host, &told);
    }
}

void
control_outcomes_receive (struct control_task *task,
                          const struct peer_report *report)
{
  if (report->columns != OUTCOME_COLUMNS)
    return;
  for (size_t i = 0; i + 1 < report->value_count; i += OUTCOME_COLUMNS)
    {
      const int64_t end = report->values[i + 1];
      if (end < 0 || end > ATTEMPT_CANCELLED)
        continue;
      struct bus_message message
          = { .topic = BUS_OUTCOME_HEARD,
              .outcome = { .target_key = (uint64_t)report->values[i],
                           .end = (enum attempt_end)end } };
      memcpy (message.outcome.service, report->service,
              sizeof message.outcome.service);
      bus_post (task->options.bus, &message);
    }
}

void
control_outcomes_start (struct control_task *task)
{
  bus_subscribe (task->options.bus, BUS_OUTCOME_SEEN, on_seen, task);
}
