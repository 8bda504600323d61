/** @file
 * Adds members to a JSON object: a row of a table (tables.h), a record or a
 * response.
 *
 * Each key must be added only once; TEXT is copied.
 */
#ifndef NODE_JSON_ROW_H
#define NODE_JSON_ROW_H

#include <stdbool.h>
#include <stdint.h>

#include <json-c/json.h>

static inline void
json_row_text (struct json_object *row, const char *key, const char *text)
{
  json_object_object_add (row, key, json_object_new_string (text));
}

static inline void
json_row_number (struct json_object *row, const char *key, int64_t number)
{
  json_object_object_add (row, key, json_object_new_int64 (number));
}

static inline void
json_row_flag (struct json_object *row, const char *key, bool flag)
{
  json_object_object_add (row, key, json_object_new_boolean (flag));
}

#endif
