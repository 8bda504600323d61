#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/xmalloc.h"

enum
{
  OUTCOME_COLUMNS = 2, /* key of the target, how the attempt ended */
  /** After a report the next ones wait so long and go together: short against
   * the seconds that a target fails for, long against the time that the
   * message of one outcome takes of a busy host. */
  REPORT_PAUSE_MS = 50,
  REPORT_ROWS_MAX = 256,
};

/** The outcomes of a service that the other hosts of its set aren't told
 * yet. */
struct control_outcomes
{
  char service[PEER_NAME_SIZE];
  int64_t *values; /**< NULL: none */
  size_t value_count;
  int64_t reported_ms;
  struct control_outcomes *prev, *next;
};

static void
report (struct control_task *task, struct control_outcomes *outcomes)
{
  const struct control_service *service;
  HASH_FIND_STR (task->services, outcomes->service, service);
  struct peer_message told
      = { .type = PEER_OUTCOMES,
          .report = { .columns = OUTCOME_COLUMNS,
                      .values = outcomes->values,
                      .value_count = outcomes->value_count } };
  memcpy (told.report.service, outcomes->service, sizeof told.report.service);
  outcomes->reported_ms = clock_now_ms ();
  for (size_t i = 0; service != NULL && i < service->set_count; i++)
    {
      struct control_host *host = control_hosts_find (task, service->set[i]);
      if (host != NULL && host != task->self)
        control_hosts_send (task, host, &told);
    }
  free (outcomes->values);
  outcomes->values = NULL;
  outcomes->value_count = 0;
}

static void
report_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct control_task *task = watcher->data;
  struct control_outcomes *outcomes;
  DL_FOREACH (task->outcomes, outcomes)
  {
    if (outcomes->value_count > 0)
      report (task, outcomes);
  }
}

static struct control_outcomes *
outcomes_of (struct control_task *task, const char *service)
{
  struct control_outcomes *outcomes;
  DL_FOREACH (task->outcomes, outcomes)
  {
    if (strcmp (outcomes->service, service) == 0)
      return outcomes;
  }
  outcomes = xcalloc (1, sizeof *outcomes);
  snprintf (outcomes->service, sizeof outcomes->service, "%s", service);
  outcomes->reported_ms = INT64_MIN / 2;
  DL_APPEND (task->outcomes, outcomes);
  return outcomes;
}

/* Guards against hosts that each find out for themselves that a target is
   ill, at the price of a request every time: what one sees, the others of the
   service's set hear a moment later.  A host that isn't reached finds out as
   before. */
static void
on_seen (void *owner, const struct bus_message *message)
{
  struct control_task *task = owner;
  const struct bus_outcome *outcome = &message->outcome;
  struct control_outcomes *outcomes = outcomes_of (task, outcome->service);
  const size_t at = outcomes->value_count;
  outcomes->values = xreallocarray (outcomes->values, at + OUTCOME_COLUMNS,
                                    sizeof *outcomes->values);
  outcomes->values[at] = (int64_t)outcome->target_key;
  outcomes->values[at + 1] = (int64_t)outcome->end;
  outcomes->value_count += OUTCOME_COLUMNS;
  const bool is_full
      = outcomes->value_count == REPORT_ROWS_MAX * OUTCOME_COLUMNS;
  if (is_full || clock_now_ms () - outcomes->reported_ms >= REPORT_PAUSE_MS)
    report (task, outcomes);
  else if (!ev_is_active (&task->report))
    {
      ev_timer_set (&task->report, REPORT_PAUSE_MS / 1000.0, 0);
      ev_timer_start (task->options.loop, &task->report);
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

void
control_outcomes_prepare (struct control_task *task)
{
  ev_timer_init (&task->report, report_cb, 0, 0);
  task->report.data = task;
}

void
control_outcomes_release (struct control_task *task)
{
  struct control_outcomes *outcomes;
  struct control_outcomes *next;
  ev_timer_stop (task->options.loop, &task->report);
  DL_FOREACH_SAFE (task->outcomes, outcomes, next)
  {
    free (outcomes->values);
    free (outcomes);
  }
}
