#include "wire/fleet_config.h"

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "base/options.h"
#include "base/xmalloc.h"
#include "wire/route_options.h"

enum
{
  HOUR_MS = 60 * 60 * 1000,
  WEIGHT_MAX = 1000000,
  PRIORITY_MAX = 1000,
  ATTEMPTS_MAX = 8,
  CONNECTIONS_MAX = 1000000,
  HEADER_BYTES_MIN = 1024,
  HEADER_BYTES_MAX = 1024 * 1024,
  BODY_BYTES_MAX = 1024 * 1024 * 1024,

  TIMEOUT_DEFAULT_MS = 10000,
  ATTEMPTS_DEFAULT = 2,
  CONNECTIONS_DEFAULT = 200,
};

static const struct fleet_limits limits_default = {
  .header_bytes = 16 * 1024,
  .body_bytes = 1024 * 1024,
  .header_timeout_ms = 10000,
  .idle_timeout_ms = 30000,
};

static void
read_part (struct options *options, struct route_part *part)
{
  part->weight = 1;
  route_options_name (options, "service", true, part->service);
  options_uint32 (options, "weight", 0, WEIGHT_MAX, &part->weight);
}

static void
read_parts (struct options *options, struct fleet_route *route)
{
  struct json_object *array
      = options_array (options, "parts", ROUTE_PARTS_MAX);
  const size_t count = array == NULL ? 0 : json_object_array_length (array);
  uint64_t weights = 0;
  route->parts = xcalloc (count + 1, sizeof *route->parts);
  for (size_t i = 0; i < count && options->status == STATUS_OK; i++)
    {
      struct options child;
      options_element (options, "parts", array, i, &child);
      read_part (&child, &route->parts[i]);
      options_end_child (options, &child);
      weights += route->parts[i].weight;
      route->part_count++;
    }
  if (options->status == STATUS_OK && weights == 0)
    options_fail (options, "parts",
                  "expected at least one service with a weight above 0; add "
                  "it, or remove the route");
}

static void
read_route (struct options *options, struct fleet_route *route)
{
  route->timeout_ms = TIMEOUT_DEFAULT_MS;
  route->attempts = ATTEMPTS_DEFAULT;
  route_options_name (options, "name", true, route->name);
  route_options_read (options, &route->spec);
  options_uint32 (options, "timeout_ms", 1, HOUR_MS, &route->timeout_ms);
  route->latency_goal_ms = route->timeout_ms;
  options_uint32 (options, "latency_goal_ms", 1, HOUR_MS,
                  &route->latency_goal_ms);
  options_uint32 (options, "priority", 0, PRIORITY_MAX, &route->priority);
  options_uint32 (options, "attempts", 1, ATTEMPTS_MAX, &route->attempts);
  options_bool (options, "open", &route->is_open);
  read_parts (options, route);
}

static void
read_routes (struct options *top, struct fleet_config *config)
{
  struct json_object *array = options_array (top, "routes", FLEET_ROUTES_MAX);
  const size_t count = array == NULL ? 0 : json_object_array_length (array);
  config->routes = xcalloc (count + 1, sizeof *config->routes);
  for (size_t i = 0; i < count && top->status == STATUS_OK; i++)
    {
      struct options child;
      options_element (top, "routes", array, i, &child);
      config->route_count++;
      read_route (&child, &config->routes[i]);
      options_end_child (top, &child);
    }
}

static void
read_service (struct options *options, struct fleet_service *service)
{
  service->connections = CONNECTIONS_DEFAULT;
  strcpy (service->health_path, "/");
  route_options_name (options, "name", true, service->name);
  options_string (options, "health_path", false, service->health_path,
                  sizeof service->health_path);
  options_uint32 (options, "connections", 1, CONNECTIONS_MAX,
                  &service->connections);
}

static void
read_services (struct options *top, struct fleet_config *config)
{
  struct json_object *array
      = options_array (top, "services", FLEET_SERVICES_MAX);
  const size_t count = array == NULL ? 0 : json_object_array_length (array);
  config->services = xcalloc (count + 1, sizeof *config->services);
  for (size_t i = 0; i < count && top->status == STATUS_OK; i++)
    {
      struct options child;
      options_element (top, "services", array, i, &child);
      read_service (&child, &config->services[i]);
      options_end_child (top, &child);
      config->service_count++;
    }
}

static void
read_workspaces (struct options *top, struct fleet_config *config)
{
  struct json_object *array
      = options_array (top, "workspaces", FLEET_WORKSPACES_MAX);
  const size_t count = array == NULL ? 0 : json_object_array_length (array);
  config->has_workspaces = array != NULL;
  config->workspaces = xcalloc (count + 1, sizeof *config->workspaces);
  for (size_t i = 0; i < count && top->status == STATUS_OK; i++)
    {
      struct options child;
      options_element (top, "workspaces", array, i, &child);
      config->workspace_count++;
      fleet_workspace_read (&child, &config->workspaces[i]);
      options_end_child (top, &child);
    }
}

/* A key digest and the workspace that it belongs to. */
struct workspace_key
{
  const struct digest *key;
  const struct fleet_workspace *workspace;
};

static int
compare_keys (const void *a, const void *b)
{
  const struct workspace_key *left = a;
  const struct workspace_key *right = b;
  return memcmp (left->key, right->key, sizeof *left->key);
}

/* With a key of two workspaces, hosts could assign its requests to different
   workspaces. */
static void
check_keys (struct options *top, const struct fleet_config *config)
{
  size_t count = 0;
  for (size_t i = 0; i < config->workspace_count; i++)
    count += config->workspaces[i].key_count;
  struct workspace_key *keys = xcalloc (count + 1, sizeof *keys);
  count = 0;
  for (size_t i = 0; i < config->workspace_count; i++)
    for (size_t j = 0; j < config->workspaces[i].key_count; j++)
      keys[count++]
          = (struct workspace_key){ .key = &config->workspaces[i].keys[j],
                                    .workspace = &config->workspaces[i] };
  qsort (keys, count, sizeof *keys, compare_keys);
  for (size_t i = 1; i < count; i++)
    if (compare_keys (&keys[i - 1], &keys[i]) == 0)
      {
        options_fail (top, "workspaces",
                      "expected each key once, found one of \"%s\" again in "
                      "\"%s\"; create a new key for one of them",
                      keys[i - 1].workspace->name, keys[i].workspace->name);
        break;
      }
  free (keys);
}

static void
read_limits (struct options *top, struct fleet_limits *limits)
{
  struct options child;
  *limits = limits_default;
  if (!options_object (top, "limits", false, &child))
    return;
  options_uint32 (&child, "header_bytes", HEADER_BYTES_MIN, HEADER_BYTES_MAX,
                  &limits->header_bytes);
  options_uint32 (&child, "body_bytes", 0, BODY_BYTES_MAX,
                  &limits->body_bytes);
  options_uint32 (&child, "header_timeout_ms", 1, HOUR_MS,
                  &limits->header_timeout_ms);
  options_uint32 (&child, "idle_timeout_ms", 1, HOUR_MS,
                  &limits->idle_timeout_ms);
  options_end_child (top, &child);
}

/* Requests of a route to an undeclared service could never be served. */
static void
check_parts (struct options *top, const struct fleet_config *config)
{
  for (size_t i = 0; i < config->route_count; i++)
    for (size_t j = 0; j < config->routes[i].part_count; j++)
      if (fleet_config_service (config, config->routes[i].parts[j].service)
          == NULL)
        {
          options_fail (top, "routes",
                        "expected a service of \"services\", found \"%s\" in "
                        "route \"%s\"; declare it or correct the route",
                        config->routes[i].parts[j].service,
                        config->routes[i].name);
          return;
        }
}

enum status
fleet_config_parse (const char *file, const char *text,
                    struct fleet_config **config)
{
  struct json_object *tree;
  *config = NULL;
  enum status status = options_parse (file, text, strlen (text), &tree);
  if (status != STATUS_OK)
    return status;
  struct fleet_config *parsed = xcalloc (1, sizeof *parsed);
  struct options top;
  int64_t version = 0;
  options_begin (&top, file, "", tree);
  options_int (&top, "version", 0, INT64_MAX, &version);
  parsed->version = (uint64_t)version;
  read_routes (&top, parsed);
  read_services (&top, parsed);
  read_limits (&top, &parsed->limits);
  read_workspaces (&top, parsed);
  if (top.status == STATUS_OK)
    check_parts (&top, parsed);
  if (top.status == STATUS_OK)
    check_keys (&top, parsed);
  status = options_end (&top);
  json_object_put (tree);
  if (status != STATUS_OK)
    {
      fleet_config_destroy (parsed);
      return status;
    }
  *config = parsed;
  return STATUS_OK;
}

struct fleet_config *
fleet_config_copy (const struct fleet_config *config)
{
  struct fleet_config *copy = xmalloc (sizeof *copy);
  *copy = *config;
  copy->routes = xcalloc (config->route_count + 1, sizeof *copy->routes);
  copy->services = xcalloc (config->service_count + 1, sizeof *copy->services);
  for (size_t i = 0; i < config->route_count; i++)
    {
      struct fleet_route *route = &copy->routes[i];
      *route = config->routes[i];
      route->parts = xcalloc (route->part_count + 1, sizeof *route->parts);
      memcpy (route->parts, config->routes[i].parts,
              route->part_count * sizeof *route->parts);
    }
  for (size_t i = 0; i < config->service_count; i++)
    copy->services[i] = config->services[i];
  copy->workspaces
      = xcalloc (config->workspace_count + 1, sizeof *copy->workspaces);
  for (size_t i = 0; i < config->workspace_count; i++)
    fleet_workspace_copy (&copy->workspaces[i], &config->workspaces[i]);
  return copy;
}

void
fleet_config_destroy (struct fleet_config *config)
{
  if (config == NULL)
    return;
  for (size_t i = 0; i < config->route_count; i++)
    free (config->routes[i].parts);
  for (size_t i = 0; i < config->workspace_count; i++)
    fleet_workspace_release (&config->workspaces[i]);
  free (config->workspaces);
  free (config->routes);
  free (config->services);
  free (config);
}

const struct fleet_service *
fleet_config_service (const struct fleet_config *config, const char *name)
{
  for (size_t i = 0; i < config->service_count; i++)
    if (strcmp (config->services[i].name, name) == 0)
      return &config->services[i];
  return NULL;
}
