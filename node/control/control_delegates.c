#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <string.h>

#include "base/clock.h"
#include "base/log.h"

enum
{
  /** Interval at which a leading relay that can't read looks whether its
   * delegate still does, and requests another one otherwise.  The platform may
   * refuse most hosts, and a change must be in force within two seconds. */
  DELEGATE_CHECK_MS = 100,
  /** Interval of repeated requests to a delegate that reads. */
  DELEGATE_RENEW_MS = 1000,
  /** A delegate reads for this long after the last request, so that one lost
   * request doesn't end it. */
  DELEGATE_TERM_MS = 3 * DELEGATE_RENEW_MS,
  /** After this many requests without success, the platform serves hardly
   * any host, and requests are made at the interval of renewals. */
  QUICK_REQUESTS_MAX = 30,
  /** Random choices of a host per request. */
  CHOICES_MAX = 8,
};

static void
send_message (struct control_task *task, uint64_t key,
              enum peer_report_topic topic)
{
  const struct peer_message message
      = { .type = PEER_OUTCOMES,
          .report = { .epoch = topic, .columns = CONTROL_OUTCOME_COLUMNS } };
  struct control_host *host = control_hosts_find (task, key);
  if (host != NULL)
    control_hosts_send (task, host, &message);
}

/* Whether the platform doesn't answer this host's reads of settings. */
static bool
cannot_read (const struct control_task *task)
{
  for (size_t i = 0; i < task->feed_count; i++)
    if ((task->feeds[i].backoff_ms > 0 || task->feeds[i].is_overdue)
        && strcmp (task->feeds[i].kind, PLATFORM_KIND_HOST) != 0)
      return true;
  return false;
}

bool
control_delegates_is_delegate (const struct control_task *task)
{
  return clock_now_ms () < task->delegates.term_end_ms;
}

static bool
is_leading (const struct control_task *task, uint64_t key)
{
  for (uint32_t i = 0; i < task->leading.count; i++)
    if (task->fleet[task->leading.hosts[i]].key == key)
      return true;
  return false;
}

/* A random usable host that isn't a leading relay; 0 if none is found. */
static uint64_t
choose_delegate (struct control_task *task)
{
  for (int i = 0; i < CHOICES_MAX && task->fleet_count > 0; i++)
    {
      const uint32_t index
          = rng_below (&task->random, (uint32_t)task->fleet_count);
      const uint64_t key = task->fleet[index].key;
      if (key != task->self->key && !is_leading (task, key))
        return key;
    }
  return 0;
}

static void
request_delegate (struct control_task *task)
{
  struct control_delegates *delegates = &task->delegates;
  const bool is_new
      = !membership_is_usable (task->membership, delegates->delegate);
  if (is_new)
    {
      delegates->delegate = choose_delegate (task);
      delegates->request_count++;
    }
  delegates->requested_ms = clock_now_ms ();
  const struct control_host *host
      = control_hosts_find (task, delegates->delegate);
  if (host == NULL)
    {
      delegates->delegate = 0;
      return;
    }
  send_message (task, host->key, PEER_READ_REQUESTED);
  if (is_new)
    LOG_WARN ("delegate-requested", LOG_STR ("host", host->record.name),
              LOG_INT ("requests", delegates->request_count),
              LOG_STR ("why", "the platform doesn't answer this relay"));
}

static void
check_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct control_task *task = watcher->data;
  struct control_delegates *delegates = &task->delegates;
  if (!task->is_leading || !cannot_read (task))
    {
      ev_timer_stop (loop, watcher);
      delegates->delegate = 0;
      delegates->request_count = 0;
      return;
    }
  const int64_t age_ms = clock_now_ms () - delegates->requested_ms;
  const bool is_quick = delegates->delegate == 0
                        && delegates->request_count < QUICK_REQUESTS_MAX;
  if (is_quick || age_ms >= DELEGATE_RENEW_MS)
    request_delegate (task);
}

/* As a delegate, this host couldn't read either. */
static void
end_term (struct control_task *task)
{
  struct control_delegates *delegates = &task->delegates;
  delegates->term_end_ms = 0;
  send_message (task, delegates->requester, PEER_READ_FAILED);
  LOG_WARN ("delegate-fails",
            LOG_STR ("effect", "the relay requests another host"));
}

void
control_delegates_note_failure (struct control_task *task)
{
  struct control_delegates *delegates = &task->delegates;
  if (control_delegates_is_delegate (task))
    end_term (task);
  if (!task->is_leading || ev_is_active (&delegates->timer)
      || !cannot_read (task))
    return;
  request_delegate (task);
  ev_timer_again (task->options.loop, &delegates->timer);
}

static void
begin_term (struct control_task *task, const struct control_host *requester)
{
  struct control_delegates *delegates = &task->delegates;
  const bool was_delegate = control_delegates_is_delegate (task);
  delegates->requester = requester->key;
  if (cannot_read (task))
    {
      end_term (task);
      return;
    }
  delegates->term_end_ms = clock_now_ms () + DELEGATE_TERM_MS;
  if (was_delegate)
    return;
  LOG_INFO ("delegate", LOG_STR ("relay", requester->record.name),
            LOG_STR ("effect", "this host reads the newest state"));
  control_platform_wake (task);
}

bool
control_delegates_receive (struct control_task *task,
                           const struct control_source *source,
                           const struct peer_report *report)
{
  struct control_delegates *delegates = &task->delegates;
  if (report->epoch == PEER_READ_REQUESTED)
    begin_term (task, source->host);
  else if (report->epoch != PEER_READ_FAILED)
    return false;
  else if (source->host->key == delegates->delegate)
    delegates->delegate = 0;
  return true;
}

void
control_delegates_start (struct control_task *task)
{
  ev_timer_init (&task->delegates.timer, check_cb, 0,
                 DELEGATE_CHECK_MS / 1000.0);
  task->delegates.timer.data = task;
}

void
control_delegates_stop (struct control_task *task)
{
  ev_timer_stop (task->options.loop, &task->delegates.timer);
}
