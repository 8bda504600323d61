#include "node/control/poison_record.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/options.h"
#include "base/xmalloc.h"
#include "node/json_row.h"

enum
{
  HEXADECIMAL = 16,
  HEAD_SIZE = 17,
};

enum status
poison_record_parse (const char *name, const char *text,
                     struct poison_record *record)
{
  struct json_object *tree;
  struct options options;
  char head[HEAD_SIZE] = "";
  *record = (struct poison_record){ 0 };
  if (!fingerprint_parse (name, &record->row.fingerprint))
    return status_set (STATUS_INVALID,
                       "%.40s is not a fingerprint: remove the object", name);
  enum status status = options_parse (name, text, strlen (text), &tree);
  if (status != STATUS_OK)
    return status;
  options_begin (&options, name, "", tree);
  options_string (&options, "service", true, record->service,
                  sizeof record->service);
  options_string (&options, "head", true, head, sizeof head);
  options_uint32 (&options, "epoch", 0, UINT32_MAX, &record->row.epoch);
  options_uint32 (&options, "strikes", 1, UINT32_MAX, &record->row.strikes);
  options_int (&options, "until_ms", 0, INT64_MAX, &record->expires_unix_ms);
  status = options_end (&options);
  record->row.fingerprint.head_hash = strtoull (head, NULL, HEXADECIMAL);
  json_object_put (tree);
  return status;
}

char *
poison_record_format (const struct poison_record *record)
{
  struct json_object *tree = json_object_new_object ();
  char head[HEAD_SIZE];
  snprintf (head, sizeof head, "%016" PRIx64,
            record->row.fingerprint.head_hash);
  json_row_text (tree, "service", record->service);
  json_row_text (tree, "head", head);
  json_row_number (tree, "epoch", record->row.epoch);
  json_row_number (tree, "strikes", record->row.strikes);
  json_row_number (tree, "until_ms", record->expires_unix_ms);
  char *text = xstrdup (
      json_object_to_json_string_ext (tree, JSON_C_TO_STRING_PLAIN));
  json_object_put (tree);
  return text;
}
