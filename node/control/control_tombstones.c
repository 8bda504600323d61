#include "node/control/control_internal.h"

#include <stdlib.h>

#include "base/clock.h"
#include "base/xmalloc.h"
#include "wire/platform_version.h"

enum
{
  /** More than the replacements of a busy hour. */
  TOMBSTONES_MAX = 2048,
  /** Tombstones are kept for this many times forget_after_ms. */
  RETENTION_FACTOR = 6,
};

/* The version floor of KIND, or NULL. */
static uint64_t *
version_floor (struct control_task *task, const char *kind)
{
  if (strcmp (kind, PLATFORM_KIND_HOST) == 0)
    return &task->host_version_floor;
  if (strcmp (kind, PLATFORM_KIND_TARGET) == 0)
    return &task->target_version_floor;
  return NULL;
}

bool
control_tombstones_apply_to (const char *kind)
{
  return strcmp (kind, PLATFORM_KIND_HOST) == 0
         || strcmp (kind, PLATFORM_KIND_TARGET) == 0;
}

void
control_tombstones_note_list (struct control_task *task, const char *kind,
                              uint64_t revision)
{
  uint64_t *floor = version_floor (task, kind);
  if (floor != NULL && revision > *floor)
    *floor = revision;
}

void
control_tombstones_create (struct control_task *task)
{
  task->tombstones = xcalloc (TOMBSTONES_MAX, sizeof *task->tombstones);
}

void
control_tombstones_destroy (struct control_task *task)
{
  free (task->tombstones);
}

/* The host may have registered again since; then there is no removal to
   drop. */
static void
remove_oldest (struct control_task *task)
{
  const struct control_tombstone *oldest
      = &task->tombstones[task->tombstone_first];
  struct control_object *object;
  HASH_FIND (hh, task->objects, &oldest->key, sizeof oldest->key, object);
  if (object != NULL && object->value == NULL
      && object->version == oldest->version)
    {
      control_tombstones_note_list (task, object->kind, oldest->version);
      settings_index_retire (task->index, object->key);
      settings_index_drop (task->index, object->key);
      HASH_DEL (task->objects, object);
      free (object);
    }
  task->tombstone_first = (task->tombstone_first + 1) % TOMBSTONES_MAX;
  task->tombstone_count--;
}

/* A host that starts must learn at its first comparison of a removal that a
   restore of the platform lost, since the platform lists the object.  Such a
   removal stands for seconds only, so all hosts have it at the same time. */
void
control_tombstones_add (struct control_task *task,
                        const struct control_object *object)
{
  if (platform_version_rank (object->version) != PLATFORM_RANK_KEPT)
    settings_index_retire (task->index, object->key);
  if (task->tombstone_count == TOMBSTONES_MAX)
    remove_oldest (task);
  const size_t end
      = (task->tombstone_first + task->tombstone_count) % TOMBSTONES_MAX;
  task->tombstones[end]
      = (struct control_tombstone){ .key = object->key,
                                    .version = object->version,
                                    .removed_ms = clock_now_ms () };
  task->tombstone_count++;
}

void
control_tombstones_expire (struct control_task *task, int64_t now_ms)
{
  const int64_t retention_ms = (int64_t)RETENTION_FACTOR
                               * task->options.settings->times.forget_after_ms;
  while (task->tombstone_count > 0
         && now_ms - task->tombstones[task->tombstone_first].removed_ms
                >= retention_ms)
    remove_oldest (task);
}

/* A peer that was disconnected for long may offer the record of a host whose
   tombstone has expired.  The removed host would be listed and selected for
   sets again.  Versions of a kind come from one sequence, so a name that is
   unknown here with a version at or below that of a known list or tombstone is
   a removed one.  Objects from the platform itself are always accepted, and a
   live host whose record is refused is still known by its heartbeats.  A
   tombstone of an unknown name is refused as well: it has no effect and would
   be passed on between new hosts forever.  That of a removal which a restore
   of the platform lost has one, since the platform lists the object. */
bool
control_tombstones_is_outdated (struct control_task *task, const char *kind,
                                const char *name, uint64_t version,
                                const char *value)
{
  const uint64_t *floor = version_floor (task, kind);
  if (floor == NULL)
    return false;
  if (settings_index_version (task->index, settings_key (kind, name)) != 0)
    return false;
  if (value == NULL)
    return platform_version_rank (version) != PLATFORM_RANK_KEPT;
  return version <= *floor;
}
