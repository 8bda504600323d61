#include "policy/floor/floor_record.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "base/xmalloc.h"

/* JSON implementations may round numbers beyond 2^53, and ids use all 64 bits,
   so ids are written as text. */
enum
{
  ID_TEXT_SIZE = 17,
  CLAIMS_MAX = 4096,
};

static const char *const state_names[]
    = { [FLOOR_CLAIM_PLANNED] = "planned",
        [FLOOR_CLAIM_EJECTED] = "ejected",
        [FLOOR_CLAIM_RELEASING] = "releasing" };

const char *
floor_claim_state_name (enum floor_claim_state state)
{
  return state_names[state];
}

static void
add_id (struct json_object *object, const char *key, uint64_t value)
{
  char text[ID_TEXT_SIZE];
  snprintf (text, sizeof text, "%" PRIx64, value);
  json_object_object_add (object, key, json_object_new_string (text));
}

static void
add_number (struct json_object *object, const char *key, uint64_t value)
{
  json_object_object_add (object, key, json_object_new_int64 ((int64_t)value));
}

static struct json_object *
format_claim (const struct floor_claim *claim)
{
  struct json_object *object = json_object_new_object ();
  json_object_object_add (object, "target",
                          json_object_new_string (claim->target));
  json_object_object_add (object, "state",
                          json_object_new_string (state_names[claim->state]));
  json_object_object_add (object, "manual",
                          json_object_new_boolean (claim->manual));
  add_number (object, "score", claim->score);
  return object;
}

char *
floor_record_format (const struct floor_record *record)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *claims = json_object_new_array ();
  add_number (object, "epoch", record->epoch);
  json_object_object_add (object, "owner",
                          json_object_new_string (record->owner));
  add_id (object, "incarnation", record->incarnation);
  add_id (object, "write_id", record->write_id);
  add_number (object, "spec_version", record->spec_version);
  add_number (object, "reserve", record->reserve);
  add_number (object, "old_reserve", record->old_reserve);
  add_number (object, "hold_ms", record->hold_ms);
  json_object_object_add (object, "settled",
                          json_object_new_boolean (record->settled));
  json_object_object_add (object, "paused",
                          json_object_new_boolean (record->paused));
  for (size_t i = 0; i < record->claim_count; i++)
    json_object_array_add (claims, format_claim (&record->claims[i]));
  json_object_object_add (object, "claims", claims);
  char *text = xstrdup (
      json_object_to_json_string_ext (object, JSON_C_TO_STRING_PLAIN));
  json_object_put (object);
  return text;
}

static enum status
bad_member (const char *key)
{
  return status_set (STATUS_INVALID,
                     "ejection record: member \"%s\" is missing or "
                     "invalid; restore the last version of the object",
                     key);
}

static enum status
read_number (struct json_object *object, const char *key, uint64_t max,
             uint64_t *value)
{
  struct json_object *node;
  if (!json_object_object_get_ex (object, key, &node)
      || !json_object_is_type (node, json_type_int))
    return bad_member (key);
  const int64_t number = json_object_get_int64 (node);
  if (number < 0 || (uint64_t)number > max)
    return bad_member (key);
  *value = (uint64_t)number;
  return STATUS_OK;
}

static enum status
read_bool (struct json_object *object, const char *key, bool *value)
{
  struct json_object *node;
  if (!json_object_object_get_ex (object, key, &node)
      || !json_object_is_type (node, json_type_boolean))
    return bad_member (key);
  *value = json_object_get_boolean (node);
  return STATUS_OK;
}

static const char *
read_text (struct json_object *object, const char *key)
{
  struct json_object *node;
  if (!json_object_object_get_ex (object, key, &node)
      || !json_object_is_type (node, json_type_string))
    return NULL;
  return json_object_get_string (node);
}

static enum status
read_id (struct json_object *object, const char *key, uint64_t *value)
{
  const char *text = read_text (object, key);
  if (text == NULL || *text == '\0' || strlen (text) >= ID_TEXT_SIZE
      || text[strspn (text, "0123456789abcdef")] != '\0')
    return bad_member (key);
  *value = strtoull (text, NULL, 16);
  return STATUS_OK;
}

static enum status
read_name (struct json_object *object, const char *key,
           char name[FLOOR_NAME_SIZE])
{
  const char *text = read_text (object, key);
  if (text == NULL || strlen (text) >= FLOOR_NAME_SIZE)
    return bad_member (key);
  snprintf (name, FLOOR_NAME_SIZE, "%s", text);
  return STATUS_OK;
}

static enum status
read_state (struct json_object *object, enum floor_claim_state *state)
{
  const char *text = read_text (object, "state");
  for (size_t i = 0; text != NULL && i < 3; i++)
    if (strcmp (text, state_names[i]) == 0)
      {
        *state = (enum floor_claim_state)i;
        return STATUS_OK;
      }
  return bad_member ("state");
}

static enum status
read_claim (struct json_object *object, struct floor_record *record)
{
  char target[FLOOR_NAME_SIZE] = "";
  if (!json_object_is_type (object, json_type_object)
      || read_name (object, "target", target) != STATUS_OK || *target == '\0'
      || floor_record_find (record, target) != NULL)
    return bad_member ("target");
  struct floor_claim *claim = floor_record_add (record, target);
  uint64_t score = 0;
  enum status status = read_state (object, &claim->state);
  if (status == STATUS_OK)
    status = read_bool (object, "manual", &claim->manual);
  if (status == STATUS_OK)
    status = read_number (object, "score", UINT32_MAX, &score);
  claim->score = (uint32_t)score;
  return status;
}

static enum status
read_claims (struct json_object *object, struct floor_record *record)
{
  struct json_object *claims;
  if (!json_object_object_get_ex (object, "claims", &claims)
      || !json_object_is_type (claims, json_type_array)
      || json_object_array_length (claims) > CLAIMS_MAX)
    return bad_member ("claims");
  for (size_t i = 0; i < json_object_array_length (claims); i++)
    {
      const enum status status
          = read_claim (json_object_array_get_idx (claims, i), record);
      if (status != STATUS_OK)
        return status;
    }
  return STATUS_OK;
}

static enum status
read_amounts (struct json_object *object, struct floor_record *record)
{
  uint64_t hold_ms = 0;
  enum status status
      = read_number (object, "epoch", INT64_MAX, &record->epoch);
  if (status == STATUS_OK && record->epoch == 0)
    status = bad_member ("epoch");
  if (status == STATUS_OK)
    status = read_number (object, "spec_version", INT64_MAX,
                          &record->spec_version);
  if (status == STATUS_OK)
    status = read_number (object, "reserve", UINT32_MAX, &record->reserve);
  if (status == STATUS_OK)
    status
        = read_number (object, "old_reserve", INT64_MAX, &record->old_reserve);
  if (status == STATUS_OK)
    status = read_number (object, "hold_ms", UINT32_MAX, &hold_ms);
  record->hold_ms = (uint32_t)hold_ms;
  return status;
}

static enum status
read_record (struct json_object *object, struct floor_record *record)
{
  if (!json_object_is_type (object, json_type_object))
    return bad_member ("(object)");
  enum status status = read_amounts (object, record);
  if (status == STATUS_OK)
    status = read_name (object, "owner", record->owner);
  if (status == STATUS_OK)
    status = read_id (object, "incarnation", &record->incarnation);
  if (status == STATUS_OK)
    status = read_id (object, "write_id", &record->write_id);
  if (status == STATUS_OK)
    status = read_bool (object, "settled", &record->settled);
  if (status == STATUS_OK)
    status = read_bool (object, "paused", &record->paused);
  if (status == STATUS_OK)
    status = read_claims (object, record);
  return status;
}

enum status
floor_record_parse (const char *text, struct floor_record *record)
{
  floor_record_clear (record);
  struct json_object *object = json_tokener_parse (text);
  if (object == NULL)
    return status_set (STATUS_INVALID,
                       "ejection record: not JSON; restore the last version "
                       "of the object");
  const enum status status = read_record (object, record);
  if (status != STATUS_OK)
    floor_record_clear (record);
  json_object_put (object);
  return status;
}
