#include "node/control/control_feed.h"

#include <string.h>

#include "base/clock.h"

bool
control_platform_hosts_are_current (const struct control_task *task,
                                    int64_t now_ms)
{
  const struct control_times *times = &task->options.settings->times;
  const struct control_feed *feed = &task->feeds[task->feed_count - 1];
  const int64_t limit_ms
      = (int64_t)times->watch_ms + times->platform_timeout_ms;
  return feed->is_listed && feed->backoff_ms == 0
         && now_ms - feed->last_current_reply_ms <= limit_ms;
}

static void
add_feed (struct control_task *task, const char *kind, bool is_watched_by_all)
{
  struct control_feed *feed = &task->feeds[task->feed_count++];
  feed->task = task;
  feed->kind = kind;
  feed->is_watched_by_all = is_watched_by_all;
}

/* The feed of hosts is the last one; control_platform_hosts_are_current()
   relies on that. */
void
control_platform_start (struct control_task *task)
{
  const bool is_watched_by_all
      = task->options.settings->modes.all_watch_registry;
  if (task->registry == NULL)
    add_feed (task, PLATFORM_KIND_SERVICE, false);
  else
    {
      add_feed (task, PLATFORM_KIND_CONFIG, is_watched_by_all);
      add_feed (task, PLATFORM_KIND_TARGET, is_watched_by_all);
    }
  add_feed (task, PLATFORM_KIND_HOST, false);
  for (size_t i = 0; i < task->feed_count; i++)
    control_feed_start (&task->feeds[i]);
  control_registration_start (task);
  control_contact_start (task);
}

void
control_platform_wake (struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    control_feed_wake (&task->feeds[i]);
}

void
control_platform_restart (struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    control_feed_restart (&task->feeds[i]);
}

void
control_platform_list_again (struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    control_feed_follow_era (&task->feeds[i], task->options.platform->era);
}

bool
control_platform_is_current (const struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    if (strcmp (task->feeds[i].kind, PLATFORM_KIND_HOST) != 0
        && !control_feed_is_current (&task->feeds[i]))
      return false;
  return task->feed_count > 0 && control_feed_reads_newest (task);
}

void
control_platform_stop (struct control_task *task)
{
  control_contact_stop (task);
  for (size_t i = 0; i < task->feed_count; i++)
    control_feed_stop (&task->feeds[i]);
}
