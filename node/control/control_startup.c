#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include "base/clock.h"
#include "base/log.h"
#include "node/control/incarnation.h"

enum
{
  /** Longest time for which a configuration that this host has read waits for
   * a comparison with another host. */
  HOLD_MAX_MS = 500,
  /** Neighbours are asked this often in the meantime. */
  ASK_INTERVAL_MS = 100,
  /** Hosts that started this much earlier have learned what the platform has
   * lost. */
  EARLIER_MS = 1000,
};

static bool
started_earlier (const struct control_task *task,
                 const struct control_host *host)
{
  return incarnation_time_ms (host->record.incarnation) + EARLIER_MS
         <= incarnation_time_ms (task->self->record.incarnation);
}

/* The feed of hosts is the last one. */
static bool
hosts_are_listed (const struct control_task *task)
{
  return task->feed_count > 0 && task->feeds[task->feed_count - 1].is_listed;
}

static bool
has_earlier_hosts (const struct control_task *task)
{
  const struct control_host *host;
  for (host = task->hosts; host != NULL; host = host->hh.next)
    if (host != task->self && started_earlier (task, host))
      return true;
  return false;
}

static bool
platform_has_answered (const struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    if (task->feeds[i].is_listed)
      return true;
  return false;
}

static void
release (struct control_task *task, const char *why)
{
  struct control_startup *startup = &task->startup;
  const int64_t held_ms = startup->waiting_since_ms > 0
                              ? clock_now_ms () - startup->waiting_since_ms
                              : 0;
  startup->is_held = false;
  ev_timer_stop (task->options.loop, &startup->timer);
  LOG_INFO ("settings-released", LOG_INT ("held_ms", held_ms),
            LOG_INT ("era", task->options.platform->era),
            LOG_STR ("why", why));
  registry_release (task->registry);
}

void
control_startup_check (struct control_task *task)
{
  if (!task->startup.is_held)
    return;
  if (task->options.platform->era == 0 && platform_has_answered (task))
    release (task, "the platform has no eras");
  else if (task->startup.is_compared && !control_pulls_has_open (task))
    release (task, "compared with another host");
  else if (hosts_are_listed (task) && HASH_COUNT (task->hosts) <= 1)
    release (task, "no other host is listed");
}

void
control_startup_note_compared (struct control_task *task,
                               const struct control_host *host)
{
  if (!task->startup.is_held)
    return;
  if (started_earlier (task, host)
      || (hosts_are_listed (task) && !has_earlier_hosts (task)))
    task->startup.is_compared = true;
  control_startup_check (task);
}

uint32_t
control_startup_compare_interval_ms (const struct control_task *task)
{
  return task->startup.is_held ? ASK_INTERVAL_MS / 2
                               : task->options.settings->times.heartbeat_ms;
}

void
control_startup_note_config (struct control_task *task)
{
  struct control_startup *startup = &task->startup;
  if (!startup->is_held || startup->waiting_since_ms > 0)
    return;
  startup->waiting_since_ms = clock_now_ms ();
  ev_timer_start (task->options.loop, &startup->timer);
}

/* Heartbeats are answered with a hash of the settings. */
static void
ask_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct control_task *task = watcher->data;
  const int64_t now_ms = clock_now_ms ();
  if (now_ms - task->startup.waiting_since_ms >= HOLD_MAX_MS)
    release (task, "no other host has answered");
  else
    control_members_send_heartbeats (task, now_ms);
}

void
control_startup_start (struct control_task *task)
{
  struct control_startup *startup = &task->startup;
  ev_timer_init (&startup->timer, ask_cb, ASK_INTERVAL_MS / 1000.0,
                 ASK_INTERVAL_MS / 1000.0);
  startup->timer.data = task;
  if (task->registry == NULL)
    return;
  startup->is_held = true;
  registry_hold (task->registry);
}

void
control_startup_stop (struct control_task *task)
{
  ev_timer_stop (task->options.loop, &task->startup.timer);
}
