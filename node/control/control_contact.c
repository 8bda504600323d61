#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include "base/clock.h"
#include "base/log.h"

enum
{
  /** From this share of the time in which a change must be in force, a host
   * that isn't informed may read the newest state itself, ... */
  MAY_READ_PERCENT = 60,
  /** ... and from this share on it does. */
  MUST_READ_PERCENT = 150,
  CHECK_INTERVAL_MS = 100,
  /** In between, about so many hosts of the fleet begin at each check.  They
   * inform the others; if all hosts read at once when the relays are gone, the
   * platform would refuse most of them. */
  READERS_PER_CHECK = 8,
  READ_MS = 1000,
  /** Shorter steps of the contact aren't posted to the caller task. */
  POST_INTERVAL_MS = 50,
};

/* All relays may be disconnected from the platform without noticing, or be
   killed at once, or this host may not be informed by the others; it would
   then wait for its long watch to end.  Relays become leading once they have
   settled, so the contact can't be old before that. */
static int64_t
uninformed_ms (const struct control_task *task, int64_t now_ms)
{
  const int64_t start_ms = task->relayed_contact_ms > task->settled_ms
                               ? task->relayed_contact_ms
                               : task->settled_ms;
  return task->settled_ms > 0 ? now_ms - start_ms : 0;
}

static bool
has_to_read (struct control_task *task, int64_t now_ms)
{
  const int64_t apply_ms = task->options.settings->times.config_apply_ms;
  const int64_t age_ms = uninformed_ms (task, now_ms);
  if (age_ms * 100 >= apply_ms * MUST_READ_PERCENT)
    return true;
  return age_ms * 100 >= apply_ms * MAY_READ_PERCENT
         && rng_below (&task->random, (uint32_t)task->fleet_count + 1)
                < READERS_PER_CHECK;
}

bool
control_contact_reads_for_itself (const struct control_task *task)
{
  return clock_now_ms () < task->self_read_end_ms;
}

/* The caller task must have received the settings before the contact. */
static void
post_contact (struct control_task *task)
{
  const int64_t at_ms = control_platform_is_current (task)
                            ? clock_now_ms ()
                            : task->relayed_contact_ms;
  if (task->registry == NULL
      || at_ms - task->posted_contact_ms < POST_INTERVAL_MS)
    return;
  task->posted_contact_ms = at_ms;
  registry_publish_pending (task->registry);
  const struct bus_message message
      = { .topic = BUS_CONTACT, .contact = { .at_ms = at_ms } };
  bus_post (task->options.bus, &message);
}

void
control_contact_note_read (struct control_task *task)
{
  post_contact (task);
}

/* Requests wait: the next heartbeats and answers would take too long. */
static void
on_requested (void *owner, const struct bus_message *message)
{
  struct control_task *task = owner;
  const int64_t now_ms = clock_now_ms ();
  control_members_send_heartbeats (task, now_ms);
  if (!control_contact_reads_for_itself (task))
    LOG_INFO ("reads-for-itself",
              LOG_INT ("uninformed_ms", uninformed_ms (task, now_ms)),
              LOG_STR ("why", "requests wait for newer settings"));
  task->self_read_end_ms = now_ms + READ_MS;
  control_platform_wake (task);
}

/* Calls in flight may have been answered before the pause. */
static void
on_paused (void *owner, int64_t paused_ms)
{
  struct control_task *task = owner;
  task->resumed_ms = clock_now_ms ();
  LOG_WARN ("paused", LOG_INT ("paused_ms", paused_ms),
            LOG_INT ("contact_age_ms", control_contact_age_ms (task)),
            LOG_STR ("effect", "requests and settings have piled up"));
  if (task->is_leading)
    control_platform_restart (task);
}

static void
check_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct control_task *task = watcher->data;
  const int64_t now_ms = clock_now_ms ();
  post_contact (task);
  if (task->is_leading || !has_to_read (task, now_ms))
    return;
  const bool was_reading = control_contact_reads_for_itself (task);
  task->self_read_end_ms = now_ms + READ_MS;
  if (was_reading)
    return;
  LOG_INFO ("reads-for-itself",
            LOG_INT ("uninformed_ms", uninformed_ms (task, now_ms)),
            LOG_STR ("why", "no other host confirms its settings"));
  control_platform_wake (task);
}

/* Only an answer counts, from the time of its request: a heartbeat may have
   waited in a buffer, while this process stood still or its packets were sent
   again, and would make an old contact look new.  An answer of a host with
   other settings says nothing about those that are in force here.  A leading
   relay ignores the answers, which might originate from itself. */
void
control_contact_note_answer (struct control_task *task,
                             const struct peer_heartbeat *answer)
{
  const int64_t at_ms = (int64_t)answer->sequence - answer->relay_age_ms;
  if (task->is_leading
      || answer->settings_hash != settings_index_hash (task->index))
    return;
  if (at_ms > task->relayed_contact_ms)
    task->relayed_contact_ms = at_ms;
  control_members_note_contact (task, at_ms);
  post_contact (task);
}

void
control_contact_start (struct control_task *task)
{
  ev_timer_init (&task->contact_timer, check_cb, CHECK_INTERVAL_MS / 1000.0,
                 CHECK_INTERVAL_MS / 1000.0);
  task->contact_timer.data = task;
  if (task->registry != NULL
      && task->options.settings->modes.all_watch_registry)
    ev_timer_start (task->options.loop, &task->contact_timer);
  const struct pause_watch_options options
      = { .loop = task->options.loop, .paused = on_paused, .owner = task };
  pause_watch_start (&task->pause_watch, &options);
  bus_subscribe (task->options.bus, BUS_CONTACT_REQUESTED, on_requested, task);
}

int64_t
control_signals_since_ms (const struct control_task *task)
{
  return task->pause_watch.signals_since_ms;
}

void
control_contact_stop (struct control_task *task)
{
  ev_timer_stop (task->options.loop, &task->contact_timer);
  pause_watch_stop (&task->pause_watch);
}
