#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/xmalloc.h"

enum
{
  /** A watch that told something waits so long before the next, so that a
   * burst of changes is one call; a tenth of the seconds within which a change
   * must be in force.  Where hundreds of targets come and go, each relay makes
   * a call after each pause. */
  RELAY_PAUSE_MS = 300,
  /** The others hear from the relays meanwhile and watch only in case they
   * don't: when the news that reaches them grows old, they go on at once. With
   * hundreds of hosts their watches are most of the platform's calls. */
  OTHERS_PAUSE_MS = 8000,
  /** Heartbeats that news takes from a relay to any host, at most. */
  NEWS_BEATS = 3,
};

/* News is as old as the kind of settings that was heard of longest ago. */
static void
note_news (struct control_task *task)
{
  int64_t heard_ms = INT64_MAX;
  for (size_t i = 0; i < task->feed_count; i++)
    if (strcmp (task->feeds[i].kind, PLATFORM_KIND_HOST) != 0
        && task->feeds[i].last_current_reply_ms < heard_ms)
      heard_ms = task->feeds[i].last_current_reply_ms;
  if (heard_ms != INT64_MAX)
    control_members_note_contact (task, heard_ms);
}

static void
answered (struct control_feed *feed)
{
  const int64_t now_ms = clock_now_ms ();
  if (feed->age == PLATFORM_READ_LATEST)
    feed->last_current_reply_ms = now_ms;
  if (feed->backoff_ms > 0)
    {
      feed->recovered_ms = now_ms;
      LOG_INFO ("platform-regained", LOG_STR ("kind", feed->kind),
                LOG_INT ("revision", feed->revision));
    }
  feed->backoff_ms = 0;
  note_news (feed->task);
}

static void
apply (struct control_feed *feed, const char *name, uint64_t version,
       const char *value)
{
  struct control_task *task = feed->task;
  if (value == NULL && strcmp (feed->kind, PLATFORM_KIND_TARGET) == 0
      && control_removals_hold (task, name, version, feed->recovered_ms))
    return;
  control_settings_apply (task, feed->kind, name, version, value);
}

static void
apply_reply (struct control_feed *feed, const struct platform_reply *reply)
{
  for (size_t i = 0; i < reply->count; i++)
    apply (feed, reply->objects[i].name, reply->objects[i].version,
           reply->objects[i].value);
  if (reply->revision > feed->revision)
    feed->revision = reply->revision;
}

static bool
reply_holds (const struct platform_reply *reply, const char *name)
{
  for (size_t i = 0; i < reply->count; i++)
    if (strcmp (reply->objects[i].name, name) == 0)
      return true;
  return false;
}

/* Guards against a removal that nobody saw: it happened while no relay
   watched, and a list doesn't show what is gone.  Shows as a removed service
   that is served for ever.  Versions come from one growing sequence, so what
   a list of REVISION lacks, at or below that revision, was removed by then;
   what is newer than the list is left alone. */
static void
remove_missing (struct control_feed *feed, const struct platform_reply *reply)
{
  struct control_task *task = feed->task;
  struct control_object *object;
  struct control_object *next;
  HASH_ITER (hh, task->objects, object, next)
  {
    if (object->value == NULL || object->version >= reply->revision
        || strcmp (object->kind, feed->kind) != 0
        || reply_holds (reply, object->name))
      continue;
    apply (feed, object->name, reply->revision, NULL);
  }
}

/* A list holds all there is; a watch that shows changes may hold the first of
   them only. */
static void
note_freshness (const struct control_feed *feed,
                const struct platform_reply *reply)
{
  if (feed->age != PLATFORM_READ_LATEST
      || strcmp (feed->kind, PLATFORM_KIND_CONFIG) != 0)
    return;
  if (!feed->is_listed || reply->count == 0)
    control_freshness_note_current (feed->task, feed->asked_ms);
  else
    control_freshness_note_change (feed->task);
}

static void feed_next (struct control_feed *feed);

static void
feed_failed (struct control_feed *feed, const struct platform_reply *reply)
{
  LOG_WARN ("platform-failed", LOG_STR ("kind", feed->kind),
            LOG_STR ("status", status_name (reply->status)),
            LOG_STR ("why", reply->message));
  control_retry_later (feed->task, &feed->retry, &feed->backoff_ms);
}

/* Settings are there once every kind but the hosts has been listed. */
static void
note_listed (struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    if (!task->feeds[i].is_listed
        && strcmp (task->feeds[i].kind, PLATFORM_KIND_HOST) != 0)
      return;
  task->has_settings = true;
}

static void
list_done (void *owner, const struct platform_reply *reply)
{
  struct control_feed *feed = owner;
  feed->is_waiting = false;
  if (reply->status != STATUS_OK)
    {
      feed_failed (feed, reply);
      return;
    }
  answered (feed);
  apply_reply (feed, reply);
  remove_missing (feed, reply);
  note_freshness (feed, reply);
  feed->is_listed = true;
  feed->was_refused = false;
  note_listed (feed->task);
  control_tombstones_note_list (feed->task, feed->kind, reply->revision);
  feed_next (feed);
}

/* Guards against relays that are all cut from the platform and know it not, or
   are killed at once: the others would wait for their long watch.  A relay's
   news is two seconds old at most, and each heartbeat on the way adds half a
   second.  Relays begin to ask once they have settled, so news can't be old
   before that. */
static bool
news_is_old (const struct control_task *task)
{
  const struct control_times *times = &task->options.settings->times;
  const int64_t most_ms = (int64_t)times->relay_watch_ms
                          + (int64_t)NEWS_BEATS * times->heartbeat_ms;
  const int64_t since_ms = task->last_contact_ms > task->settled_ms
                               ? task->last_contact_ms
                               : task->settled_ms;
  return task->settled_ms > 0 && clock_now_ms () - since_ms > most_ms;
}

/* Does the host have to find out for itself what is new? */
static bool
asks_often (const struct control_task *task)
{
  return task->is_leading || task->is_stale || news_is_old (task);
}

static void
feed_pause (struct control_feed *feed)
{
  ev_timer_stop (feed->task->options.loop, &feed->retry);
  const int pause_ms
      = asks_often (feed->task) ? RELAY_PAUSE_MS : OTHERS_PAUSE_MS;
  ev_timer_set (&feed->retry, pause_ms / 1000.0, 0);
  ev_timer_start (feed->task->options.loop, &feed->retry);
}

static void
watch_done (void *owner, const struct platform_reply *reply)
{
  struct control_feed *feed = owner;
  feed->is_waiting = false;
  if (reply->status == STATUS_REFUSED)
    {
      feed->is_listed = false;
      feed->was_refused = true;
    }
  else if (reply->status != STATUS_OK)
    {
      feed_failed (feed, reply);
      return;
    }
  else
    {
      answered (feed);
      apply_reply (feed, reply);
      note_freshness (feed, reply);
    }
  if (reply->status == STATUS_OK && reply->count > 0)
    feed_pause (feed);
  else
    feed_next (feed);
}

/* What all hosts but the relays ask is a tenth of the price when it may be
   seconds old; the relays tell them sooner.  A first list may be old as well:
   the watch goes on from its revision.  After a watch was refused it may not,
   else its revision could be one that the platform has forgotten, too. */
static enum platform_read_mode
list_age (const struct control_feed *feed)
{
  return feed->was_refused ? PLATFORM_READ_LATEST : PLATFORM_READ_STALE;
}

static enum platform_read_mode
watch_age (const struct control_feed *feed)
{
  return asks_often (feed->task) ? PLATFORM_READ_LATEST : PLATFORM_READ_STALE;
}

/* Guards against a watch that went deaf: the platform dropped it and tells
   nobody.  Shows as a host that misses all changes until its watch is over.
   Relays ask again every few seconds and tell the others; for all hosts to do
   so would cost the platform ten times the calls.  Hosts are known by their
   heartbeats sooner than by their records, so those may be late. */
static uint32_t
watch_ms (const struct control_feed *feed)
{
  const struct control_task *task = feed->task;
  const struct control_times *times = &task->options.settings->times;
  const bool is_short = asks_often (task)
                        && strcmp (feed->kind, PLATFORM_KIND_HOST) != 0
                        && times->relay_watch_ms < times->watch_ms;
  if (!is_short)
    return times->watch_ms;
  return strcmp (feed->kind, PLATFORM_KIND_CONFIG) == 0
             ? control_freshness_watch_ms (task)
             : times->relay_watch_ms;
}

/* A host that has become a relay, or hears of none any more, ends the pause
   or the long watch that is under way. */
static void
shorten_watch (struct control_feed *feed)
{
  struct control_task *task = feed->task;
  if (asks_often (task) && feed->backoff_ms == 0)
    ev_timer_stop (task->options.loop, &feed->retry);
  if (!feed->is_waiting || !feed->is_listed
      || feed->watch_timeout_ms <= watch_ms (feed))
    return;
  platform_cancel (task->options.platform, feed);
  feed->is_waiting = false;
}

/* All list once; then relays watch, and the others hear from them. */
static void
feed_next (struct control_feed *feed)
{
  struct control_task *task = feed->task;
  if (feed->is_waiting || ev_is_active (&feed->retry))
    return;
  if (!feed->is_listed)
    {
      feed->is_waiting = true;
      feed->revision = 0;
      feed->age = list_age (feed);
      feed->asked_ms = clock_now_ms ();
      platform_list (task->options.platform, feed->kind, feed->age, list_done,
                     feed);
      return;
    }
  /* A stale host watches for itself, to find back. */
  if (!feed->is_watched_by_all && !task->is_relay && !task->is_stale)
    return;
  feed->is_waiting = true;
  feed->watch_timeout_ms = watch_ms (feed);
  feed->age = watch_age (feed);
  feed->asked_ms = clock_now_ms ();
  platform_watch (task->options.platform, feed->kind, feed->revision,
                  feed->watch_timeout_ms, feed->age, watch_done, feed);
}

static void
feed_retry_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  feed_next (watcher->data);
}

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
add_feed (struct control_task *task, const char *kind, bool is_for_all)
{
  struct control_feed *feed = &task->feeds[task->feed_count++];
  feed->task = task;
  feed->kind = kind;
  feed->is_watched_by_all = is_for_all;
  ev_timer_init (&feed->retry, feed_retry_cb, 0, 0);
  feed->retry.data = feed;
}

/* The feed of hosts is the last; see control_platform_hosts_are_current(). */
void
control_platform_start (struct control_task *task)
{
  const bool is_for_all = task->options.settings->modes.all_watch_registry;
  if (task->registry == NULL)
    add_feed (task, PLATFORM_KIND_SERVICE, false);
  else
    {
      add_feed (task, PLATFORM_KIND_CONFIG, is_for_all);
      add_feed (task, PLATFORM_KIND_TARGET, is_for_all);
    }
  add_feed (task, PLATFORM_KIND_HOST, false);
  for (size_t i = 0; i < task->feed_count; i++)
    feed_next (&task->feeds[i]);
  control_registration_start (task);
}

void
control_platform_wake (struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    {
      shorten_watch (&task->feeds[i]);
      feed_next (&task->feeds[i]);
    }
}

void
control_platform_check_age (struct control_task *task, int64_t now_ms)
{
  const bool watches = task->registry != NULL
                       && task->options.settings->modes.all_watch_registry;
  if (watches && !task->is_leading && news_is_old (task))
    control_platform_wake (task);
}

void
control_platform_stop (struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    {
      ev_timer_stop (task->options.loop, &task->feeds[i].retry);
      platform_cancel (task->options.platform, &task->feeds[i]);
    }
}
