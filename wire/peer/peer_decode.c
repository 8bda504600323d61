#include "wire/peer/peer_message.h"

#include <stdlib.h>
#include <string.h>

#include <msgpack.h>

#include "base/xmalloc.h"
#include "wire/peer/msgpack_check.h"

enum
{
  MEMBER_UPDATE_FIELDS = 8,
  SETTINGS_ENTRY_FIELDS = 2,
};

/** Cursor over the fields of an array, which are read in order.  After the
 * first failure all reads fail. */
struct fields
{
  const msgpack_object *next;
  size_t remaining;
  bool failed;
};

static const char *const type_names[PEER_TYPE_END] = {
  [PEER_HELLO] = "hello",
  [PEER_PROOF] = "proof",
  [PEER_HEARTBEAT] = "heartbeat",
  [PEER_HEARTBEAT_ACK] = "heartbeat-ack",
  [PEER_INDIRECT_CHECK] = "indirect-check",
  [PEER_INDIRECT_RESULT] = "indirect-result",
  [PEER_MEMBERS] = "members",
  [PEER_SETTINGS_DIGEST] = "settings-digest",
  [PEER_SETTINGS_OFFER] = "settings-offer",
  [PEER_SETTINGS_PULL] = "settings-pull",
  [PEER_SETTINGS_PUSH] = "settings-push",
  [PEER_IN_FORCE_REQUEST] = "in-force-ask",
  [PEER_IN_FORCE_ANSWER] = "in-force-answer",
  [PEER_EVIDENCE] = "evidence",
  [PEER_DECISION] = "decision",
  [PEER_DEMAND] = "demand",
  [PEER_OUTCOMES] = "outcomes",
  [PEER_QUOTA_REQUEST] = "quota-ask",
  [PEER_QUOTA_GRANT] = "quota-grant",
  [PEER_POISON] = "poison",
  [PEER_LIMITS] = "limits",
};

const char *
peer_type_name (enum peer_type type)
{
  if (type < PEER_HELLO || type >= PEER_TYPE_END)
    return "unknown";
  return type_names[type];
}

/* Returns the next field if it has TYPE, NULL otherwise. */
static const msgpack_object *
take (struct fields *fields, msgpack_object_type type)
{
  if (fields->failed || fields->remaining == 0 || fields->next->type != type)
    {
      fields->failed = true;
      return NULL;
    }
  fields->remaining--;
  return fields->next++;
}

static uint64_t
take_number (struct fields *fields, uint64_t max)
{
  const msgpack_object *object
      = take (fields, MSGPACK_OBJECT_POSITIVE_INTEGER);
  if (object == NULL)
    return 0;
  if (object->via.u64 > max)
    fields->failed = true;
  return object->via.u64;
}

static int64_t
take_signed (struct fields *fields)
{
  if (!fields->failed && fields->remaining > 0
      && fields->next->type == MSGPACK_OBJECT_POSITIVE_INTEGER)
    return (int64_t)take_number (fields, INT64_MAX);
  const msgpack_object *object
      = take (fields, MSGPACK_OBJECT_NEGATIVE_INTEGER);
  return object == NULL ? 0 : object->via.i64;
}

static bool
take_bool (struct fields *fields)
{
  const msgpack_object *object = take (fields, MSGPACK_OBJECT_BOOLEAN);
  return object != NULL && object->via.boolean;
}

/* Reads a string, which must fit with its terminating NUL and contain no other
   NUL, so that the checked string is the one that is used. */
static void
take_text (struct fields *fields, char *text, size_t size)
{
  const msgpack_object *object = take (fields, MSGPACK_OBJECT_STR);
  if (object == NULL)
    return;
  const msgpack_object_str *str = &object->via.str;
  if (str->size >= size
      || (str->size > 0 && memchr (str->ptr, '\0', str->size) != NULL))
    {
      fields->failed = true;
      return;
    }
  if (str->size > 0)
    memcpy (text, str->ptr, str->size);
  text[str->size] = '\0';
}

static void
take_bytes (struct fields *fields, uint8_t *bytes, size_t size)
{
  const msgpack_object *object = take (fields, MSGPACK_OBJECT_BIN);
  if (object == NULL)
    return;
  if (object->via.bin.size != size)
    {
      fields->failed = true;
      return;
    }
  memcpy (bytes, object->via.bin.ptr, size);
}

/* Starts to read an array of at most MAX elements. */
static struct fields
take_array (struct fields *fields, size_t max)
{
  const msgpack_object *object = take (fields, MSGPACK_OBJECT_ARRAY);
  if (object == NULL)
    return (struct fields){ .failed = true };
  if (object->via.array.size > max)
    {
      fields->failed = true;
      return (struct fields){ .failed = true };
    }
  return (struct fields){ .next = object->via.array.ptr,
                          .remaining = object->via.array.size };
}

/* Fails FIELDS unless its nested array INNER was read completely and without
   failure. */
static void
close_array (struct fields *fields, const struct fields *inner)
{
  if (inner->failed || inner->remaining > 0)
    fields->failed = true;
}

static void
decode_hello (struct fields *fields, struct peer_hello *hello)
{
  take_text (fields, hello->name, sizeof hello->name);
  take_text (fields, hello->dc, sizeof hello->dc);
  take_text (fields, hello->peer_address, sizeof hello->peer_address);
  take_text (fields, hello->caller_address, sizeof hello->caller_address);
  take_text (fields, hello->operator_address, sizeof hello->operator_address);
  hello->incarnation = take_number (fields, UINT64_MAX);
  hello->capacity = (uint32_t)take_number (fields, UINT32_MAX);
  take_bytes (fields, hello->nonce, sizeof hello->nonce);
  if (hello->name[0] == '\0')
    fields->failed = true;
}

static void
decode_heartbeat (struct fields *fields, struct peer_heartbeat *heartbeat)
{
  heartbeat->sequence = take_number (fields, UINT64_MAX);
  heartbeat->relay_age_ms = (uint32_t)take_number (fields, UINT32_MAX);
  heartbeat->leaving = take_bool (fields);
  heartbeat->return_requested = take_bool (fields);
  heartbeat->settings_hash = take_number (fields, UINT64_MAX);
  heartbeat->config_version = take_number (fields, UINT64_MAX);
  heartbeat->config_age_ms = (uint32_t)take_number (fields, UINT32_MAX);
}

static void
decode_member_update (struct fields *fields, struct peer_member_update *update)
{
  struct fields inner = take_array (fields, MEMBER_UPDATE_FIELDS);
  update->host_key = take_number (&inner, UINT64_MAX);
  update->incarnation = take_number (&inner, UINT64_MAX);
  update->counter = (uint32_t)take_number (&inner, UINT32_MAX);
  update->state = (uint8_t)take_number (&inner, UINT8_MAX);
  take_text (&inner, update->name, sizeof update->name);
  take_text (&inner, update->dc, sizeof update->dc);
  take_text (&inner, update->peer_address, sizeof update->peer_address);
  take_text (&inner, update->caller_address, sizeof update->caller_address);
  close_array (fields, &inner);
}

static void
decode_members (struct fields *fields, struct peer_members *members)
{
  struct fields inner = take_array (fields, PEER_MEMBER_UPDATES_MAX);
  members->count = inner.remaining;
  members->updates = xcalloc (inner.remaining, sizeof *members->updates);
  for (size_t i = 0; i < members->count && !inner.failed; i++)
    decode_member_update (&inner, &members->updates[i]);
  close_array (fields, &inner);
}

static void
decode_digest (struct fields *fields, struct peer_settings_digest *digest)
{
  digest->answer_requested = take_bool (fields);
  digest->total_hash = take_number (fields, UINT64_MAX);
  struct fields inner = take_array (fields, PEER_BUCKETS_MAX);
  digest->count = inner.remaining;
  digest->bucket_hashes
      = xcalloc (inner.remaining, sizeof *digest->bucket_hashes);
  for (size_t i = 0; i < digest->count; i++)
    digest->bucket_hashes[i] = take_number (&inner, UINT64_MAX);
  if (digest->count != 0 && digest->count != PEER_BUCKETS_MAX)
    fields->failed = true;
  close_array (fields, &inner);
}

static void
decode_entries (struct fields *fields, struct peer_settings_entries *settings)
{
  struct fields inner = take_array (fields, PEER_ENTRIES_MAX);
  settings->count = inner.remaining;
  settings->entries = xcalloc (inner.remaining, sizeof *settings->entries);
  for (size_t i = 0; i < settings->count; i++)
    {
      struct fields entry = take_array (&inner, SETTINGS_ENTRY_FIELDS);
      settings->entries[i].key = take_number (&entry, UINT64_MAX);
      settings->entries[i].version = take_number (&entry, UINT64_MAX);
      close_array (&inner, &entry);
    }
  close_array (fields, &inner);
}

static void
decode_push (struct fields *fields, struct peer_settings_push *push)
{
  take_text (fields, push->kind, sizeof push->kind);
  take_text (fields, push->name, sizeof push->name);
  push->version = take_number (fields, UINT64_MAX);
  if (!fields->failed && fields->remaining > 0
      && fields->next->type == MSGPACK_OBJECT_NIL)
    {
      take (fields, MSGPACK_OBJECT_NIL);
      return;
    }
  if (fields->failed || fields->remaining == 0
      || fields->next->type != MSGPACK_OBJECT_STR
      || fields->next->via.str.size > PEER_VALUE_MAX_BYTES)
    {
      fields->failed = true;
      return;
    }
  const size_t size = fields->next->via.str.size + 1;
  push->value = xmalloc (size);
  push->value[0] = '\0';
  take_text (fields, push->value, size);
}

static void
decode_in_force (struct fields *fields, struct peer_in_force *in_force)
{
  in_force->request_id = take_number (fields, UINT64_MAX);
  take_text (fields, in_force->service, sizeof in_force->service);
  in_force->version = take_number (fields, UINT64_MAX);
}

static void
decode_report (struct fields *fields, struct peer_report *report)
{
  take_text (fields, report->service, sizeof report->service);
  report->epoch = take_number (fields, UINT64_MAX);
  report->sequence = take_number (fields, UINT64_MAX);
  report->columns = (uint32_t)take_number (fields, UINT32_MAX);
  struct fields values = take_array (fields, PEER_REPORT_VALUES_MAX);
  report->value_count = values.remaining;
  report->values = xcalloc (values.remaining, sizeof *report->values);
  for (size_t i = 0; i < report->value_count; i++)
    report->values[i] = take_signed (&values);
  close_array (fields, &values);
  struct fields names = take_array (fields, PEER_REPORT_NAMES_MAX);
  report->name_count = names.remaining;
  report->names = xcalloc (names.remaining, sizeof *report->names);
  for (size_t i = 0; i < report->name_count; i++)
    take_text (&names, report->names[i], sizeof report->names[i]);
  close_array (fields, &names);
  if (report->value_count > 0
      && (report->columns == 0 || report->value_count % report->columns != 0))
    fields->failed = true;
}

static void
decode_fields (struct fields *fields, struct peer_message *message)
{
  switch (message->type)
    {
    case PEER_HELLO:
      decode_hello (fields, &message->hello);
      break;
    case PEER_PROOF:
      take_bytes (fields, message->proof.mac, sizeof message->proof.mac);
      break;
    case PEER_HEARTBEAT:
    case PEER_HEARTBEAT_ACK:
      decode_heartbeat (fields, &message->heartbeat);
      break;
    case PEER_INDIRECT_CHECK:
    case PEER_INDIRECT_RESULT:
      message->indirect.host_key = take_number (fields, UINT64_MAX);
      message->indirect.reachable = take_bool (fields);
      break;
    case PEER_MEMBERS:
      decode_members (fields, &message->members);
      break;
    case PEER_SETTINGS_DIGEST:
      decode_digest (fields, &message->digest);
      break;
    case PEER_SETTINGS_OFFER:
    case PEER_SETTINGS_PULL:
      decode_entries (fields, &message->settings);
      break;
    case PEER_SETTINGS_PUSH:
      decode_push (fields, &message->push);
      break;
    case PEER_IN_FORCE_REQUEST:
    case PEER_IN_FORCE_ANSWER:
      decode_in_force (fields, &message->in_force);
      break;
    case PEER_EVIDENCE:
    case PEER_DECISION:
    case PEER_DEMAND:
    case PEER_OUTCOMES:
    case PEER_QUOTA_REQUEST:
    case PEER_QUOTA_GRANT:
    case PEER_POISON:
    case PEER_LIMITS:
      decode_report (fields, &message->report);
      break;
    case PEER_TYPE_END:
      break;
    }
}

static void
decode_root (const msgpack_object *root, struct fields *fields,
             struct peer_message *message)
{
  if (root->type != MSGPACK_OBJECT_ARRAY)
    {
      fields->failed = true;
      return;
    }
  fields->next = root->via.array.ptr;
  fields->remaining = root->via.array.size;
  const uint64_t type = take_number (fields, PEER_TYPE_END - 1);
  if (fields->failed || type < PEER_HELLO)
    {
      fields->failed = true;
      return;
    }
  message->type = (enum peer_type)type;
  decode_fields (fields, message);
}

enum status
peer_message_decode (const char *data, size_t size,
                     struct peer_message *message)
{
  memset (message, 0, sizeof *message);
  msgpack_unpacked unpacked;
  msgpack_unpacked_init (&unpacked);
  size_t offset = 0;
  struct fields fields = { .failed = false };
  if (!msgpack_sizes_valid (data, size)
      || msgpack_unpack_next (&unpacked, data, size, &offset)
             != MSGPACK_UNPACK_SUCCESS)
    fields.failed = true;
  else
    decode_root (&unpacked.data, &fields, message);
  msgpack_unpacked_destroy (&unpacked);
  if (!fields.failed && fields.remaining == 0)
    return STATUS_OK;
  const char *name = peer_type_name (message->type);
  peer_message_release (message);
  return status_set (STATUS_INVALID,
                     "invalid peer message (%s, %zu bytes); check that all "
                     "hosts run the same version of jaystaird",
                     name, size);
}

void
peer_message_release (struct peer_message *message)
{
  switch (message->type)
    {
    case PEER_MEMBERS:
      free (message->members.updates);
      break;
    case PEER_SETTINGS_DIGEST:
      free (message->digest.bucket_hashes);
      break;
    case PEER_SETTINGS_OFFER:
    case PEER_SETTINGS_PULL:
      free (message->settings.entries);
      break;
    case PEER_SETTINGS_PUSH:
      free (message->push.value);
      break;
    case PEER_EVIDENCE:
    case PEER_DECISION:
    case PEER_DEMAND:
    case PEER_OUTCOMES:
    case PEER_QUOTA_REQUEST:
    case PEER_QUOTA_GRANT:
    case PEER_POISON:
    case PEER_LIMITS:
      free (message->report.values);
      free (message->report.names);
      break;
    default:
      break;
    }
  memset (message, 0, sizeof *message);
}
