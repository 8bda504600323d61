#include "node/control/host_record.h"

#include <string.h>

#include "base/options.h"
#include "base/xmalloc.h"
#include "node/json_row.h"

static const char *const state_names[] = { "live", "leaving" };

enum state
{
  STATE_LIVE,
  STATE_LEAVING,
  STATE_COUNT
};

static void
read_fields (struct options *options, struct host_record *record)
{
  int64_t incarnation = 0;
  int64_t strength = 0;
  int state = STATE_LIVE;
  options_string (options, "name", true, record->name, sizeof record->name);
  options_string (options, "dc", true, record->dc, sizeof record->dc);
  options_address (options, "caller_address", true, record->caller_address,
                   sizeof record->caller_address);
  options_address (options, "peer_address", true, record->peer_address,
                   sizeof record->peer_address);
  options_address (options, "operator_address", false,
                   record->operator_address, sizeof record->operator_address);
  options_int (options, "incarnation", 0, INT64_MAX, &incarnation);
  options_int (options, "strength", 0, UINT32_MAX, &strength);
  options_enum (options, "state", state_names, STATE_COUNT, &state);
  record->incarnation = (uint64_t)incarnation;
  record->capacity = (uint32_t)strength;
  record->leaving = state == STATE_LEAVING;
}

enum status
host_record_parse (const char *name, const char *text,
                   struct host_record *record)
{
  struct json_object *tree;
  memset (record, 0, sizeof *record);
  enum status status = options_parse (name, text, strlen (text), &tree);
  if (status != STATUS_OK)
    return status;
  struct options options;
  options_begin (&options, name, "", tree);
  read_fields (&options, record);
  status = options_end (&options);
  json_object_put (tree);
  if (status == STATUS_OK && strcmp (name, record->name) != 0)
    return status_set (
        STATUS_INVALID,
        "host object %s contains the name %s: use the same name", name,
        record->name);
  return status;
}

static void
add_text (struct json_object *tree, const char *key, const char *text)
{
  if (text[0] != '\0')
    json_row_text (tree, key, text);
}

char *
host_record_format (const struct host_record *record)
{
  struct json_object *tree = json_object_new_object ();
  add_text (tree, "name", record->name);
  add_text (tree, "dc", record->dc);
  add_text (tree, "caller_address", record->caller_address);
  add_text (tree, "peer_address", record->peer_address);
  add_text (tree, "operator_address", record->operator_address);
  json_row_number (tree, "incarnation", (int64_t)record->incarnation);
  if (record->capacity > 0)
    json_row_number (tree, "strength", record->capacity);
  add_text (tree, "state",
            state_names[record->leaving ? STATE_LEAVING : STATE_LIVE]);
  char *text = xstrdup (
      json_object_to_json_string_ext (tree, JSON_C_TO_STRING_PLAIN));
  json_object_put (tree);
  return text;
}
