#define LOG_MODULE "control"

#include "node/control/control_feed.h"

#include "base/clock.h"
#include "base/log.h"
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
  /** When the platform no longer has their revisions, hosts list again spread
   * over this time for each host of the fleet. */
  LIST_SPREAD_MS_PER_HOST = 1,
  /** Watches in a row whose response is cut, before the feed lists instead. */
  PARTIAL_WATCHES_MAX = 3,
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
   again while it waits for seconds to read the configuration.  That another
   kind is answered doesn't make a response readable. */
static void
shorten_other_backoffs (const struct control_feed *feed)
{
  struct control_task *task = feed->task;
  for (size_t i = 0; i < task->feed_count; i++)
    if (&task->feeds[i] != feed && !task->feeds[i].is_unreadable)
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
    LOG_INFO ("platform-regained", LOG_STR ("kind", feed->kind),
              LOG_INT ("revision", feed->revision));
  feed->backoff_ms = 0;
  feed->is_unreadable = false;
  shorten_other_backoffs (feed);
  note_contact (feed->task);
}

/* A response that can't be read doesn't prove that the platform is
   available. */
static void
note_answer (const struct control_feed *feed,
             const struct platform_reply *reply)
{
  if (reply->status == STATUS_OK || reply->status == STATUS_REFUSED)
    control_outage_note_answer (feed->task, clock_now_ms ());
}

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

/* A list that can't be read is large and stays so until the platform's objects
   are mended, so that all hosts read it seldom. */
static uint32_t
backoff_max_ms (const struct control_feed *feed)
{
  const bool is_unreadable_list = feed->is_unreadable && !feed->is_listed;
  return feed->task->is_leading && !is_unreadable_list
             ? INFORMED_BY_NOBODY_BACKOFF_MAX_MS
             : OTHERS_BACKOFF_MAX_MS;
}

static void
feed_failed (struct control_feed *feed, const struct platform_reply *reply,
             bool is_unreadable)
{
  feed->is_unreadable = is_unreadable;
  if (is_unreadable && feed->unreadable != NULL)
    counter_add (feed->unreadable, 1);
  LOG_WARN ("platform-failed", LOG_STR ("kind", feed->kind),
            LOG_STR ("status", status_name (reply->status)),
            LOG_STR ("why", reply->message));
  control_retry_within (feed->task, &feed->retry, &feed->backoff_ms,
                        backoff_max_ms (feed));
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

static void
list_done (void *owner, const struct platform_reply *reply)
{
  struct control_feed *feed = owner;
  note_answer (feed, reply);
  end_call (feed);
  if (reply->status != STATUS_OK)
    {
      feed_failed (feed, reply, reply->status == STATUS_INVALID);
      return;
    }
  feed_succeeded (feed);
  control_feed_note_revision (feed, reply);
  control_feed_apply (feed, reply);
  control_feed_remove_missing (feed, reply);
  control_feed_note_freshness (feed, reply);
  feed->is_listed = true;
  feed->was_refused = false;
  update_has_settings (feed->task);
  control_tombstones_note_list (feed->task, feed->kind, reply->revision);
  control_contact_note_read (feed->task);
  control_restore_note_list (feed->task);
  control_startup_check (feed->task);
  control_feed_next (feed);
}

/* Whether this host has to read the newest state from the platform itself. */
bool
control_feed_reads_newest (const struct control_task *task)
{
  return task->is_leading || task->is_stale
         || control_delegates_is_delegate (task)
         || control_contact_reads_for_itself (task);
}

static void
feed_delay (struct control_feed *feed)
{
  ev_timer_stop (feed->task->options.loop, &feed->retry);
  const int delay_ms = control_feed_reads_newest (feed->task)
                           ? RELAY_WATCH_DELAY_MS
                           : OTHERS_WATCH_DELAY_MS;
  ev_timer_set (&feed->retry, delay_ms / 1000.0, 0);
  ev_timer_start (feed->task->options.loop, &feed->retry);
}

/* Lists again after DELAY_S, since the revision can't be watched from any
   more.  Hosts that others inform take turns. */
static void
list_again_after (struct control_feed *feed, double delay_s)
{
  struct control_task *task = feed->task;
  const double spread_ms = control_feed_reads_newest (task)
                               ? 0
                               : (double)task->fleet_count
                                     * LIST_SPREAD_MS_PER_HOST
                                     * rng_unit (&task->random);
  feed->is_listed = false;
  feed->was_refused = true;
  ev_timer_stop (task->options.loop, &feed->retry);
  ev_timer_set (&feed->retry, delay_s + spread_ms / 1000.0, 0);
  ev_timer_start (task->options.loop, &feed->retry);
}

static void
list_again (struct control_feed *feed)
{
  list_again_after (feed, 0);
}

/* Whether the response to the same watch would be unreadable again. */
static bool
is_unreadable_watch (struct control_feed *feed,
                     const struct platform_reply *reply)
{
  feed->partial_count = reply->is_partial ? feed->partial_count + 1 : 0;
  return reply->status == STATUS_INVALID
         || feed->partial_count >= PARTIAL_WATCHES_MAX;
}

/* The list has all that the watch would have told, in pages.  The back-off
   grows over the lists in between, which succeed. */
static void
list_after_unreadable (struct control_feed *feed,
                       const struct platform_reply *reply)
{
  if (feed->backoff_ms < feed->unreadable_backoff_ms)
    feed->backoff_ms = feed->unreadable_backoff_ms;
  feed_failed (feed, reply, true);
  feed->unreadable_backoff_ms = feed->backoff_ms;
  feed->partial_count = 0;
  list_again_after (
      feed, ev_timer_remaining (feed->task->options.loop, &feed->retry));
}

static void
watch_done (void *owner, const struct platform_reply *reply)
{
  struct control_feed *feed = owner;
  note_answer (feed, reply);
  end_call (feed);
  if (reply->status == STATUS_REFUSED)
    {
      list_again (feed);
      return;
    }
  if (is_unreadable_watch (feed, reply))
    {
      list_after_unreadable (feed, reply);
      return;
    }
  if (reply->status != STATUS_OK)
    {
      feed_failed (feed, reply, false);
      return;
    }
  feed->unreadable_backoff_ms = 0;
  feed_succeeded (feed);
  control_feed_note_revision (feed, reply);
  control_feed_apply (feed, reply);
  control_feed_note_freshness (feed, reply);
  control_contact_note_read (feed->task);
  if (reply->count > 0)
    feed_delay (feed);
  else
    control_feed_next (feed);
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
  return control_feed_reads_newest (feed->task) ? PLATFORM_READ_LATEST
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
      || (control_feed_reads_newest (task) && !has_recent_proof (feed)))
    return PROBE_WATCH_MS;
  const bool is_short = control_feed_reads_newest (task)
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
  if (control_feed_reads_newest (task) && feed->backoff_ms == 0)
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
void
control_feed_next (struct control_feed *feed)
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
retry_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  control_feed_next (watcher->data);
}

void
control_feed_wake (struct control_feed *feed)
{
  end_long_watch (feed);
  control_feed_next (feed);
}

static void
cancel_call (struct control_feed *feed)
{
  if (!feed->is_pending)
    return;
  platform_cancel (feed->task->options.platform, feed);
  end_call (feed);
}

void
control_feed_restart (struct control_feed *feed)
{
  if (feed->backoff_ms == 0)
    ev_timer_stop (feed->task->options.loop, &feed->retry);
  cancel_call (feed);
  control_feed_next (feed);
}

/* Kinds that only relays watch reach the other hosts from them. */
void
control_feed_follow_era (struct control_feed *feed, uint64_t era)
{
  const bool is_watched = feed->is_watched_by_all || feed->task->is_relay;
  if (!feed->is_listed || !is_watched
      || platform_version_era (feed->revision) == era)
    return;
  cancel_call (feed);
  list_again (feed);
}

bool
control_feed_is_current (const struct control_feed *feed)
{
  return feed->is_listed && feed->backoff_ms == 0 && !feed->is_overdue
         && feed->read_mode == PLATFORM_READ_LATEST && has_recent_proof (feed);
}

static struct counter *
create_counter (const struct control_feed *feed)
{
  const struct counter_family_options unreadable
      = { .name = "jaystair_platform_unreadable_total",
          .help = "Lists and watches whose response couldn't be read",
          .kind = COUNTER_SUM,
          .label_names = { "kind" } };
  struct counters *counters = feed->task->options.counters;
  return counters == NULL
             ? NULL
             : counter_series (counters_family (counters, &unreadable),
                               &feed->kind);
}

void
control_feed_start (struct control_feed *feed)
{
  feed->unreadable = create_counter (feed);
  ev_timer_init (&feed->retry, retry_cb, 0, 0);
  feed->retry.data = feed;
  ev_timer_init (&feed->overdue, overdue_cb, 0, 0);
  feed->overdue.data = feed;
  control_feed_next (feed);
}

void
control_feed_stop (struct control_feed *feed)
{
  struct control_task *task = feed->task;
  ev_timer_stop (task->options.loop, &feed->retry);
  ev_timer_stop (task->options.loop, &feed->overdue);
  platform_cancel (task->options.platform, feed);
}
