#include "ctl/json_member.h"

const char *
json_member_text (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;
  json_object_object_get_ex (object, key, &value);
  return value == NULL ? "" : json_object_get_string (value);
}

int64_t
json_member_int (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;
  json_object_object_get_ex (object, key, &value);
  return json_object_get_int64 (value);
}

struct json_object *
json_member_array (struct json_object *object, const char *key)
{
  struct json_object *value = NULL;
  json_object_object_get_ex (object, key, &value);
  return json_object_is_type (value, json_type_array) ? value : NULL;
}
