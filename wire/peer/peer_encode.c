#include "wire/peer/peer_message.h"

#include <assert.h>
#include <string.h>

#include <msgpack.h>

static void
put_string (msgpack_packer *packer, const char *text)
{
  msgpack_pack_str_with_body (packer, text, strlen (text));
}

static void
put_bool (msgpack_packer *packer, bool value)
{
  if (value)
    msgpack_pack_true (packer);
  else
    msgpack_pack_false (packer);
}

static void
put_hello (msgpack_packer *packer, const struct peer_hello *hello)
{
  put_string (packer, hello->name);
  put_string (packer, hello->dc);
  put_string (packer, hello->peer_address);
  put_string (packer, hello->caller_address);
  put_string (packer, hello->operator_address);
  msgpack_pack_uint64 (packer, hello->incarnation);
  msgpack_pack_uint32 (packer, hello->capacity);
  msgpack_pack_bin_with_body (packer, hello->nonce, sizeof hello->nonce);
}

static void
put_heartbeat (msgpack_packer *packer, const struct peer_heartbeat *heartbeat)
{
  msgpack_pack_uint64 (packer, heartbeat->sequence);
  msgpack_pack_uint32 (packer, heartbeat->relay_age_ms);
  put_bool (packer, heartbeat->leaving);
  put_bool (packer, heartbeat->return_requested);
  msgpack_pack_uint64 (packer, heartbeat->settings_hash);
  msgpack_pack_uint64 (packer, heartbeat->config_version);
  msgpack_pack_uint32 (packer, heartbeat->config_age_ms);
}

static void
put_indirect (msgpack_packer *packer, const struct peer_indirect *indirect)
{
  msgpack_pack_uint64 (packer, indirect->host_key);
  put_bool (packer, indirect->reachable);
}

static void
put_members (msgpack_packer *packer, const struct peer_members *members)
{
  msgpack_pack_array (packer, members->count);
  for (size_t i = 0; i < members->count; i++)
    {
      const struct peer_member_update *update = &members->updates[i];
      msgpack_pack_array (packer, 8);
      msgpack_pack_uint64 (packer, update->host_key);
      msgpack_pack_uint64 (packer, update->incarnation);
      msgpack_pack_uint32 (packer, update->counter);
      msgpack_pack_uint8 (packer, update->state);
      put_string (packer, update->name);
      put_string (packer, update->dc);
      put_string (packer, update->peer_address);
      put_string (packer, update->caller_address);
    }
}

static void
put_digest (msgpack_packer *packer, const struct peer_settings_digest *digest)
{
  put_bool (packer, digest->answer_requested);
  msgpack_pack_uint64 (packer, digest->total_hash);
  msgpack_pack_array (packer, digest->count);
  for (size_t i = 0; i < digest->count; i++)
    msgpack_pack_uint64 (packer, digest->bucket_hashes[i]);
}

static void
put_entries (msgpack_packer *packer,
             const struct peer_settings_entries *settings)
{
  msgpack_pack_array (packer, settings->count);
  for (size_t i = 0; i < settings->count; i++)
    {
      msgpack_pack_array (packer, 2);
      msgpack_pack_uint64 (packer, settings->entries[i].key);
      msgpack_pack_uint64 (packer, settings->entries[i].version);
    }
}

static void
put_push (msgpack_packer *packer, const struct peer_settings_push *push)
{
  put_string (packer, push->kind);
  put_string (packer, push->name);
  msgpack_pack_uint64 (packer, push->version);
  if (push->value == NULL)
    msgpack_pack_nil (packer);
  else
    put_string (packer, push->value);
}

static void
put_in_force (msgpack_packer *packer, const struct peer_in_force *in_force)
{
  msgpack_pack_uint64 (packer, in_force->request_id);
  put_string (packer, in_force->service);
  msgpack_pack_uint64 (packer, in_force->version);
}

static void
put_report (msgpack_packer *packer, const struct peer_report *report)
{
  put_string (packer, report->service);
  msgpack_pack_uint64 (packer, report->epoch);
  msgpack_pack_uint64 (packer, report->sequence);
  msgpack_pack_uint32 (packer, report->columns);
  msgpack_pack_array (packer, report->value_count);
  for (size_t i = 0; i < report->value_count; i++)
    msgpack_pack_int64 (packer, report->values[i]);
  msgpack_pack_array (packer, report->name_count);
  for (size_t i = 0; i < report->name_count; i++)
    put_string (packer, report->names[i]);
}

/* Number of elements in the array of a message, including the type. */
static size_t
element_count (enum peer_type type)
{
  switch (type)
    {
    case PEER_HELLO:
      return 9;
    case PEER_PROOF:
    case PEER_MEMBERS:
    case PEER_SETTINGS_OFFER:
    case PEER_SETTINGS_PULL:
      return 2;
    case PEER_HEARTBEAT:
    case PEER_HEARTBEAT_ACK:
      return 8;
    case PEER_SETTINGS_PUSH:
      return 5;
    case PEER_INDIRECT_CHECK:
    case PEER_INDIRECT_RESULT:
      return 3;
    case PEER_SETTINGS_DIGEST:
    case PEER_IN_FORCE_REQUEST:
    case PEER_IN_FORCE_ANSWER:
      return 4;
    case PEER_EVIDENCE:
    case PEER_DECISION:
    case PEER_DEMAND:
    case PEER_OUTCOMES:
    case PEER_QUOTA_REQUEST:
    case PEER_QUOTA_GRANT:
    case PEER_POISON:
    case PEER_LIMITS:
      return 7;
    case PEER_TYPE_END:
      break;
    }
  assert (!"unknown peer message type");
  return 0;
}

static void
put_fields (msgpack_packer *packer, const struct peer_message *message)
{
  switch (message->type)
    {
    case PEER_HELLO:
      put_hello (packer, &message->hello);
      break;
    case PEER_PROOF:
      msgpack_pack_bin_with_body (packer, message->proof.mac,
                                  sizeof message->proof.mac);
      break;
    case PEER_HEARTBEAT:
    case PEER_HEARTBEAT_ACK:
      put_heartbeat (packer, &message->heartbeat);
      break;
    case PEER_INDIRECT_CHECK:
    case PEER_INDIRECT_RESULT:
      put_indirect (packer, &message->indirect);
      break;
    case PEER_MEMBERS:
      put_members (packer, &message->members);
      break;
    case PEER_SETTINGS_DIGEST:
      put_digest (packer, &message->digest);
      break;
    case PEER_SETTINGS_OFFER:
    case PEER_SETTINGS_PULL:
      put_entries (packer, &message->settings);
      break;
    case PEER_SETTINGS_PUSH:
      put_push (packer, &message->push);
      break;
    case PEER_IN_FORCE_REQUEST:
    case PEER_IN_FORCE_ANSWER:
      put_in_force (packer, &message->in_force);
      break;
    case PEER_EVIDENCE:
    case PEER_DECISION:
    case PEER_DEMAND:
    case PEER_OUTCOMES:
    case PEER_QUOTA_REQUEST:
    case PEER_QUOTA_GRANT:
    case PEER_POISON:
    case PEER_LIMITS:
      put_report (packer, &message->report);
      break;
    case PEER_TYPE_END:
      break;
    }
}

char *
peer_message_encode (const struct peer_message *message, size_t *size)
{
  msgpack_sbuffer buffer;
  msgpack_packer packer;
  msgpack_sbuffer_init (&buffer);
  msgpack_packer_init (&packer, &buffer, msgpack_sbuffer_write);
  msgpack_pack_array (&packer, element_count (message->type));
  msgpack_pack_uint8 (&packer, (uint8_t)message->type);
  put_fields (&packer, message);
  *size = buffer.size;
  return msgpack_sbuffer_release (&buffer);
}
