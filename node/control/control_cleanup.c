#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include "base/clock.h"
#include "base/log.h"
#include "policy/fleet/host_cleanup.h"

enum
{
  /** Delay of the next removal after one that failed. */
  RETRY_DELAY_MS = 5000,
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

/* A host that this one found dead before it was suspended may have been back
   for long when this one resumes.  Continuing the wait would remove the record
   of a live host.  A wait that spans a suspension proves nothing, so it starts
   again. */
static void
restart_waits_after_suspend (struct control_task *task, int64_t now_ms)
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

/* Hosts that announced that they leave don't indicate a network partition, so
   they aren't counted. */
static bool
has_live_majority (const struct control_task *task)
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

/* A lost response isn't read back.  If the removal took effect, the watch or
   the next list shows it.  If not, it is repeated with the same version, which
   can't remove anything newer.  A refusal means that the host is back or that
   another relay was first; the watch shows which. */
static void
remove_done (void *owner, const struct platform_reply *reply)
{
  struct control_task *task = owner;
  struct control_cleanup *cleanup = &task->cleanup;
  cleanup->is_pending = false;
  if (reply->status == STATUS_REFUSED)
    return;
  if (reply->status != STATUS_OK)
    {
      LOG_WARN ("forget-failed", LOG_STR ("host", cleanup->name),
                LOG_STR ("status", status_name (reply->status)),
                LOG_STR ("why", reply->message));
      cleanup->retry_at_ms = clock_now_ms () + RETRY_DELAY_MS;
      return;
    }
  LOG_INFO ("host-forgotten", LOG_STR ("host", cleanup->name),
            LOG_INT ("version", cleanup->version));
  if (cleanup->forgotten_total != NULL)
    counter_add (cleanup->forgotten_total, 1);
  if (reply->count == 1)
    control_settings_apply (task, PLATFORM_KIND_HOST, cleanup->name,
                            reply->objects[0].version, NULL, "own removal");
}

/* A host may register again just before its record is removed.  The write is
   conditional on the version known here, so a newer record stays. */
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
  cleanup->is_pending = true;
  platform_put (task->options.platform, PLATFORM_KIND_HOST, cleanup->name,
                version, NULL, remove_done, task);
}

/* Only leading relays remove records.  The other hosts read host records that
   may be old, so they can't tell whether the platform still answers. */
void
control_cleanup_tick (struct control_task *task, int64_t now_ms)
{
  struct control_cleanup *cleanup = &task->cleanup;
  restart_waits_after_suspend (task, now_ms);
  if (!task->is_leading || task->is_stale || task->is_leaving
      || cleanup->is_pending || now_ms < cleanup->retry_at_ms
      || !control_platform_hosts_are_current (task, now_ms))
    return;
  struct control_host *host = task->hosts;
  while (host != NULL && !is_due (task, host, now_ms))
    host = host->hh.next;
  if (host != NULL && has_live_majority (task))
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
