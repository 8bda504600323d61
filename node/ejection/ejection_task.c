#define LOG_MODULE "eject"

#include "node/ejection/ejection_task.h"

#include <stdlib.h>
#include <string.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/ejection/ejection_internal.h"

enum
{
  TICKS_PER_EVIDENCE_INTERVAL = 4,
  TICK_MIN_MS = 10,
  TICK_MAX_MS = 100,
};

int64_t
ejection_now_ms (const struct ejection_task *task)
{
  return task->options.now_ms != NULL ? task->options.now_ms ()
                                      : clock_now_ms ();
}

struct ejection_service *
ejection_find_service (struct ejection_task *task, const char *name)
{
  struct ejection_service *service;
  HASH_FIND_STR (task->services, name, service);
  return service;
}

void
ejection_names_assign (struct ejection_names *to,
                       const char (*names)[FLOOR_NAME_SIZE], size_t count)
{
  to->names = xreallocarray (to->names, count + 1, sizeof *to->names);
  if (count > 0)
    memcpy (to->names, names, count * sizeof *to->names);
  to->count = count;
}

bool
ejection_names_has (const struct ejection_names *names, const char *name)
{
  for (size_t i = 0; i < names->count; i++)
    if (strcmp (names->names[i], name) == 0)
      return true;
  return false;
}

static struct ejection_service *
find_or_add (struct ejection_task *task, const char *name)
{
  struct ejection_service *service = ejection_find_service (task, name);
  if (service != NULL)
    return service;
  service = ejection_service_create (task, name);
  HASH_ADD_STR (task->services, name, service);
  return service;
}

static void
on_in_force (void *owner, const struct bus_message *message)
{
  struct ejection_task *task = owner;
  const struct service_spec *spec = message->service_in_force.spec;
  ejection_service_set_spec (find_or_add (task, spec->name), spec);
}

static void
on_removed (void *owner, const struct bus_message *message)
{
  struct ejection_task *task = owner;
  struct ejection_service *service
      = ejection_find_service (task, message->service_removed.name);
  if (service == NULL)
    return;
  HASH_DEL (task->services, service);
  ejection_service_destroy (service);
}

static void
on_host_set (void *owner, const struct bus_message *message)
{
  struct ejection_task *task = owner;
  ejection_service_set_hosts (find_or_add (task, message->host_set.service),
                              &message->host_set);
}

static void
on_shutdown (void *owner, const struct bus_message *message)
{
  struct ejection_task *task = owner;
  task->is_leaving = true;
  struct ejection_service *service;
  struct ejection_service *next;
  HASH_ITER (hh, task->services, service, next)
  {
    ejection_owner_release (service);
  }
}

static void
on_tick (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct ejection_task *task = watcher->data;
  struct ejection_service *service;
  struct ejection_service *next;
  HASH_ITER (hh, task->services, service, next)
  {
    ejection_service_tick (service);
  }
  ejection_commands_tick (task);
}

static void
on_completion (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  ejection_commands_complete (watcher->data);
}

static struct counter *
add_counter (struct counters *counters, const char *name, const char *help)
{
  const struct counter_family_options options
      = { .name = name, .help = help, .kind = COUNTER_SUM };
  const char *const no_labels[4] = { NULL };
  return counter_series (counters_family (counters, &options), no_labels);
}

static void
add_counters (struct ejection_task *task)
{
  struct counters *counters = task->options.counters;
  task->counters = (struct ejection_counters){
    .ejected = add_counter (counters, "jaystair_ejections_total",
                            "Targets ejected by this host as owner."),
    .reinstated = add_counter (counters, "jaystair_reinstatements_total",
                               "Targets brought back by this host as owner."),
    .refused = add_counter (counters, "jaystair_ejections_refused_total",
                            "Ejections that the floor or settings refused."),
    .takeovers = add_counter (counters, "jaystair_ejection_takeovers_total",
                              "Services whose ejections this host took over."),
    .platform_calls
    = add_counter (counters, "jaystair_ejection_calls_total",
                   "Calls at the platform for ejection records."),
    .reports = add_counter (counters, "jaystair_evidence_reports_total",
                            "Evidence reports sent to owners."),
  };
}

uint32_t
ejection_tick_interval_ms (const struct ejection_task *task)
{
  const uint32_t evidence_ms = task->options.settings->times.evidence_ms;
  const uint32_t tick_ms = evidence_ms / TICKS_PER_EVIDENCE_INTERVAL;
  if (tick_ms < TICK_MIN_MS)
    return TICK_MIN_MS;
  return tick_ms > TICK_MAX_MS ? TICK_MAX_MS : tick_ms;
}

/* A host that was suspended must end expired enforcements before it serves the
   requests that arrived meanwhile, so the tick has priority over all other
   events of a loop iteration. */
static void
start_timers (struct ejection_task *task)
{
  const double tick_s = ejection_tick_interval_ms (task) / 1000.0;
  ev_timer_init (&task->tick_timer, on_tick, tick_s, tick_s);
  ev_set_priority (&task->tick_timer, EV_MAXPRI);
  task->tick_timer.data = task;
  ev_timer_start (task->options.loop, &task->tick_timer);
  ev_timer_init (&task->completion_timer, on_completion, 0, 0);
  task->completion_timer.data = task;
}

struct ejection_task *
ejection_task_create (const struct ejection_task_options *options)
{
  struct ejection_task *task = xcalloc (1, sizeof *task);
  task->options = *options;
  task->items = xcalloc (EJECTION_ITEMS_MAX, sizeof *task->items);
  add_counters (task);
  bus_subscribe (options->bus, BUS_SERVICE_IN_FORCE, on_in_force, task);
  bus_subscribe (options->bus, BUS_SERVICE_REMOVED, on_removed, task);
  bus_subscribe (options->bus, BUS_HOST_SET, on_host_set, task);
  bus_subscribe (options->bus, BUS_SHUTDOWN, on_shutdown, task);
  if (options->tables != NULL)
    tables_register (options->tables, "ejections", ejection_rows, task);
  start_timers (task);
  return task;
}

void
ejection_task_destroy (struct ejection_task *task)
{
  if (task == NULL)
    return;
  ev_timer_stop (task->options.loop, &task->tick_timer);
  ev_timer_stop (task->options.loop, &task->completion_timer);
  bus_unsubscribe (task->options.bus, task);
  if (task->options.tables != NULL)
    tables_unregister (task->options.tables, task);
  struct ejection_service *service;
  struct ejection_service *next;
  HASH_ITER (hh, task->services, service, next)
  {
    HASH_DEL (task->services, service);
    ejection_service_destroy (service);
  }
  ejection_commands_drop (task);
  free (task->items);
  free (task);
}

static void
receive_report (struct ejection_service *service, const char *from,
                const struct peer_report *message)
{
  struct ejection_report report;
  if (!ejection_read_report (message, &report))
    return;
  ejection_owner_receive_report (service, from, &report);
  free ((void *)report.items);
}

static void
receive_notice (struct ejection_service *service, const char *from,
                const struct peer_report *message)
{
  struct ejection_notice notice;
  if (!ejection_read_notice (message, &notice))
    return;
  ejection_service_receive_notice (service, from, &notice);
  free ((void *)notice.trial_permille);
}

static void
receive_command_message (struct ejection_task *task, const char *from,
                         const struct peer_report *message)
{
  struct ejection_command_message command;
  if (ejection_read_command_message (message, &command))
    ejection_command_receive (task, from, &command);
}

void
ejection_task_receive (struct ejection_task *task, const char *from,
                       const struct peer_message *message)
{
  const struct peer_report *report = &message->report;
  const enum ejection_kind kind = ejection_message_kind (report);
  struct ejection_service *service
      = ejection_find_service (task, report->service);
  switch (kind)
    {
    case EJECTION_REPORT:
      if (service != NULL && message->type == PEER_EVIDENCE)
        receive_report (service, from, report);
      return;
    case EJECTION_DECISION:
    case EJECTION_REDIRECT:
    case EJECTION_STOPPED:
      if (service != NULL && message->type == PEER_DECISION)
        receive_notice (service, from, report);
      return;
    case EJECTION_COMMAND:
    case EJECTION_RESULT:
      receive_command_message (task, from, report);
      return;
    }
  LOG_WARN ("bad-message", LOG_STR ("from", from),
            LOG_STR ("service", report->service));
}
