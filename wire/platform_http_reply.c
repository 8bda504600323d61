#include "wire/platform_http_reply.h"

#include <stdbool.h>
#include <stdlib.h>

#include "base/options.h"
#include "base/xmalloc.h"

static bool
read_number (struct json_object *node, const char *key, uint64_t *number)
{
  struct json_object *member;
  if (!json_object_object_get_ex (node, key, &member)
      || !json_object_is_type (member, json_type_int)
      || json_object_get_int64 (member) < 0)
    return false;
  *number = json_object_get_uint64 (member);
  return true;
}

static bool
read_object (struct json_object *node, struct platform_object *object)
{
  struct json_object *name;
  struct json_object *value;
  if (!json_object_is_type (node, json_type_object)
      || !json_object_object_get_ex (node, "name", &name)
      || !json_object_is_type (name, json_type_string)
      || !read_number (node, "version", &object->version)
      || !json_object_object_get_ex (node, "value", &value))
    return false;
  object->name = json_object_get_string (name);
  object->value = value == NULL
                      ? NULL
                      : json_object_to_json_string_ext (
                          value, JSON_C_TO_STRING_PLAIN
                                     | JSON_C_TO_STRING_NOSLASHESCAPE);
  return true;
}

static enum status
fail (const char *expected)
{
  return status_set (STATUS_INVALID,
                     "the platform's response: expected %s; check that its "
                     "address is that of the object API",
                     expected);
}

static enum status
parse (struct platform_http_reply *reply, const char *text, size_t size)
{
  *reply = (struct platform_http_reply){ 0 };
  return options_parse ("the platform's response", text, size, &reply->tree);
}

enum status
platform_http_reply_object (struct platform_http_reply *reply,
                            const char *text, size_t size)
{
  const enum status status = parse (reply, text, size);
  if (status != STATUS_OK)
    return status;
  reply->objects = xcalloc (1, sizeof *reply->objects);
  if (!read_object (reply->tree, &reply->objects[0]))
    return fail ("an object with name, version and value");
  reply->count = 1;
  return STATUS_OK;
}

enum status
platform_http_reply_list (struct platform_http_reply *reply, const char *text,
                          size_t size)
{
  struct json_object *array;
  const enum status status = parse (reply, text, size);
  if (status != STATUS_OK)
    return status;
  if (!json_object_is_type (reply->tree, json_type_object)
      || !read_number (reply->tree, "revision", &reply->revision)
      || !json_object_object_get_ex (reply->tree, "objects", &array)
      || !json_object_is_type (array, json_type_array))
    return fail ("a list with revision and objects");
  const size_t count = json_object_array_length (array);
  reply->objects = xcalloc (count + 1, sizeof *reply->objects);
  for (size_t i = 0; i < count; i++)
    if (!read_object (json_object_array_get_idx (array, i),
                      &reply->objects[i]))
      return fail ("objects with name, version and value each");
  reply->count = count;
  return STATUS_OK;
}

void
platform_http_reply_release (struct platform_http_reply *reply)
{
  json_object_put (reply->tree);
  free (reply->objects);
  *reply = (struct platform_http_reply){ 0 };
}
