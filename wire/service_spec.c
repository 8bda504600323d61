#include "wire/service_spec.h"

#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "base/hash.h"
#include "base/options.h"
#include "base/xmalloc.h"
#include "wire/route_options.h"
#include "wire/service_spec_names.h"

enum
{
  FLOOR_MAX = 1000000000,
  SLOTS_MAX = 100000,
  CONNECTIONS_MAX = 100000,
  QUEUE_REQUESTS_MAX = 65536,
  QUEUE_BYTES_MAX = 64 * 1024 * 1024,
  BODY_BYTES_MAX = 1024 * 1024 * 1024,
  TIMEOUT_MAX_MS = 60 * 60 * 1000,
  CONNECT_TIMEOUT_MAX_MS = 60 * 1000,
  PERCENT_MAX = 100,
  ATTEMPTS_MAX = 8,

  SLOTS_DEFAULT = 4,
  CONNECTIONS_DEFAULT = 200,
};

void
service_spec_defaults (struct service_spec *spec)
{
  *spec = (struct service_spec){
    .prefer = SERVICE_PREFER_FEWER_FALSE_EJECTIONS,
    .limits = { .queue_requests = 64,
                .queue_bytes = 1024 * 1024,
                .body_bytes = 1024 * 1024,
                .timeout_ms = 10000,
                .connect_timeout_ms = 1000,
                .retry_percent = 10,
                .attempts = 3 },
  };
}

static void
read_target (struct options *options, struct target_spec *target)
{
  int state = TARGET_STATE_ACTIVE;
  *target = (struct target_spec){ .slots = SLOTS_DEFAULT,
                                  .connections = CONNECTIONS_DEFAULT,
                                  .warm_up_ms = -1 };
  route_options_name (options, "name", true, target->name);
  options_address (options, "address", true, target->address,
                   sizeof target->address);
  const char *port = strrchr (target->address, ':');
  if (port != NULL && strtoul (port + 1, NULL, 10) == 0)
    options_fail (options, "address",
                  "expected a port from 1 to 65535, found \"%s\"; set the "
                  "port that the target listens on",
                  target->address);
  route_options_name (options, "dc", false, target->dc);
  options_uint32 (options, "slots", 1, SLOTS_MAX, &target->slots);
  target->capacity = target->slots;
  options_uint32 (options, "capacity", 1, FLOOR_MAX, &target->capacity);
  options_uint32 (options, "connections", 1, CONNECTIONS_MAX,
                  &target->connections);
  options_enum (options, "state", target_state_names, TARGET_STATE_COUNT,
                &state);
  target->state = (enum target_state)state;
}

static void
check_unique_target (struct options *options, const struct service_spec *spec,
                     const struct target_spec *target)
{
  for (size_t i = 0; i < spec->target_count; i++)
    {
      const struct target_spec *other = &spec->targets[i];
      if (strcmp (other->name, target->name) == 0)
        options_fail (options, "name",
                      "expected a unique name, found \"%s\" of targets"
                      "[%zu] again; rename or remove one",
                      target->name, i);
      if (strcmp (other->address, target->address) == 0)
        options_fail (options, "address",
                      "expected a unique address, found \"%s\" of "
                      "targets[%zu] again; correct or remove one",
                      target->address, i);
    }
}

static void
read_targets (struct options *top, struct service_spec *spec)
{
  struct json_object *array
      = options_array (top, "targets", SERVICE_TARGETS_MAX);
  if (array == NULL)
    {
      options_fail (top, "targets",
                    "expected an array of targets, found nothing; add it");
      return;
    }
  const size_t count = json_object_array_length (array);
  spec->targets = xcalloc (count + 1, sizeof *spec->targets);
  for (size_t i = 0; i < count && top->status == STATUS_OK; i++)
    {
      struct options child;
      options_element (top, "targets", array, i, &child);
      read_target (&child, &spec->targets[i]);
      check_unique_target (&child, spec, &spec->targets[i]);
      options_end_child (top, &child);
      spec->target_count++;
    }
}

static bool
routes_overlap (const struct route_spec *a, const struct route_spec *b)
{
  const bool methods
      = a->methods == 0 || b->methods == 0 || (a->methods & b->methods) != 0;
  return methods && strcmp (a->host, b->host) == 0
         && strcmp (a->path_prefix, b->path_prefix) == 0;
}

/* Two routes that match the same request could differ in `repeatable`, and
   their order would decide. */
static void
check_unique_route (struct options *options, const struct service_spec *spec,
                    const struct route_spec *route)
{
  for (size_t i = 0; i < spec->route_count; i++)
    if (routes_overlap (&spec->routes[i], route))
      options_fail (options, "path_prefix",
                    "expected one route for a host, path and method, found "
                    "\"%s\" of routes[%zu] again; set different methods "
                    "or remove one",
                    route->path_prefix, i);
}

static void
read_routes (struct options *top, struct service_spec *spec)
{
  struct json_object *array
      = options_array (top, "routes", SERVICE_ROUTES_MAX);
  const size_t count = array == NULL ? 0 : json_object_array_length (array);
  spec->routes = xcalloc (count + 1, sizeof *spec->routes);
  for (size_t i = 0; i < count && top->status == STATUS_OK; i++)
    {
      struct options child;
      options_element (top, "routes", array, i, &child);
      route_options_read (&child, &spec->routes[i]);
      check_unique_route (&child, spec, &spec->routes[i]);
      options_end_child (top, &child);
      spec->route_count++;
    }
}

static void
read_limits (struct options *top, struct service_limits *limits)
{
  struct options child;
  if (!options_object (top, "limits", false, &child))
    return;
  options_uint32 (&child, "queue_requests", 0, QUEUE_REQUESTS_MAX,
                  &limits->queue_requests);
  options_uint32 (&child, "queue_bytes", 0, QUEUE_BYTES_MAX,
                  &limits->queue_bytes);
  options_uint32 (&child, "body_bytes", 0, BODY_BYTES_MAX,
                  &limits->body_bytes);
  options_uint32 (&child, "timeout_ms", 1, TIMEOUT_MAX_MS,
                  &limits->timeout_ms);
  options_uint32 (&child, "connect_timeout_ms", 1, CONNECT_TIMEOUT_MAX_MS,
                  &limits->connect_timeout_ms);
  options_uint32 (&child, "retry_percent", 0, PERCENT_MAX,
                  &limits->retry_percent);
  options_uint32 (&child, "attempts", 1, ATTEMPTS_MAX, &limits->attempts);
  options_uint32 (&child, "goal_ms", 0, TIMEOUT_MAX_MS, &limits->goal_ms);
  options_end_child (top, &child);
}

static void
read_service (struct options *top, struct service_spec *spec)
{
  int prefer = spec->prefer;
  int ejection = spec->ejection_paused;
  route_options_name (top, "name", true, spec->name);
  options_string (top, "write_id", false, spec->write_id,
                  sizeof spec->write_id);
  options_enum (top, "prefer", service_prefer_names, SERVICE_PREFER_COUNT,
                &prefer);
  options_enum (top, "ejection", service_ejection_names,
                SERVICE_EJECTION_COUNT, &ejection);
  options_uint32 (top, "floor_capacity", 0, FLOOR_MAX, &spec->floor_capacity);
  read_targets (top, spec);
  read_routes (top, spec);
  read_limits (top, &spec->limits);
  spec->prefer = (enum service_prefer)prefer;
  spec->ejection_paused = ejection != 0;
}

enum status
service_spec_parse (const char *file, const char *text, uint64_t version,
                    struct service_spec **spec)
{
  struct json_object *tree;
  *spec = NULL;
  enum status status = options_parse (file, text, strlen (text), &tree);
  if (status != STATUS_OK)
    return status;
  struct service_spec *service = xmalloc (sizeof *service);
  service_spec_defaults (service);
  service->version = version;
  struct options top;
  options_begin (&top, file, "", tree);
  read_service (&top, service);
  status = options_end (&top);
  json_object_put (tree);
  if (status != STATUS_OK)
    {
      service_spec_destroy (service);
      return status;
    }
  *spec = service;
  return STATUS_OK;
}

struct service_spec *
service_spec_copy (const struct service_spec *spec)
{
  struct service_spec *copy = xmalloc (sizeof *copy);
  *copy = *spec;
  copy->targets = xcalloc (spec->target_count + 1, sizeof *copy->targets);
  copy->routes = xcalloc (spec->route_count + 1, sizeof *copy->routes);
  for (size_t i = 0; i < spec->target_count; i++)
    copy->targets[i] = spec->targets[i];
  for (size_t i = 0; i < spec->route_count; i++)
    copy->routes[i] = spec->routes[i];
  return copy;
}

void
service_spec_destroy (struct service_spec *spec)
{
  if (spec == NULL)
    return;
  free (spec->targets);
  free (spec->routes);
  free (spec);
}

const struct target_spec *
service_spec_target (const struct service_spec *spec, const char *name)
{
  for (size_t i = 0; i < spec->target_count; i++)
    if (strcmp (spec->targets[i].name, name) == 0)
      return &spec->targets[i];
  return NULL;
}

/* If a target restarted under the same name and kept its key, the state of the
   former process would apply to the new one, which would count as warm,
   leaving or failing. */
uint64_t
service_spec_target_key (const char *service, const struct target_spec *target)
{
  const uint64_t name_hash = hash_string (target->name);
  const uint64_t process_hash
      = target->started_ms == 0
            ? name_hash
            : hash_pair (name_hash, (uint64_t)target->started_ms);
  return hash_pair (hash_string (service), process_hash);
}
