#include "wire/service_spec.h"

#include <json-c/json.h>

#include "base/xmalloc.h"
#include "wire/service_spec_names.h"

static void
add_string (struct json_object *node, const char *key, const char *value)
{
  json_object_object_add (node, key, json_object_new_string (value));
}

static void
add_u32 (struct json_object *node, const char *key, uint32_t value)
{
  json_object_object_add (node, key, json_object_new_int64 (value));
}

static struct json_object *
format_target (const struct target_spec *target)
{
  struct json_object *node = json_object_new_object ();
  add_string (node, "name", target->name);
  add_string (node, "address", target->address);
  add_string (node, "dc", target->dc);
  add_u32 (node, "slots", target->slots);
  add_u32 (node, "capacity", target->capacity);
  add_u32 (node, "connections", target->connections);
  add_string (node, "state", target_state_names[target->state]);
  return node;
}

static struct json_object *
format_route (const struct route_spec *route)
{
  struct json_object *node = json_object_new_object ();
  struct json_object *methods = json_object_new_array ();
  for (size_t i = 0; i < ROUTE_METHOD_COUNT; i++)
    if ((route->methods & (1U << i)) != 0)
      json_object_array_add (methods,
                             json_object_new_string (route_method_names[i]));
  add_string (node, "host", route->host);
  add_string (node, "path_prefix", route->path_prefix);
  json_object_object_add (node, "methods", methods);
  json_object_object_add (node, "repeatable",
                          json_object_new_boolean (route->repeatable));
  return node;
}

static struct json_object *
format_limits (const struct service_limits *limits)
{
  struct json_object *node = json_object_new_object ();
  add_u32 (node, "queue_requests", limits->queue_requests);
  add_u32 (node, "queue_bytes", limits->queue_bytes);
  add_u32 (node, "body_bytes", limits->body_bytes);
  add_u32 (node, "timeout_ms", limits->timeout_ms);
  add_u32 (node, "connect_timeout_ms", limits->connect_timeout_ms);
  add_u32 (node, "retry_percent", limits->retry_percent);
  add_u32 (node, "attempts", limits->attempts);
  add_u32 (node, "goal_ms", limits->goal_ms);
  return node;
}

char *
service_spec_format (const struct service_spec *spec)
{
  struct json_object *top = json_object_new_object ();
  struct json_object *targets = json_object_new_array ();
  struct json_object *routes = json_object_new_array ();
  for (size_t i = 0; i < spec->target_count; i++)
    json_object_array_add (targets, format_target (&spec->targets[i]));
  for (size_t i = 0; i < spec->route_count; i++)
    json_object_array_add (routes, format_route (&spec->routes[i]));
  add_string (top, "name", spec->name);
  if (spec->write_id[0] != '\0')
    add_string (top, "write_id", spec->write_id);
  add_string (top, "prefer", service_prefer_names[spec->prefer]);
  add_string (top, "ejection", service_ejection_names[spec->ejection_paused]);
  add_u32 (top, "floor_capacity", spec->floor_capacity);
  json_object_object_add (top, "targets", targets);
  json_object_object_add (top, "routes", routes);
  json_object_object_add (top, "limits", format_limits (&spec->limits));
  char *text = xstrdup (json_object_to_json_string_ext (
      top, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (top);
  return text;
}
