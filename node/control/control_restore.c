#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include "base/clock.h"
#include "base/log.h"
#include "wire/platform_version.h"
#include "wire/target_record.h"

/* Records of targets that the restore lost are missing until the targets write
   them again, as after an outage. */
static void
on_restored (void *owner, uint64_t from_era, uint64_t to_era)
{
  struct control_task *task = owner;
  struct control_restore *restore = &task->restore;
  if (!restore->is_reading)
    *restore = (struct control_restore){
      .timer = restore->timer,
      .from_era = from_era,
      .from_revision
      = platform_version_revision (task->feeds[0].last_revision),
      .era = restore->era,
      .restores_total = restore->restores_total
    };
  restore->is_reading = true;
  control_outage_note_restore (task);
  if (restore->restores_total != NULL)
    counter_add (restore->restores_total, 1);
  ev_timer_stop (task->options.loop, &restore->timer);
  ev_timer_set (&restore->timer, 0, 0);
  ev_timer_start (task->options.loop, &restore->timer);
}

static void
read_again_cb (struct ev_loop *loop, struct ev_timer *watcher, int events)
{
  struct control_task *task = watcher->data;
  control_platform_list_again (task);
  control_registration_check (task);
  control_poison_store_write_again (task);
  control_restore_note_list (task);
}

/* Whether HELD says that the target leaves and CHANGE that the same process
   doesn't. */
static bool
reverts_leaving (const struct control_object *held,
                 const struct control_change *change)
{
  struct target_record before;
  struct target_record after;
  return target_record_parse (change->name, held->value, &before) == STATUS_OK
         && target_record_parse (change->name, change->value, &after)
                == STATUS_OK
         && before.state == TARGET_STATE_DRAINED
         && after.state == TARGET_STATE_ACTIVE
         && after.started_ms <= before.started_ms;
}

/* A record of the copy is at most as new as the one that was removed.  A later
   one was written after the removal. */
static bool
reverts_removal (const struct control_object *held,
                 const struct control_change *change)
{
  return platform_version_revision (change->version) <= held->removed_revision;
}

bool
control_restore_keep (struct control_task *task,
                      const struct control_object *held,
                      struct control_change *change)
{
  if (held == NULL || change->value == NULL
      || platform_version_era (change->version)
             <= platform_version_era (held->version)
      || platform_version_rank (change->version) != PLATFORM_RANK_STORED)
    return false;
  const bool is_removal = held->value == NULL;
  if (!(is_removal ? reverts_removal (held, change)
                   : reverts_leaving (held, change)))
    return false;
  LOG_INFO (
      "lost-state-kept", LOG_STR ("target", change->name),
      LOG_STR ("state", is_removal ? "removed" : "drained"),
      LOG_INT ("era", platform_version_era (change->version)),
      LOG_INT ("revision", platform_version_revision (change->version)),
      LOG_STR ("why", "the platform acknowledged it before its restore"));
  task->restore.kept_targets++;
  if (is_removal)
    control_removals_return_later (
        task, change->name,
        platform_version_with_rank (change->version, PLATFORM_RANK_RELEASED),
        change->value);
  change->version
      = platform_version_with_rank (change->version, PLATFORM_RANK_KEPT);
  change->value = held->value;
  return true;
}

static bool
is_read_again (const struct control_task *task)
{
  const uint64_t era = task->options.platform->era;
  for (size_t i = 0; i < task->feed_count; i++)
    {
      const struct control_feed *feed = &task->feeds[i];
      if (strcmp (feed->kind, PLATFORM_KIND_HOST) != 0
          && (!feed->is_listed || platform_version_era (feed->revision) < era))
        return false;
    }
  return true;
}

static int64_t
config_version (const struct control_task *task)
{
  const struct fleet_config *config
      = task->registry != NULL ? registry_config (task->registry) : NULL;
  return config != NULL ? (int64_t)config->version : 0;
}

void
control_restore_note_list (struct control_task *task)
{
  struct control_restore *restore = &task->restore;
  if (restore->era != NULL)
    counter_set (restore->era, (int64_t)task->options.platform->era);
  if (!restore->is_reading || !is_read_again (task))
    return;
  restore->is_reading = false;
  LOG_WARN ("store-restored", LOG_INT ("from_era", restore->from_era),
            LOG_INT ("to_era", task->options.platform->era),
            LOG_INT ("from_revision", restore->from_revision),
            LOG_INT ("to_revision",
                     platform_version_revision (task->feeds[0].revision)),
            LOG_INT ("config_version", config_version (task)),
            LOG_STR ("config", restore->has_kept_config ? "kept" : "stored"),
            LOG_INT ("kept_targets", restore->kept_targets),
            LOG_INT ("held_removals", restore->held_removals),
            LOG_STR ("why", "the platform came back from an older copy"));
}

static void
create_counters (struct control_task *task)
{
  const struct counter_family_options era
      = { .name = "jaystair_store_era",
          .help = "Era of the platform's store, which rises with each restore",
          .kind = COUNTER_GAUGE };
  const struct counter_family_options restores
      = { .name = "jaystair_store_restores_total",
          .help = "Restores of the platform's store seen by this host",
          .kind = COUNTER_SUM };
  struct counters *counters = task->options.counters;
  task->restore.era = counter_series (counters_family (counters, &era), NULL);
  task->restore.restores_total
      = counter_series (counters_family (counters, &restores), NULL);
}

void
control_restore_start (struct control_task *task)
{
  ev_timer_init (&task->restore.timer, read_again_cb, 0, 0);
  task->restore.timer.data = task;
  if (task->options.counters != NULL)
    create_counters (task);
  task->options.platform->restored = on_restored;
  task->options.platform->restored_owner = task;
}

void
control_restore_stop (struct control_task *task)
{
  ev_timer_stop (task->options.loop, &task->restore.timer);
  task->options.platform->restored = NULL;
}
