#define LOG_MODULE "control"

#include "node/control/control_feed.h"

#include <string.h>

#include "base/log.h"

static void
apply_object (struct control_feed *feed, const char *name, uint64_t version,
              const char *value)
{
  struct control_task *task = feed->task;
  const bool is_newest = feed->read_mode == PLATFORM_READ_LATEST;
  const char *via = feed->is_listed ? (is_newest ? "watch" : "stale watch")
                                    : (is_newest ? "list" : "stale list");
  if (value == NULL && strcmp (feed->kind, PLATFORM_KIND_TARGET) == 0
      && control_removals_defer (task, name, version, via))
    return;
  control_settings_apply (task, feed->kind, name, version, value, via);
}

void
control_feed_apply (struct control_feed *feed,
                    const struct platform_reply *reply)
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
void
control_feed_remove_missing (struct control_feed *feed,
                             const struct platform_reply *reply)
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
void
control_feed_note_freshness (const struct control_feed *feed,
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

/* With eras, revisions don't decrease. */
void
control_feed_note_revision (struct control_feed *feed,
                            const struct platform_reply *reply)
{
  if (reply->revision < feed->last_revision
      && feed->read_mode == PLATFORM_READ_LATEST)
    LOG_WARN ("platform-revision-back", LOG_STR ("kind", feed->kind),
              LOG_INT ("from_revision", feed->last_revision),
              LOG_INT ("to_revision", reply->revision),
              LOG_INT ("objects", reply->count));
  feed->last_revision = reply->revision;
}
