#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/control/outcome_digest.h"

enum
{
  OUTCOME_COLUMNS = 2, /* key of the target, how the attempt ended */
  /** After a report the next ones wait so long and go together: short against
   * the seconds that a target fails for, long against the time that the
   * message of one outcome takes of a busy host. */
  REPORT_PAUSE_MS = 50,
  REPORT_ROWS_MAX = 256,
};

/** The outcomes of a service: those that the other hosts of its set aren't
 * told yet, and what hosts outside it are told. */
struct control_outcomes
{
  char service[PEER_NAME_SIZE];
  int64_t *values; /**< NULL: none */
  size_t value_count;
  int64_t reported_ms;
  struct outcome_digest *digest; /**< NULL while this host isn't in the set */
  struct control_outcomes *prev, *next;
};

static const struct control_service *
service_of (const struct control_task *task, const char *name)
{
  const struct control_service *service;
  HASH_FIND_STR (task->services, name, service);
  return service;
}

/* Keeps the failed targets of services whose set this host is in. */
static void
note_in_digest (struct control_outcomes *outcomes,
                const struct control_service *service, uint64_t host,
                uint64_t target, enum attempt_end end)
{
  const bool is_kept = service != NULL && service->includes_self;
  if (!is_kept)
    {
      free (outcomes->digest);
      outcomes->digest = NULL;
      return;
    }
  if (outcomes->digest == NULL)
    outcomes->digest = xcalloc (1, sizeof *outcomes->digest);
  outcome_digest_add (outcomes->digest, clock_now_ms (), host, target, end);
}

static void
report (struct control_task *task, struct control_outcomes *outcomes)
{
  const struct control_service *service = service_of (task, outcomes->service);
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
  note_in_digest (outcomes, service_of (task, outcome->service),
                  task->self->key, outcome->target_key, outcome->end);
  const bool is_full
      = outcomes->value_count == REPORT_ROWS_MAX * OUTCOME_COLUMNS;
  if (is_full || clock_now_ms () - outcomes->reported_ms >= REPORT_PAUSE_MS)
    report (task, outcomes);
  else if (!ev_is_active (&task->outcome_timer))
    {
      ev_timer_set (&task->outcome_timer, REPORT_PAUSE_MS / 1000.0, 0);
      ev_timer_start (task->options.loop, &task->outcome_timer);
    }
}

static bool
is_in_set (const struct control_service *service, uint64_t host)
{
  for (size_t i = 0; i < service->set_count; i++)
    if (service->set[i] == host)
      return true;
  return false;
}

/* One host of the set answers HOST: the first one of its data centre, or of
   all where it has none. */
static bool
answers (const struct control_task *task,
         const struct control_service *service,
         const struct control_host *host)
{
  uint64_t first = service->set_count > 0 ? service->set[0] : 0;
  for (size_t i = service->set_count; i-- > 0;)
    {
      const struct control_host *other
          = control_hosts_find (task, service->set[i]);
      if (other != NULL && strcmp (other->record.dc, host->record.dc) == 0)
        first = other->key;
    }
  return first == task->self->key;
}

/* Tells the sender of a report, outside the set, of failed targets. */
static void
tell_outsider (struct control_task *task, const struct control_source *source,
               struct control_outcomes *outcomes)
{
  struct outcome_digest_target targets[OUTCOME_DIGEST_TARGETS_MAX];
  const size_t count = outcome_digest_collect (
      outcomes->digest, clock_now_ms (), source->host->key, targets);
  if (count == 0)
    return;
  int64_t values[OUTCOME_DIGEST_TARGETS_MAX * OUTCOME_COLUMNS];
  for (size_t i = 0; i < count; i++)
    {
      values[i * OUTCOME_COLUMNS] = (int64_t)targets[i].key;
      values[i * OUTCOME_COLUMNS + 1] = (int64_t)targets[i].end;
    }
  struct peer_message told
      = { .type = PEER_OUTCOMES,
          .report = { .columns = OUTCOME_COLUMNS,
                      .values = values,
                      .value_count = count * OUTCOME_COLUMNS } };
  memcpy (told.report.service, outcomes->service, sizeof told.report.service);
  control_reply (task, source, &told);
  LOG_INFO ("failed-targets-told", LOG_STR ("service", outcomes->service),
            LOG_STR ("host", source->host->record.name),
            LOG_INT ("targets", count));
}

/* Makes an outcome of another host known here. */
static void
hear (struct control_task *task, const char *service, uint64_t target,
      enum attempt_end end)
{
  struct bus_message message
      = { .topic = BUS_OUTCOME_RECEIVED,
          .outcome = { .target_key = target, .end = end } };
  memcpy (message.outcome.service, service, sizeof message.outcome.service);
  bus_post (task->options.bus, &message);
}

void
control_outcomes_receive (struct control_task *task,
                          const struct control_source *source,
                          const struct peer_report *report)
{
  if (report->columns != OUTCOME_COLUMNS)
    return;
  const struct control_service *service = service_of (task, report->service);
  if (service == NULL)
    return;
  struct control_outcomes *outcomes = outcomes_of (task, report->service);
  for (size_t i = 0; i + 1 < report->value_count; i += OUTCOME_COLUMNS)
    {
      const int64_t end = report->values[i + 1];
      if (end < 0 || end > ATTEMPT_CANCELLED)
        continue;
      const uint64_t target = (uint64_t)report->values[i];
      note_in_digest (outcomes, service, source->host->key, target,
                      (enum attempt_end)end);
      hear (task, report->service, target, (enum attempt_end)end);
    }
  if (outcomes->digest != NULL && !is_in_set (service, source->host->key)
      && answers (task, service, source->host))
    tell_outsider (task, source, outcomes);
}

void
control_outcomes_start (struct control_task *task)
{
  bus_subscribe (task->options.bus, BUS_OUTCOME_OBSERVED, on_seen, task);
}

void
control_outcomes_prepare (struct control_task *task)
{
  ev_timer_init (&task->outcome_timer, report_cb, 0, 0);
  task->outcome_timer.data = task;
}

void
control_outcomes_release (struct control_task *task)
{
  struct control_outcomes *outcomes;
  struct control_outcomes *next;
  ev_timer_stop (task->options.loop, &task->outcome_timer);
  DL_FOREACH_SAFE (task->outcomes, outcomes, next)
  {
    free (outcomes->values);
    free (outcomes->digest);
    free (outcomes);
  }
}
