#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/clock.h"
#include "base/hash.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "wire/platform_version.h"

static struct control_object *
find_object (const struct control_task *task, uint64_t key)
{
  struct control_object *object;
  HASH_FIND (hh, task->objects, &key, sizeof key, object);
  return object;
}

static struct control_object *
store_object (struct control_task *task, uint64_t key, const char *kind,
              const char *name, uint64_t version, const char *value)
{
  struct control_object *object = find_object (task, key);
  if (object == NULL)
    {
      object = xcalloc (1, sizeof *object);
      object->key = key;
      strncpy (object->kind, kind, sizeof object->kind - 1);
      strncpy (object->name, name, sizeof object->name - 1);
      HASH_ADD (hh, task->objects, key, sizeof object->key, object);
    }
  char *copy = xstrdup (value);
  if (value == NULL && object->value != NULL)
    object->removed_revision = platform_version_revision (object->version);
  free (object->value);
  object->value = copy;
  object->version = version;
  return object;
}

/* An invalid value is stored, so that it isn't requested again, but the
   version in force stays. */
static void
apply_service (struct control_task *task, const char *name, uint64_t version,
               const char *value)
{
  struct service_spec *spec;
  if (value == NULL)
    control_services_remove (task, name, version);
  else if (service_spec_parse (name, value, version, &spec) != STATUS_OK)
    LOG_WARN ("service-refused", LOG_STR ("service", name),
              LOG_INT ("version", version),
              LOG_STR ("why", status_message ()));
  else
    control_services_enforce (task, spec);
}

/* Handles another process with the same host name, and a platform that lacks
   this host's record or has that of an earlier process. */
static void
apply_own_record (struct control_task *task, uint64_t version,
                  const char *value)
{
  struct host_record record;
  const char *name = task->self->record.name;
  const uint64_t incarnation = task->self->record.incarnation;
  const int64_t revision = (int64_t)platform_version_revision (version);
  task->self->is_listed = value != NULL;
  if (value == NULL)
    {
      LOG_WARN ("own-record-removed", LOG_INT ("version", revision));
      control_registration_restore (task, PLATFORM_VERSION_NONE);
      return;
    }
  if (host_record_parse (name, value, &record) != STATUS_OK)
    return;
  if (record.incarnation > incarnation)
    LOG_WARN ("name-taken", LOG_STR ("host", name),
              LOG_STR ("remedy", "give each host a name of its own"));
  else if (record.incarnation < incarnation
           && task->registration.is_registered)
    {
      LOG_WARN ("own-record-outdated", LOG_INT ("version", revision));
      control_registration_restore (task, version);
    }
}

static void
apply_host (struct control_task *task, const char *name, uint64_t version,
            const char *value)
{
  struct control_host *host = control_hosts_by_name (task, name);
  if (host == task->self)
    {
      apply_own_record (task, version, value);
      return;
    }
  if (value == NULL)
    {
      if (host == NULL)
        return;
      host->is_listed = false;
      host->is_removed = true;
      membership_note_unlisted (task->membership, host->key);
      return;
    }
  struct host_record record;
  if (host_record_parse (name, value, &record) != STATUS_OK)
    {
      LOG_WARN ("host-refused", LOG_STR ("host", name),
                LOG_INT ("version", version),
                LOG_STR ("why", status_message ()));
      return;
    }
  host = control_hosts_update (task, &record);
  host->is_listed = true;
  host->is_removed = false;
  membership_add (task->membership, clock_now_ms (), host->key,
                  record.incarnation, record.leaving);
  control_members_apply_changes (task);
}

/* Offers an object to the monitored hosts, which pull it if theirs is
   older. */
static void
offer_object (struct control_task *task, uint64_t key, uint64_t version)
{
  struct peer_settings_entry entry = { .key = key, .version = version };
  const struct peer_message message
      = { .type = PEER_SETTINGS_OFFER,
          .settings = { .entries = &entry, .count = 1 } };
  uint64_t keys[CONTROL_MONITORED_MAX];
  const size_t count
      = membership_monitored (task->membership, keys, CONTROL_MONITORED_MAX);
  for (size_t i = 0; i < count; i++)
    {
      struct control_host *host = control_hosts_find (task, keys[i]);
      if (host != NULL)
        control_hosts_send (task, host, &message);
    }
}

typedef void object_handler (struct control_task *task, const char *name,
                             uint64_t version, const char *value);

/* The handler of objects of KIND; NULL if this host ignores them. */
static object_handler *
find_object_handler (const struct control_task *task, const char *kind)
{
  const bool has_registry = task->registry != NULL;
  if (strcmp (kind, PLATFORM_KIND_HOST) == 0)
    return apply_host;
  if (strcmp (kind, PLATFORM_KIND_SERVICE) == 0)
    return has_registry ? NULL : apply_service;
  if (strcmp (kind, PLATFORM_KIND_TARGET) == 0)
    return has_registry ? control_registry_apply_target : NULL;
  return NULL;
}

/* Lists repeat what is known, but nothing older unless they are stale or the
   platform has lost writes. */
static void
log_outdated (const char *kind, const char *name, uint64_t version,
              uint64_t known_version, const char *via)
{
  LOG_INFO ("setting-ignored", LOG_STR ("kind", kind), LOG_STR ("name", name),
            LOG_INT ("version", version),
            LOG_INT ("known_version", known_version), LOG_STR ("via", via));
}

/* Host records change with each start, and targets have lines of their
   own. */
static void
log_arrival (const struct control_task *task, const char *kind,
             const char *name, uint64_t version, const char *via)
{
  if (strcmp (kind, PLATFORM_KIND_CONFIG) != 0
      && strcmp (kind, PLATFORM_KIND_SERVICE) != 0)
    return;
  LOG_INFO ("setting-received", LOG_STR ("kind", kind), LOG_STR ("name", name),
            LOG_INT ("version", version), LOG_STR ("via", via),
            LOG_INT ("contact_age_ms", control_contact_age_ms (task)));
}

/* Configurations are ordered by their own version, which their author
   increases.  The platform's version of one may decrease when the platform
   comes back from a copy. */
static bool
apply_config (struct control_task *task, const struct control_change *change)
{
  const uint64_t key = settings_key (change->kind, change->name);
  const struct control_object *held = find_object (task, key);
  control_pulls_complete (task, key, change->version);
  if (change->value != NULL && held != NULL
      && strcmp (change->value, held->value) == 0)
    return false;
  const enum status status = control_registry_apply_config (
      task, change->name, change->version, change->value);
  if (status == STATUS_REFUSED)
    {
      log_outdated (change->kind, change->name, change->version,
                    registry_config (task->registry)->version, change->via);
      task->restore.has_kept_config = true;
    }
  if (status != STATUS_OK)
    return false;
  const uint64_t version = registry_config (task->registry)->version;
  log_arrival (task, change->kind, change->name, version, change->via);
  settings_index_update (task->index, key, version);
  store_object (task, key, change->kind, change->name, version, change->value);
  offer_object (task, key, version);
  return true;
}

/* A target whose lost removal was kept: its record is still that of the
   copy. */
static bool
is_kept_removal (const struct control_object *held,
                 const struct control_change *change)
{
  return held != NULL && held->value == NULL && change->value != NULL
         && platform_version_rank (held->version) == PLATFORM_RANK_KEPT
         && change->version
                == platform_version_with_rank (held->version,
                                               PLATFORM_RANK_STORED);
}

static void
ignore_change (struct control_task *task, const struct control_object *held,
               const struct control_change *change, uint64_t known_version)
{
  if (is_kept_removal (held, change))
    control_removals_return_later (
        task, change->name,
        platform_version_with_rank (change->version, PLATFORM_RANK_RELEASED),
        change->value);
  if (change->version < known_version
      && strcmp (change->kind, PLATFORM_KIND_SERVICE) == 0)
    log_outdated (change->kind, change->name, change->version, known_version,
                  change->via);
}

static bool
apply_change (struct control_task *task, struct control_change *change)
{
  object_handler *handler = find_object_handler (task, change->kind);
  if (handler == NULL)
    return false;
  const uint64_t key = settings_key (change->kind, change->name);
  const uint64_t known_version = settings_index_version (task->index, key);
  const struct control_object *held = find_object (task, key);
  const uint64_t received_version = change->version;
  if (strcmp (change->kind, PLATFORM_KIND_TARGET) == 0)
    control_restore_keep (task, held, change);
  if (!settings_index_update (task->index, key, change->version))
    {
      ignore_change (task, held, change, known_version);
      return false;
    }
  log_arrival (task, change->kind, change->name, change->version, change->via);
  control_pulls_complete (task, key, received_version);
  struct control_object *object = store_object (
      task, key, change->kind, change->name, change->version, change->value);
  if (object->value == NULL && control_tombstones_apply_to (change->kind))
    control_tombstones_add (task, object);
  handler (task, change->name, object->version, object->value);
  offer_object (task, key, object->version);
  return true;
}

bool
control_settings_apply (struct control_task *task, const char *kind,
                        const char *name, uint64_t version, const char *value,
                        const char *via)
{
  struct control_change change = {
    .kind = kind, .name = name, .version = version, .value = value, .via = via
  };
  if (strlen (name) >= PEER_NAME_SIZE)
    return false;
  if (strcmp (kind, PLATFORM_KIND_CONFIG) == 0)
    return task->registry != NULL && apply_config (task, &change);
  return apply_change (task, &change);
}

static struct peer_message
digest_message (const struct control_task *task, bool answer_requested,
                uint64_t buckets[SETTINGS_BUCKETS])
{
  for (uint32_t i = 0; i < SETTINGS_BUCKETS; i++)
    buckets[i] = settings_index_bucket_hash (task->index, i);
  return (struct peer_message){
    .type = PEER_SETTINGS_DIGEST,
    .digest = { .answer_requested = answer_requested,
                .total_hash = settings_index_hash (task->index),
                .bucket_hashes = buckets,
                .count = SETTINGS_BUCKETS }
  };
}

/* Settings that differ right after a change are mostly being offered already.
   Comparing them at once each time would cost 2 KB per heartbeat. */
void
control_settings_compare (struct control_task *task,
                          const struct control_source *source, uint64_t hash)
{
  const int64_t now_ms = clock_now_ms ();
  const uint32_t min_interval_ms = control_startup_compare_interval_ms (task);
  if (hash == settings_index_hash (task->index))
    {
      if (hash != 0)
        {
          task->has_settings = true;
          control_startup_note_compared (task, source->host);
        }
      return;
    }
  if (task->has_settings && now_ms - task->last_compared_ms < min_interval_ms)
    return;
  task->last_compared_ms = now_ms;
  uint64_t buckets[SETTINGS_BUCKETS];
  const struct peer_message message = digest_message (task, true, buckets);
  control_reply (task, source, &message);
}

/** Entries collected until a message is full. */
struct batch
{
  struct control_task *task;
  const struct control_source *source;
  enum peer_type type;
  struct peer_settings_entry entries[PEER_ENTRIES_MAX / 8];
  size_t count;
};

static void
batch_send (struct batch *batch)
{
  if (batch->count == 0)
    return;
  const struct peer_message message
      = { .type = batch->type,
          .settings = { .entries = batch->entries, .count = batch->count } };
  control_reply (batch->task, batch->source, &message);
  batch->count = 0;
}

static void
batch_add (struct batch *batch, uint64_t key, uint64_t version)
{
  if (batch->count == sizeof batch->entries / sizeof batch->entries[0])
    batch_send (batch);
  batch->entries[batch->count++]
      = (struct peer_settings_entry){ .key = key, .version = version };
}

static void
offer_bucket (struct batch *batch, uint32_t bucket)
{
  const struct settings_index *index = batch->task->index;
  const size_t count = settings_index_list (index, bucket, NULL, 0);
  if (count == 0)
    return;
  struct settings_version *versions = xcalloc (count, sizeof *versions);
  settings_index_list (index, bucket, versions, count);
  for (size_t i = 0; i < count; i++)
    batch_add (batch, versions[i].key, versions[i].version);
  free (versions);
}

static void
handle_digest (struct control_task *task, const struct control_source *source,
               const struct peer_settings_digest *digest)
{
  if (digest->count != SETTINGS_BUCKETS)
    return;
  struct batch batch
      = { .task = task, .source = source, .type = PEER_SETTINGS_OFFER };
  for (uint32_t i = 0; i < SETTINGS_BUCKETS; i++)
    if (digest->bucket_hashes[i]
        != settings_index_bucket_hash (task->index, i))
      offer_bucket (&batch, i);
  batch_send (&batch);
  if (!digest->answer_requested)
    {
      control_startup_note_compared (task, source->host);
      return;
    }
  uint64_t buckets[SETTINGS_BUCKETS];
  const struct peer_message message = digest_message (task, false, buckets);
  control_reply (task, source, &message);
}

static size_t
value_bytes (const struct control_task *task, uint64_t key)
{
  const struct control_object *object = find_object (task, key);
  return object != NULL && object->value != NULL ? strlen (object->value) : 0;
}

static void
handle_offer (struct control_task *task, const struct control_source *source,
              const struct peer_settings_entries *offered)
{
  struct batch batch
      = { .task = task, .source = source, .type = PEER_SETTINGS_PULL };
  for (size_t i = 0; i < offered->count; i++)
    {
      const struct peer_settings_entry *entry = &offered->entries[i];
      const uint64_t known_version
          = settings_index_version (task->index, entry->key);
      const struct control_offer offer
          = { .key = entry->key,
              .version = entry->version,
              .held_version = known_version,
              .held_bytes = value_bytes (task, entry->key),
              .host = source->host->key };
      if (entry->version > known_version
          && control_pulls_should_request (task, &offer))
        batch_add (&batch, entry->key, known_version);
    }
  batch_send (&batch);
}

static void
handle_pull (struct control_task *task, const struct control_source *source,
             const struct peer_settings_entries *requested)
{
  for (size_t i = 0; i < requested->count; i++)
    {
      const struct control_object *object
          = find_object (task, requested->entries[i].key);
      if (object == NULL || object->version <= requested->entries[i].version)
        continue;
      struct peer_message message
          = { .type = PEER_SETTINGS_PUSH,
              .push = { .version = object->version, .value = object->value } };
      memcpy (message.push.kind, object->kind, sizeof message.push.kind);
      memcpy (message.push.name, object->name, sizeof message.push.name);
      control_reply (task, source, &message);
    }
}

/* Another host may not have noticed the outage in which the record expired. */
static bool
defer_pushed_removal (struct control_task *task,
                      const struct peer_settings_push *push, const char *via)
{
  if (push->value != NULL || strcmp (push->kind, PLATFORM_KIND_TARGET) != 0
      || !control_removals_defer (task, push->name, push->version, via))
    return false;
  control_pulls_complete (task, settings_key (push->kind, push->name),
                          push->version);
  return true;
}

static void
handle_push (struct control_task *task, const struct control_source *source,
             const struct peer_settings_push *push)
{
  char via[HOST_NAME_SIZE + sizeof "host "];
  snprintf (via, sizeof via, "host %s", source->host->record.name);
  if (!defer_pushed_removal (task, push, via)
      && !control_tombstones_is_outdated (task, push->kind, push->name,
                                          push->version, push->value)
      && control_settings_apply (task, push->kind, push->name, push->version,
                                 push->value, via))
    task->has_settings = true;
  control_startup_check (task);
}

void
control_settings_receive (struct control_task *task,
                          const struct control_source *source,
                          const struct peer_message *message)
{
  switch (message->type)
    {
    case PEER_SETTINGS_DIGEST:
      handle_digest (task, source, &message->digest);
      break;
    case PEER_SETTINGS_OFFER:
      handle_offer (task, source, &message->settings);
      break;
    case PEER_SETTINGS_PULL:
      handle_pull (task, source, &message->settings);
      break;
    case PEER_SETTINGS_PUSH:
      handle_push (task, source, &message->push);
      break;
    default:
      break;
    }
}

void
control_settings_release (struct control_task *task)
{
  struct control_object *object = task->objects;
  HASH_CLEAR (hh, task->objects);
  while (object != NULL)
    {
      struct control_object *next = object->hh.next;
      free (object->value);
      free (object);
      object = next;
    }
  struct control_service *service = task->services;
  HASH_CLEAR (hh, task->services);
  while (service != NULL)
    {
      struct control_service *next = service->hh.next;
      control_sets_free_service (service);
      service = next;
    }
}
