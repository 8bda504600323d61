#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include "base/clock.h"
#include "base/log.h"
#include "policy/fleet/host_cleanup.h"

enum
{
  /** Until the next removal after one that the platform didn't answer. */
  PAUSE_MS = 5000,
};

void
control_cleanup_note_state (struct control_host *host, enum member_state state,
                            int64_t now_ms)
{
  if (state != MEMBER_DEAD && state != MEMBER_LEAVING)
    host->gone_since_ms = 0;
  else if (host->gone_since_ms == 0)
    host->gone_since_ms = now_ms;
}

/* Guards against a host that was frozen and thaws: whom it believed dead
   before may have been back for long.  Shows as a live host without record.
   A wait that this host slept through says nothing, so it starts again. */
static void
excuse_pause (struct control_task *task, int64_t now_ms)
{
  struct control_cleanup *cleanup = &task->cleanup;
  const int64_t gap_ms = now_ms - cleanup->last_tick_ms;
  cleanup->last_tick_ms = now_ms;
  if (gap_ms < task->options.settings->times.suspect_after_ms)
    return;
  struct control_host *host;
  for (host = task->hosts; host != NULL; host = host->hh.next)
    if (host->gone_since_ms != 0)
      host->gone_since_ms = now_ms;
}

/* Those that said they leave are no sign of a cut, so they don't count. */
static bool
sees_majority (const struct control_task *task)
{
  const struct control_host *host;
  size_t live = 0;
  size_t listed = 0;
  for (host = task->hosts; host != NULL; host = host->hh.next)
    {
      const enum member_state state
          = membership_state (task->membership, host->key);
      if (!host->is_listed || state == MEMBER_LEAVING)
        continue;
      listed++;
      if (state == MEMBER_LIVE)
        live++;
    }
  return host_cleanup_is_majority (live, listed);
}

static bool
is_due (const struct control_task *task, const struct control_host *host,
        int64_t now_ms)
{
  const uint32_t after_ms = task->options.settings->times.forget_after_ms;
  return host != task->self && host->is_listed
         && host_cleanup_is_due (now_ms, host->gone_since_ms, after_ms)
         && host_cleanup_is_responsible (host->key, task->self->key,
                                         task->fleet, &task->leading);
}

/* A lost answer isn't read back: if the removal took effect, the watch or the
   next list tells; if not, it is tried again at the same version, which can
   remove nothing newer.  A refusal means that the host is back or another
   relay was first; the watch tells which. */
static void
removed (void *owner, const struct platform_reply *reply)
{
  struct control_task *task = owner;
  struct control_cleanup *cleanup = &task->cleanup;
  cleanup->is_waiting = false;
  if (reply->status == STATUS_REFUSED)
    return;
  if (reply->status != STATUS_OK)
    {
      LOG_WARN ("forget-failed", LOG_STR ("host", cleanup->name),
                LOG_STR ("status", status_name (reply->status)),
                LOG_STR ("why", reply->message));
      cleanup->retry_at_ms = clock_now_ms () + PAUSE_MS;
      return;
    }
  LOG_INFO ("host-forgotten", LOG_STR ("host", cleanup->name),
            LOG_INT ("version", cleanup->version));
  if (cleanup->forgotten_total != NULL)
    counter_add (cleanup->forgotten_total, 1);
  if (reply->count == 1)
    control_settings_apply (task, PLATFORM_KIND_HOST, cleanup->name,
                            reply->objects[0].version, NULL);
}

/* Guards against a host that registers again at the last moment: the write
   is conditional on the version known here, so a newer record stays. */
static void
remove_record (struct control_task *task, struct control_host *host,
               int64_t now_ms)
{
  struct control_cleanup *cleanup = &task->cleanup;
  const uint64_t key = settings_key (PLATFORM_KIND_HOST, host->record.name);
  const uint64_t version = settings_index_version (task->index, key);
  host->gone_since_ms = now_ms;
  memcpy (cleanup->name, host->record.name, sizeof cleanup->name);
  cleanup->version = version;
  cleanup->is_waiting = true;
  platform_put (task->options.platform, PLATFORM_KIND_HOST, cleanup->name,
                version, NULL, removed, task);
}

/* Leading relays do it: the others hear of the platform's hosts by answers
   that may be old, so they can't tell whether it still answers. */
void
control_cleanup_tick (struct control_task *task, int64_t now_ms)
{
  struct control_cleanup *cleanup = &task->cleanup;
  excuse_pause (task, now_ms);
  if (!task->is_leading || task->is_stale || task->is_leaving
      || cleanup->is_waiting || now_ms < cleanup->retry_at_ms
      || !control_platform_hosts_are_current (task, now_ms))
    return;
  struct control_host *host = task->hosts;
  while (host != NULL && !is_due (task, host, now_ms))
    host = host->hh.next;
  if (host != NULL && sees_majority (task))
    remove_record (task, host, now_ms);
}

void
control_cleanup_start (struct control_task *task)
{
  task->cleanup.last_tick_ms = clock_now_ms ();
  if (task->options.counters == NULL)
    return;
  const struct counter_family_options options
      = { .name = "jaystair_hosts_forgotten_total",
          .help = "Records of dead hosts removed by this host",
          .kind = COUNTER_SUM };
  struct counter_family *family
      = counters_family (task->options.counters, &options);
  task->cleanup.forgotten_total = counter_series (family, NULL);
}

void
control_cleanup_stop (struct control_task *task)
{
  platform_cancel (task->options.platform, task);
}
