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
  /** Minimum interval of reports; outcomes in between are sent together.
   * This is short compared with the seconds for which a target fails, and
   * long compared with the time that a busy host spends on a message for one
   * outcome. */
  REPORT_INTERVAL_MS = 50,
  REPORT_ROWS_MAX = 256,
};

/** The outcomes of a service: those not yet sent to the other hosts of its
 * set, and a digest for hosts outside it. */
struct control_outcomes
{
  char service[PEER_NAME_SIZE];
  int64_t *values; /**< NULL: none */
  size_t value_count;
  int64_t reported_ms;
  struct outcome_digest *digest; /**< NULL while this host isn't in the set */
  struct control_outcomes *prev, *next;
};

/* Keeps the failed targets of services whose set includes this host. */
static void
update_digest (struct control_outcomes *outcomes,
               const struct control_service *service, uint64_t host,
               uint64_t target, enum attempt_end end)
{
  const bool is_needed = service != NULL && service->includes_self;
  if (!is_needed)
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
send_report (struct control_task *task, struct control_outcomes *outcomes)
{
  const struct control_service *service
      = control_services_find (task, outcomes->service);
  struct peer_message message
      = { .type = PEER_OUTCOMES,
          .report = { .columns = CONTROL_OUTCOME_COLUMNS,
                      .values = outcomes->values,
                      .value_count = outcomes->value_count } };
  memcpy (message.report.service, outcomes->service,
          sizeof message.report.service);
  outcomes->reported_ms = clock_now_ms ();
  for (size_t i = 0; service != NULL && i < service->set_count; i++)
    {
      struct control_host *host = control_hosts_find (task, service->set[i]);
      if (host != NULL && host != task->self)
        control_hosts_send (task, host, &message);
    }
  free (outcomes->values);
  outcomes->values = NULL;
  outcomes->value_count = 0;
}

static void
report_timer_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct control_task *task = watcher->data;
  struct control_outcomes *outcomes;
  DL_FOREACH (task->outcomes, outcomes)
  {
    if (outcomes->value_count > 0)
      send_report (task, outcomes);
  }
}

static struct control_outcomes *
find_or_add_outcomes (struct control_task *task, const char *service)
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

/* Without reports, each host would have to detect an unhealthy target for
   itself, which costs a request each time.  What one host observes is sent to
   the others of the service's set a moment later.  A host that a report
   doesn't reach detects the target for itself. */
static void
on_outcome (void *owner, const struct bus_message *message)
{
  struct control_task *task = owner;
  const struct bus_outcome *outcome = &message->outcome;
  struct control_outcomes *outcomes
      = find_or_add_outcomes (task, outcome->service);
  const size_t start = outcomes->value_count;
  outcomes->values
      = xreallocarray (outcomes->values, start + CONTROL_OUTCOME_COLUMNS,
                       sizeof *outcomes->values);
  outcomes->values[start] = (int64_t)outcome->target_key;
  outcomes->values[start + 1] = (int64_t)outcome->end;
  outcomes->value_count += CONTROL_OUTCOME_COLUMNS;
  update_digest (outcomes, control_services_find (task, outcome->service),
                 task->self->key, outcome->target_key, outcome->end);
  const bool is_full
      = outcomes->value_count == REPORT_ROWS_MAX * CONTROL_OUTCOME_COLUMNS;
  if (is_full || clock_now_ms () - outcomes->reported_ms >= REPORT_INTERVAL_MS)
    send_report (task, outcomes);
  else if (!ev_is_active (&task->outcome_timer))
    {
      ev_timer_set (&task->outcome_timer, REPORT_INTERVAL_MS / 1000.0, 0);
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

/* One host of the set responds to HOST: the first of its data centre, or the
   first of all if its data centre has none. */
static bool
is_responder (const struct control_task *task,
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

/* Sends the failed targets to the sender of a report that is outside the
   set. */
static void
send_digest (struct control_task *task, const struct control_source *source,
             struct control_outcomes *outcomes)
{
  struct outcome_digest_target targets[OUTCOME_DIGEST_TARGETS_MAX];
  const size_t count = outcome_digest_collect (
      outcomes->digest, clock_now_ms (), source->host->key, targets);
  if (count == 0)
    return;
  int64_t values[OUTCOME_DIGEST_TARGETS_MAX * CONTROL_OUTCOME_COLUMNS];
  for (size_t i = 0; i < count; i++)
    {
      values[i * CONTROL_OUTCOME_COLUMNS] = (int64_t)targets[i].key;
      values[i * CONTROL_OUTCOME_COLUMNS + 1] = (int64_t)targets[i].end;
    }
  struct peer_message message
      = { .type = PEER_OUTCOMES,
          .report = { .columns = CONTROL_OUTCOME_COLUMNS,
                      .values = values,
                      .value_count = count * CONTROL_OUTCOME_COLUMNS } };
  memcpy (message.report.service, outcomes->service,
          sizeof message.report.service);
  control_reply (task, source, &message);
  LOG_INFO ("failed-targets-told", LOG_STR ("service", outcomes->service),
            LOG_STR ("host", source->host->record.name),
            LOG_INT ("targets", count));
}

/* Posts an outcome reported by another host. */
static void
post_outcome (struct control_task *task, const char *service, uint64_t target,
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
  if (report->columns != CONTROL_OUTCOME_COLUMNS
      || control_delegates_receive (task, source, report))
    return;
  const struct control_service *service
      = control_services_find (task, report->service);
  if (service == NULL)
    return;
  struct control_outcomes *outcomes
      = find_or_add_outcomes (task, report->service);
  for (size_t i = 0; i + 1 < report->value_count; i += CONTROL_OUTCOME_COLUMNS)
    {
      const int64_t end = report->values[i + 1];
      if (end < 0 || end > ATTEMPT_CANCELLED)
        continue;
      const uint64_t target = (uint64_t)report->values[i];
      update_digest (outcomes, service, source->host->key, target,
                     (enum attempt_end)end);
      post_outcome (task, report->service, target, (enum attempt_end)end);
    }
  if (outcomes->digest != NULL && !is_in_set (service, source->host->key)
      && is_responder (task, service, source->host))
    send_digest (task, source, outcomes);
  control_retries_receive (task, source, report);
}

void
control_outcomes_start (struct control_task *task)
{
  bus_subscribe (task->options.bus, BUS_OUTCOME_OBSERVED, on_outcome, task);
}

void
control_outcomes_prepare (struct control_task *task)
{
  ev_timer_init (&task->outcome_timer, report_timer_cb, 0, 0);
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
