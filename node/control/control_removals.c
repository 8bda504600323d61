#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdlib.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/xmalloc.h"

enum
{
  /** Targets whose records lapsed while the platform was away have registered
   * again within two seconds of its return; a little is added for the way. */
  BACK_AFTER_MS = 2300,
};

static void
arm (struct control_task *task)
{
  const struct control_removal *first = task->removals;
  ev_timer_stop (task->options.loop, &task->removal_timer);
  if (first == NULL)
    return;
  const int64_t left_ms = first->due_ms - clock_now_ms ();
  ev_timer_set (&task->removal_timer, left_ms > 0 ? left_ms / 1000.0 : 0., 0.);
  ev_timer_start (task->options.loop, &task->removal_timer);
}

static void
on_due (struct ev_loop *loop, ev_timer *timer, int events)
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
                            removal->version, NULL);
    free (removal);
  }
  arm (task);
}

void
control_removals_start (struct control_task *task)
{
  ev_timer_init (&task->removal_timer, on_due, 0., 0.);
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
    free (removal);
  }
}

/* Guards against an outage of the platform that takes all targets with it:
   their records lapse since no heartbeat is taken, and the first answer after
   it shows them gone while they serve as ever.  Shows as a service without
   targets for two seconds.  Those that live register again within that time,
   under a higher version, and their removal then changes nothing.  One that
   said that it leaves is believed at once. */
bool
control_removals_hold (struct control_task *task, const char *name,
                       uint64_t version, int64_t regained_ms)
{
  const int64_t due_ms = regained_ms + BACK_AFTER_MS;
  if (regained_ms == 0 || clock_now_ms () >= due_ms
      || !registry_target_is_active (task->registry, name))
    return false;
  struct control_removal *removal = xcalloc (1, sizeof *removal);
  strncpy (removal->name, name, sizeof removal->name - 1);
  removal->version = version;
  removal->due_ms = due_ms;
  DL_APPEND (task->removals, removal);
  LOG_INFO ("removal-held", LOG_STR ("target", name),
            LOG_INT ("version", version),
            LOG_INT ("for_ms", due_ms - clock_now_ms ()),
            LOG_STR ("why", "the platform was away"));
  arm (task);
  return true;
}
