#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "wire/platform_version.h"

enum
{
  /** Delay of a leading relay's next watch after one that returned changes, so
   * that a burst of changes takes one call.  It is a tenth of the seconds
   * within which a change must be in force.  Where hundreds of targets come
   * and go, each leading relay makes one call per delay. */
  RELAY_WATCH_DELAY_MS = 300,
  /** The same delay for other hosts.  They receive changes from the leading
   * relays and watch only in case they don't: when their last contact gets
   * old, they continue at once.  With hundreds of hosts, their watches are
   * most of the platform's calls. */
  OTHERS_WATCH_DELAY_MS = 8000,
  /** Longest back-off of a host that no other one informs: a leading relay, or
   * one that is cut from the others.  It and a call that isn't answered end
   * within three seconds. */
  INFORMED_BY_NOBODY_BACKOFF_MAX_MS = 800,
  OTHERS_BACKOFF_MAX_MS = 5000,
  /** Longest rest of a back-off once the platform has answered for another
   * kind of object. */
  REGAINED_BACKOFF_MAX_MS = 200,
  /** The platform answers within this time after a watch has ended.  Later, a
   * call counts as unanswered before its time-out. */
  OVERDUE_MS = 400,
  /** A watch after a failure ends at once, so that the failure of a path that
   * stays silent is noticed soon. */
  PROBE_WATCH_MS = 1,
  /** When the platform has forgotten their revisions, hosts list again spread
   * over this time for each host of the fleet. */
  LIST_SPREAD_MS_PER_HOST = 1,
};

/* The age of the contact is that of the kind of settings that was read the
   longest ago. */
static void
note_contact (struct control_task *task)
{
  int64_t contact_ms = INT64_MAX;
  for (size_t i = 0; i < task->feed_count; i++)
    if (strcmp (task->feeds[i].kind, PLATFORM_KIND_HOST) != 0
        && task->feeds[i].last_current_reply_ms < contact_ms)
      contact_ms = task->feeds[i].last_current_reply_ms;
  if (contact_ms != INT64_MAX)
    control_members_note_contact (task, contact_ms);
}

static void
shorten_backoff (struct control_feed *feed, uint32_t max_ms)
{
  struct control_task *task = feed->task;
  if (feed->backoff_ms == 0 || !ev_is_active (&feed->retry)
      || ev_timer_remaining (task->options.loop, &feed->retry)
             <= max_ms / 1000.0)
    return;
  control_retry_within (task, &feed->retry, &feed->backoff_ms, max_ms);
}

/* Each kind backs off for itself.  Without this, a host could read targets
   again while it waits for seconds to read the configuration. */
static void
shorten_other_backoffs (const struct control_feed *feed)
{
  struct control_task *task = feed->task;
  for (size_t i = 0; i < task->feed_count; i++)
    if (&task->feeds[i] != feed)
      shorten_backoff (&task->feeds[i], REGAINED_BACKOFF_MAX_MS);
}

static void
feed_succeeded (struct control_feed *feed)
{
  const int64_t now_ms = clock_now_ms ();
  if (feed->read_mode == PLATFORM_READ_LATEST)
    {
      feed->last_current_reply_ms = now_ms;
      feed->proof_ms = feed->requested_ms;
    }
  if (feed->backoff_ms > 0)
    {
      feed->recovered_ms = now_ms;
      LOG_INFO ("platform-regained", LOG_STR ("kind", feed->kind),
                LOG_INT ("revision", feed->revision));
    }
  feed->backoff_ms = 0;
  shorten_other_backoffs (feed);
  note_contact (feed->task);
}

static void
apply_object (struct control_feed *feed, const char *name, uint64_t version,
              const char *value)
{
  struct control_task *task = feed->task;
  if (value == NULL && strcmp (feed->kind, PLATFORM_KIND_TARGET) == 0
      && control_removals_defer (task, name, version, feed->recovered_ms))
    return;
  const bool is_newest = feed->read_mode == PLATFORM_READ_LATEST;
  const char *via = feed->is_listed ? (is_newest ? "watch" : "stale watch")
                                    : (is_newest ? "list" : "stale list");
  control_settings_apply (task, feed->kind, name, version, value, via);
}

static void
apply_reply (struct control_feed *feed, const struct platform_reply *reply)
{
  for (size_t i = 0; i < reply->count; i++)
    apply_object (feed, reply->objects[i].name, reply->objects[i].version,
                  reply->objects[i].value);
  if (reply->revision > feed->revision)
    feed->revision = reply->revision;
}

static bool
reply_contains (const struct platform_reply *reply, const char *name)
{
  for (size_t i = 0; i < reply->count; i++)
    if (strcmp (reply->objects[i].name, name) == 0)
      return true;
  return false;
}

/* A removal may happen while no relay watches, and a list doesn't show
   removed objects.  A removed service would then be served forever.  Versions
   come from one increasing sequence, so an object that is missing from a list
   of REVISION and has a version at or below it was removed by then.  Objects
   newer than the list are kept. */
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
        || reply_contains (reply, object->name))
      continue;
    apply_object (feed, object->name, reply->revision, NULL);
  }
}

/* A list contains all objects.  A watch that returns changes may contain only
   the first of them. */
static void
note_freshness (const struct control_feed *feed,
                const struct platform_reply *reply)
{
  if (feed->read_mode != PLATFORM_READ_LATEST
      || strcmp (feed->kind, PLATFORM_KIND_CONFIG) != 0)
    return;
  if (!feed->is_listed || reply->count == 0)
    control_freshness_note_current (feed->task, feed->requested_ms);
  else
    control_freshness_note_change (feed->task);
}

static void feed_next (struct control_feed *feed);

static void
end_call (struct control_feed *feed)
{
  feed->is_pending = false;
  feed->is_overdue = false;
  ev_timer_stop (feed->task->options.loop, &feed->overdue);
}

static void
begin_call (struct control_feed *feed, enum platform_read_mode mode,
            uint32_t timeout_ms)
{
  feed->is_pending = true;
  feed->read_mode = mode;
  feed->requested_ms = clock_now_ms ();
  feed->watch_timeout_ms = timeout_ms;
  ev_timer_set (&feed->overdue, (timeout_ms + OVERDUE_MS) / 1000.0, 0);
  ev_timer_start (feed->task->options.loop, &feed->overdue);
}

/* A path that fails silently would be noticed only when the call times out,
   seconds after a change has to be in force. */
static void
overdue_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct control_feed *feed = watcher->data;
  feed->is_overdue = true;
  if (strcmp (feed->kind, PLATFORM_KIND_HOST) != 0)
    control_delegates_note_failure (feed->task);
}

static void
feed_failed (struct control_feed *feed, const struct platform_reply *reply)
{
  LOG_WARN ("platform-failed", LOG_STR ("kind", feed->kind),
            LOG_STR ("status", status_name (reply->status)),
            LOG_STR ("why", reply->message));
  control_retry_within (feed->task, &feed->retry, &feed->backoff_ms,
                        feed->task->is_leading
                            ? INFORMED_BY_NOBODY_BACKOFF_MAX_MS
                            : OTHERS_BACKOFF_MAX_MS);
  if (strcmp (feed->kind, PLATFORM_KIND_HOST) != 0)
    control_delegates_note_failure (feed->task);
}

/* Settings are available once every kind except hosts has been listed. */
static void
update_has_settings (struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    if (!task->feeds[i].is_listed
        && strcmp (task->feeds[i].kind, PLATFORM_KIND_HOST) != 0)
      return;
  task->has_settings = true;
}

/* With eras, revisions don't decrease. */
static void
note_revision (struct control_feed *feed, const struct platform_reply *reply)
{
  if (reply->revision < feed->last_revision
      && feed->read_mode == PLATFORM_READ_LATEST)
    LOG_WARN ("platform-revision-back", LOG_STR ("kind", feed->kind),
              LOG_INT ("from_revision", feed->last_revision),
              LOG_INT ("to_revision", reply->revision),
              LOG_INT ("objects", reply->count));
  feed->last_revision = reply->revision;
}

static void
list_done (void *owner, const struct platform_reply *reply)
{
  struct control_feed *feed = owner;
  end_call (feed);
  if (reply->status != STATUS_OK)
    {
      feed_failed (feed, reply);
      return;
    }
  feed_succeeded (feed);
  note_revision (feed, reply);
  apply_reply (feed, reply);
  remove_missing (feed, reply);
  note_freshness (feed, reply);
  feed->is_listed = true;
  feed->was_refused = false;
  update_has_settings (feed->task);
  control_tombstones_note_list (feed->task, feed->kind, reply->revision);
  control_contact_note_read (feed->task);
  control_restore_note_list (feed->task);
  feed_next (feed);
}

/* Whether this host has to read the newest state from the platform itself. */
static bool
reads_newest (const struct control_task *task)
{
  return task->is_leading || task->is_stale
         || control_delegates_is_delegate (task)
         || control_contact_reads_for_itself (task);
}

static void
feed_delay (struct control_feed *feed)
{
  ev_timer_stop (feed->task->options.loop, &feed->retry);
  const int delay_ms = reads_newest (feed->task) ? RELAY_WATCH_DELAY_MS
                                                 : OTHERS_WATCH_DELAY_MS;
  ev_timer_set (&feed->retry, delay_ms / 1000.0, 0);
  ev_timer_start (feed->task->options.loop, &feed->retry);
}

/* Lists again, since the revision can't be watched from any more.  Hosts that
   others inform take turns. */
static void
list_again (struct control_feed *feed)
{
  struct control_task *task = feed->task;
  const double spread_ms = reads_newest (task)
                               ? 0
                               : (double)task->fleet_count
                                     * LIST_SPREAD_MS_PER_HOST
                                     * rng_unit (&task->random);
  feed->is_listed = false;
  feed->was_refused = true;
  ev_timer_stop (task->options.loop, &feed->retry);
  ev_timer_set (&feed->retry, spread_ms / 1000.0, 0);
  ev_timer_start (task->options.loop, &feed->retry);
}

static void
watch_done (void *owner, const struct platform_reply *reply)
{
  struct control_feed *feed = owner;
  end_call (feed);
  if (reply->status == STATUS_REFUSED)
    {
      list_again (feed);
      return;
    }
  if (reply->status != STATUS_OK)
    {
      feed_failed (feed, reply);
      return;
    }
  feed_succeeded (feed);
  note_revision (feed, reply);
  apply_reply (feed, reply);
  note_freshness (feed, reply);
  control_contact_note_read (feed->task);
  if (reply->count > 0)
    feed_delay (feed);
  else
    feed_next (feed);
}

/* A read that may return state a few seconds old costs a tenth of one of the
   newest state, and hosts other than relays receive changes from the relays
   sooner anyway.  A first list may be old as well, since the watch continues
   from its revision.  After a refused watch it may not: the platform could
   have forgotten the revision of an old list, too. */
static enum platform_read_mode
list_read_mode (const struct control_feed *feed)
{
  return feed->was_refused ? PLATFORM_READ_LATEST : PLATFORM_READ_STALE;
}

static enum platform_read_mode
watch_read_mode (const struct control_feed *feed)
{
  return reads_newest (feed->task) ? PLATFORM_READ_LATEST
                                   : PLATFORM_READ_STALE;
}

/* Whether an answer shows that this host would have learned of changes.
   Answers to calls that were made before the process stood still may be as old
   as the pause. */
static bool
has_recent_proof (const struct control_feed *feed)
{
  const struct control_task *task = feed->task;
  const int64_t max_age_ms
      = (int64_t)task->options.settings->times.relay_watch_ms + OVERDUE_MS
        + RELAY_WATCH_DELAY_MS;
  return feed->proof_ms >= task->resumed_ms
         && clock_now_ms () - feed->proof_ms <= 2 * max_age_ms;
}

/* The platform may drop a watch without closing its connection.  The host
   then misses all changes until the watch times out.  Leading relays therefore
   watch for a few seconds at a time and pass changes on to the others; if all
   hosts did so, the platform would get ten times the calls.  Hosts are known
   by their heartbeats sooner than by their records, so host records may arrive
   late. */
static uint32_t
watch_ms (const struct control_feed *feed)
{
  const struct control_task *task = feed->task;
  const struct control_times *times = &task->options.settings->times;
  if (feed->backoff_ms > 0
      || (reads_newest (task) && !has_recent_proof (feed)))
    return PROBE_WATCH_MS;
  const bool is_short = reads_newest (task)
                        && strcmp (feed->kind, PLATFORM_KIND_HOST) != 0
                        && times->relay_watch_ms < times->watch_ms;
  if (!is_short)
    return times->watch_ms;
  return strcmp (feed->kind, PLATFORM_KIND_CONFIG) == 0
             ? control_freshness_watch_ms (task)
             : times->relay_watch_ms;
}

/* Ends the delay or the long watch in flight of a host that has become a
   relay or has lost contact with the relays. */
static void
end_long_watch (struct control_feed *feed)
{
  struct control_task *task = feed->task;
  if (reads_newest (task) && feed->backoff_ms == 0)
    ev_timer_stop (task->options.loop, &feed->retry);
  if (task->is_leading)
    shorten_backoff (feed, INFORMED_BY_NOBODY_BACKOFF_MAX_MS);
  if (!feed->is_pending || !feed->is_listed
      || feed->watch_timeout_ms <= watch_ms (feed))
    return;
  platform_cancel (task->options.platform, feed);
  end_call (feed);
}

/* Every host lists once.  Then relays watch, and the others receive changes
   from them. */
static void
feed_next (struct control_feed *feed)
{
  struct control_task *task = feed->task;
  if (feed->is_pending || ev_is_active (&feed->retry))
    return;
  if (!feed->is_listed)
    {
      feed->revision = 0;
      begin_call (feed, list_read_mode (feed), 0);
      platform_list (task->options.platform, feed->kind, feed->read_mode,
                     list_done, feed);
      return;
    }
  /* A stale host watches the platform itself to recover. */
  if (!feed->is_watched_by_all && !task->is_relay && !task->is_stale
      && !control_delegates_is_delegate (task))
    return;
  begin_call (feed, watch_read_mode (feed), watch_ms (feed));
  platform_watch (task->options.platform, feed->kind, feed->revision,
                  feed->watch_timeout_ms, feed->read_mode, watch_done, feed);
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
add_feed (struct control_task *task, const char *kind, bool is_watched_by_all)
{
  struct control_feed *feed = &task->feeds[task->feed_count++];
  feed->task = task;
  feed->kind = kind;
  feed->is_watched_by_all = is_watched_by_all;
  ev_timer_init (&feed->retry, feed_retry_cb, 0, 0);
  feed->retry.data = feed;
  ev_timer_init (&feed->overdue, overdue_cb, 0, 0);
  feed->overdue.data = feed;
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
    feed_next (&task->feeds[i]);
  control_registration_start (task);
  control_contact_start (task);
}

void
control_platform_wake (struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    {
      end_long_watch (&task->feeds[i]);
      feed_next (&task->feeds[i]);
    }
}

void
control_platform_restart (struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    {
      struct control_feed *feed = &task->feeds[i];
      if (feed->backoff_ms == 0)
        ev_timer_stop (task->options.loop, &feed->retry);
      if (feed->is_pending)
        {
          platform_cancel (task->options.platform, feed);
          end_call (feed);
        }
      feed_next (feed);
    }
}

/* Kinds that only relays watch reach the other hosts from them. */
void
control_platform_list_again (struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    {
      struct control_feed *feed = &task->feeds[i];
      const bool is_watched = feed->is_watched_by_all || task->is_relay;
      if (!feed->is_listed || !is_watched
          || platform_version_era (feed->revision)
                 == task->options.platform->era)
        continue;
      if (feed->is_pending)
        {
          platform_cancel (task->options.platform, feed);
          end_call (feed);
        }
      list_again (feed);
    }
}

static bool
feed_is_current (const struct control_feed *feed)
{
  return feed->is_listed && feed->backoff_ms == 0 && !feed->is_overdue
         && feed->read_mode == PLATFORM_READ_LATEST && has_recent_proof (feed);
}

bool
control_platform_is_current (const struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    if (strcmp (task->feeds[i].kind, PLATFORM_KIND_HOST) != 0
        && !feed_is_current (&task->feeds[i]))
      return false;
  return task->feed_count > 0 && reads_newest (task);
}

void
control_platform_stop (struct control_task *task)
{
  control_contact_stop (task);
  for (size_t i = 0; i < task->feed_count; i++)
    {
      ev_timer_stop (task->options.loop, &task->feeds[i].retry);
      ev_timer_stop (task->options.loop, &task->feeds[i].overdue);
      platform_cancel (task->options.platform, &task->feeds[i]);
    }
}
