#include "wire/fleet_config.h"

#include <json-c/json.h>

#include "base/xmalloc.h"
#include "wire/service_spec_names.h"

static void
add_string (struct json_object *node, const char *key, const char *value)
{
  json_object_object_add (node, key, json_object_new_string (value));
}

static void
add_number (struct json_object *node, const char *key, uint64_t value)
{
  json_object_object_add (node, key, json_object_new_uint64 (value));
}

static struct json_object *
format_parts (const struct fleet_route *route)
{
  struct json_object *parts = json_object_new_array ();
  for (size_t i = 0; i < route->part_count; i++)
    {
      struct json_object *part = json_object_new_object ();
      add_string (part, "service", route->parts[i].service);
      add_number (part, "weight", route->parts[i].weight);
      json_object_array_add (parts, part);
    }
  return parts;
}

static struct json_object *
format_methods (uint32_t methods)
{
  struct json_object *names = json_object_new_array ();
  for (size_t i = 0; i < ROUTE_METHOD_COUNT; i++)
    if ((methods & (1U << i)) != 0)
      json_object_array_add (names,
                             json_object_new_string (route_method_names[i]));
  return names;
}

static struct json_object *
format_route (const struct fleet_route *route)
{
  struct json_object *node = json_object_new_object ();
  add_string (node, "name", route->name);
  add_string (node, "host", route->spec.host);
  add_string (node, "path_prefix", route->spec.path_prefix);
  json_object_object_add (node, "methods",
                          format_methods (route->spec.methods));
  json_object_object_add (node, "repeatable",
                          json_object_new_boolean (route->spec.repeatable));
  add_number (node, "timeout_ms", route->timeout_ms);
  add_number (node, "latency_goal_ms", route->latency_goal_ms);
  add_number (node, "priority", route->priority);
  add_number (node, "attempts", route->attempts);
  if (route->is_open)
    json_object_object_add (node, "open", json_object_new_boolean (true));
  json_object_object_add (node, "parts", format_parts (route));
  return node;
}

static struct json_object *
format_service (const struct fleet_service *service)
{
  struct json_object *node = json_object_new_object ();
  add_string (node, "name", service->name);
  add_string (node, "health_path", service->health_path);
  add_number (node, "connections", service->connections);
  return node;
}

static struct json_object *
format_limits (const struct fleet_limits *limits)
{
  struct json_object *node = json_object_new_object ();
  add_number (node, "header_bytes", limits->header_bytes);
  add_number (node, "body_bytes", limits->body_bytes);
  add_number (node, "header_timeout_ms", limits->header_timeout_ms);
  add_number (node, "idle_timeout_ms", limits->idle_timeout_ms);
  return node;
}

static struct json_object *
format_workspaces (const struct fleet_config *config)
{
  struct json_object *workspaces = json_object_new_array ();
  for (size_t i = 0; i < config->workspace_count; i++)
    json_object_array_add (workspaces,
                           fleet_workspace_format (&config->workspaces[i]));
  return workspaces;
}

char *
fleet_config_format (const struct fleet_config *config)
{
  struct json_object *top = json_object_new_object ();
  struct json_object *routes = json_object_new_array ();
  struct json_object *services = json_object_new_array ();
  for (size_t i = 0; i < config->route_count; i++)
    json_object_array_add (routes, format_route (&config->routes[i]));
  for (size_t i = 0; i < config->service_count; i++)
    json_object_array_add (services, format_service (&config->services[i]));
  add_number (top, "version", config->version);
  json_object_object_add (top, "routes", routes);
  json_object_object_add (top, "services", services);
  json_object_object_add (top, "limits", format_limits (&config->limits));
  if (config->has_workspaces)
    json_object_object_add (top, "workspaces", format_workspaces (config));
  char *text = xstrdup (json_object_to_json_string_ext (
      top, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (top);
  return text;
}
