#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "wire/platform_version.h"

enum
{
  /** Targets whose records expired during a platform outage register again
   * within two seconds of its end; some time is added for the delivery. */
  REREGISTER_TIMEOUT_MS = 2300,
  /** A target whose lost removal was kept returns after this time if its
   * record is still there: the platform has removed records of dead targets
   * again by then. */
  RETURN_DELAY_MS = 10000,
};

static void
schedule_timer (struct control_task *task)
{
  const struct control_removal *removal;
  int64_t due_ms = INT64_MAX;
  ev_timer_stop (task->options.loop, &task->removal_timer);
  if (task->removals == NULL)
    return;
  DL_FOREACH (task->removals, removal)
  {
    if (removal->due_ms < due_ms)
      due_ms = removal->due_ms;
  }
  const int64_t delay_ms = due_ms - clock_now_ms ();
  ev_timer_set (&task->removal_timer, delay_ms > 0 ? delay_ms / 1000.0 : 0.,
                0.);
  ev_timer_start (task->options.loop, &task->removal_timer);
}

static void
free_removal (struct control_removal *removal)
{
  free (removal->value);
  free (removal);
}

static void
due_cb (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct control_task *task = timer->data;
  const int64_t now_ms = clock_now_ms ();
  struct control_removal *removal;
  struct control_removal *next;
  DL_FOREACH_SAFE (task->removals, removal, next)
  {
    if (removal->due_ms > now_ms)
      continue;
    DL_DELETE (task->removals, removal);
    control_settings_apply (task, PLATFORM_KIND_TARGET, removal->name,
                            removal->version, removal->value, "deferred");
    free_removal (removal);
  }
  schedule_timer (task);
}

void
control_removals_start (struct control_task *task)
{
  ev_timer_init (&task->removal_timer, due_cb, 0., 0.);
  task->removal_timer.data = task;
}

void
control_removals_stop (struct control_task *task)
{
  ev_timer_stop (task->options.loop, &task->removal_timer);
  struct control_removal *removal;
  struct control_removal *next;
  DL_FOREACH_SAFE (task->removals, removal, next)
  {
    DL_DELETE (task->removals, removal);
    free_removal (removal);
  }
}

static void
add (struct control_task *task, const char *name, uint64_t version,
     const char *value, int64_t due_ms)
{
  struct control_removal *removal = xcalloc (1, sizeof *removal);
  strncpy (removal->name, name, sizeof removal->name - 1);
  removal->version = version;
  removal->value = xstrdup (value);
  removal->due_ms = due_ms;
  DL_APPEND (task->removals, removal);
  schedule_timer (task);
}

static bool
is_deferred (const struct control_task *task, const char *name,
             uint64_t version)
{
  const struct control_removal *removal;
  DL_FOREACH (task->removals, removal)
  {
    if (removal->value == NULL && removal->version >= version
        && strcmp (removal->name, name) == 0)
      return true;
  }
  return false;
}

/* During a platform outage no heartbeats of targets are accepted, so their
   records expire, and the first response after it shows them removed while
   they still serve.  The service would have no targets for two seconds.  Live
   targets register again within that time with a higher version, and their
   removal then has no effect.  The removal of a drained target is applied at
   once. */
bool
control_removals_defer (struct control_task *task, const char *name,
                        uint64_t version, const char *via)
{
  const struct control_outage *outage = &task->outage;
  const int64_t now_ms = clock_now_ms ();
  const int64_t ended_ms = control_outage_end_ms (task);
  const int64_t due_ms = ended_ms + REREGISTER_TIMEOUT_MS;
  if (ended_ms == 0 || now_ms >= due_ms
      || !registry_target_is_active (task->registry, name))
    return false;
  if (is_deferred (task, name, version))
    return true;
  add (task, name, version, NULL, due_ms);
  if (task->restore.is_reading)
    task->restore.held_removals++;
  LOG_INFO ("removal-held", LOG_STR ("target", name),
            LOG_INT ("version", platform_version_revision (version)),
            LOG_INT ("for_ms", due_ms - now_ms),
            LOG_INT ("outage_ms", outage->length_ms),
            LOG_INT ("outage_age_ms", now_ms - ended_ms), LOG_STR ("via", via),
            LOG_STR ("why", ended_ms == outage->ended_ms
                                ? outage->why
                                : "the platform doesn't answer this host"));
  return true;
}

static bool
is_returning (const struct control_task *task, const char *name,
              uint64_t version)
{
  const struct control_removal *removal;
  DL_FOREACH (task->removals, removal)
  {
    if (removal->value != NULL && removal->version == version
        && strcmp (removal->name, name) == 0)
      return true;
  }
  return false;
}

void
control_removals_return_later (struct control_task *task, const char *name,
                               uint64_t version, const char *value)
{
  if (!is_returning (task, name, version))
    add (task, name, version, value, clock_now_ms () + RETURN_DELAY_MS);
}
