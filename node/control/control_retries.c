#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdio.h>
#include <string.h>

#include "base/log.h"

static struct peer_message
make_message (const char *service, enum peer_report_topic what, uint32_t count)
{
  struct peer_message message = {
    .type = PEER_OUTCOMES,
    .report
    = { .epoch = what, .sequence = count, .columns = CONTROL_OUTCOME_COLUMNS }
  };
  snprintf (message.report.service, sizeof message.report.service, "%s",
            service);
  return message;
}

/* A random host of the set, so that all of them share the cost; one of
   this data centre if there is any, since it answers sooner. */
static struct control_host *
choose_sender (struct control_task *task,
               const struct control_service *service)
{
  struct control_host *sender = NULL;
  bool found_local = false;
  uint32_t count = 0;
  for (size_t i = 0; i < service->set_count; i++)
    {
      struct control_host *host = control_hosts_find (task, service->set[i]);
      if (host == NULL || host == task->self)
        continue;
      const bool is_local
          = strcmp (host->record.dc, task->self->record.dc) == 0;
      /* The first local host replaces those found before it. */
      if (is_local && !found_local)
        count = 0;
      found_local = found_local || is_local;
      if (is_local == found_local && rng_below (&task->random, ++count) == 0)
        sender = host;
    }
  return sender;
}

static void
on_wanted (void *owner, const struct bus_message *message)
{
  struct control_task *task = owner;
  const struct bus_retries *retries = &message->retries;
  const struct control_service *service
      = control_services_find (task, retries->service);
  if (service == NULL || service->includes_self)
    return;
  struct control_host *sender = choose_sender (task, service);
  if (sender == NULL)
    return;
  const struct peer_message request = make_message (
      retries->service, PEER_RETRIES_REQUESTED, retries->count);
  control_hosts_send (task, sender, &request);
}

static void
on_transferred (void *owner, const struct bus_message *message)
{
  struct control_task *task = owner;
  const struct bus_retries *retries = &message->retries;
  struct control_host *receiver = control_hosts_find (task, retries->host);
  if (receiver == NULL)
    return;
  const struct peer_message transfer = make_message (
      retries->service, PEER_RETRIES_TRANSFERRED, retries->count);
  control_hosts_send (task, receiver, &transfer);
  LOG_INFO ("retries-transferred", LOG_STR ("service", retries->service),
            LOG_STR ("host", receiver->record.name),
            LOG_INT ("count", retries->count));
}

void
control_retries_receive (struct control_task *task,
                         const struct control_source *source,
                         const struct peer_report *report)
{
  if (report->epoch != PEER_RETRIES_REQUESTED
      && report->epoch != PEER_RETRIES_TRANSFERRED)
    return;
  const bool is_request = report->epoch == PEER_RETRIES_REQUESTED;
  struct bus_message message
      = { .topic = is_request ? BUS_RETRIES_REQUESTED : BUS_RETRIES_RECEIVED,
          .retries = { .host = source->host->key,
                       .count = report->sequence < UINT32_MAX
                                    ? (uint32_t)report->sequence
                                    : UINT32_MAX } };
  snprintf (message.retries.service, sizeof message.retries.service, "%s",
            report->service);
  bus_post (task->options.bus, &message);
}

void
control_retries_start (struct control_task *task)
{
  bus_subscribe (task->options.bus, BUS_RETRIES_WANTED, on_wanted, task);
  bus_subscribe (task->options.bus, BUS_RETRIES_TRANSFERRED, on_transferred,
                 task);
}
