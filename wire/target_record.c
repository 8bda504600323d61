#include "wire/target_record.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "base/options.h"
#include "base/xmalloc.h"
#include "wire/route_options.h"
#include "wire/service_spec_names.h"

enum
{
  SLOTS_DEFAULT = 4,
  SLOTS_MAX = 100000,
  WARM_UP_MAX_MS = 60 * 60 * 1000,
};

/* The end of the year 9999.  A later time is one in another unit, and would be
   later than the starts of all processes to come. */
static const int64_t STARTED_MAX_MS = INT64_C (253402300799999);

/* No target listens at port 0, and a connection to the unspecified address
   reaches this host itself. */
static void
check_address (struct options *options, const char *address)
{
  const char *colon = strrchr (address, ':');
  if (colon == NULL)
    return;
  const size_t ip_length = (size_t)(colon - address);
  const bool is_unspecified
      = (ip_length == strlen ("0.0.0.0")
         && strncmp (address, "0.0.0.0", ip_length) == 0)
        || (address[0] == '[' && strspn (address + 1, "0:") + 2 == ip_length);
  if (strtoul (colon + 1, NULL, 10) == 0 || is_unspecified)
    options_fail (options, "address",
                  "expected the IP and port of a target, found \"%s\"; "
                  "write the address at which it listens",
                  address);
}

static void
read_members (struct options *options, struct target_record *record)
{
  int state = TARGET_STATE_ACTIVE;
  int64_t slots = SLOTS_DEFAULT;
  int64_t warm_up_ms = 0;
  route_options_name (options, "service", true, record->service);
  options_address (options, "address", true, record->address,
                   sizeof record->address);
  check_address (options, record->address);
  route_options_name (options, "dc", false, record->dc);
  options_int (options, "slots", 1, SLOTS_MAX, &slots);
  options_enum (options, "state", target_state_names, TARGET_STATE_COUNT,
                &state);
  options_duration (options, "warm_up_ms", 0, WARM_UP_MAX_MS, &warm_up_ms);
  options_string (options, "software", false, record->software,
                  sizeof record->software);
  options_int (options, "started_ms", 0, STARTED_MAX_MS, &record->started_ms);
  record->slots = (uint32_t)slots;
  record->state = (enum target_state)state;
  record->warm_up_ms = (uint32_t)warm_up_ms;
}

enum status
target_record_parse (const char *name, const char *text,
                     struct target_record *record)
{
  struct json_object *tree;
  memset (record, 0, sizeof *record);
  if (strlen (name) >= sizeof record->name)
    return status_set (
        STATUS_INVALID,
        "the target name \"%.80s\" is longer than %zu bytes; use "
        "a shorter one",
        name, sizeof record->name - 1);
  enum status status = options_parse (name, text, strlen (text), &tree);
  if (status != STATUS_OK)
    return status;
  struct options options;
  options_begin (&options, name, "", tree);
  memcpy (record->name, name, strlen (name) + 1);
  read_members (&options, record);
  status = options_end (&options);
  json_object_put (tree);
  return status;
}

char *
target_record_format (const struct target_record *record)
{
  struct json_object *tree = json_object_new_object ();
  const struct
  {
    const char *key;
    const char *text;
  } texts[] = { { "service", record->service },
                { "address", record->address },
                { "dc", record->dc },
                { "state", target_state_names[record->state] },
                { "software", record->software } };
  for (size_t i = 0; i < sizeof texts / sizeof texts[0]; i++)
    json_object_object_add (tree, texts[i].key,
                            json_object_new_string (texts[i].text));
  json_object_object_add (tree, "slots",
                          json_object_new_int64 (record->slots));
  json_object_object_add (tree, "warm_up_ms",
                          json_object_new_int64 (record->warm_up_ms));
  if (record->started_ms > 0)
    json_object_object_add (tree, "started_ms",
                            json_object_new_int64 (record->started_ms));
  char *text = xstrdup (json_object_to_json_string_ext (
      tree, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (tree);
  return text;
}
