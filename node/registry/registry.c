#define LOG_MODULE "registry"

#include "node/registry/registry.h"

#include <math.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <uthash.h>

#include "base/hash.h"
#include "base/log.h"
#include "base/xmalloc.h"
#include "node/registry/service_groups.h"
#include "node/registry/target_refusals.h"
#include "wire/platform.h"
#include "wire/target_record.h"

/* Changes of one burst, such as a release or a list of objects, are published
   together. */
static const double UPDATE_DELAY_SECONDS = 0.005;

struct registry_target
{
  struct target_record record;
  UT_hash_handle hh;
};

/* A service of the configuration. */
struct registry_service
{
  char name[SERVICE_NAME_SIZE];
  char group[SERVICE_NAME_SIZE];
  uint32_t goal_count;     /* routes to it that have a latency goal */
  double inverse_goal_sum; /* sum of 1 / latency_goal_ms over these routes */
  bool changed;
  UT_hash_handle hh;
};

struct registry
{
  struct registry_options options;
  struct fleet_config *config;
  bool config_changed;
  struct registry_target *targets;   /* by name */
  struct target_refusal *refusals;   /* by name */
  struct registry_service *services; /* by name */
  uint64_t version;                  /* of the newest published spec */
  bool is_held;                      /* nothing is published */
  ev_timer update_timer;
};

static void
schedule_update (struct registry *registry)
{
  if (ev_is_active (&registry->update_timer))
    return;
  ev_timer_set (&registry->update_timer, UPDATE_DELAY_SECONDS, 0.);
  ev_timer_start (registry->options.loop, &registry->update_timer);
}

static struct registry_service *
find_or_add_service (struct registry *registry, const char *name)
{
  struct registry_service *service;
  HASH_FIND_STR (registry->services, name, service);
  if (service != NULL)
    return service;
  service = xcalloc (1, sizeof *service);
  memcpy (service->name, name, strlen (name) + 1);
  service->changed = true;
  HASH_ADD_STR (registry->services, name, service);
  return service;
}

/* A service that isn't configured yet has no entry; its targets are published
   once it is. */
static void
mark_service_changed (struct registry *registry, const char *name)
{
  struct registry_service *service;
  HASH_FIND_STR (registry->services, name, service);
  if (service == NULL)
    return;
  service->changed = true;
  schedule_update (registry);
}

static int
compare_targets (const void *a, const void *b)
{
  const struct target_spec *left = a;
  const struct target_spec *right = b;
  return strcmp (left->name, right->name);
}

static struct target_spec
target_spec_of (const struct target_record *record, uint32_t connections)
{
  struct target_spec spec = { .slots = record->slots,
                              .capacity = record->slots,
                              .connections = connections,
                              .warm_up_ms = (int32_t)record->warm_up_ms,
                              .state = record->state,
                              .started_ms = record->started_ms };
  memcpy (spec.name, record->name, sizeof spec.name);
  memcpy (spec.address, record->address, sizeof spec.address);
  memcpy (spec.dc, record->dc, sizeof spec.dc);
  return spec;
}

static void
collect_targets (const struct registry *registry, struct service_spec *spec,
                 uint32_t connections)
{
  const struct registry_target *target;
  spec->targets
      = xcalloc (HASH_COUNT (registry->targets) + 1, sizeof *spec->targets);
  for (target = registry->targets; target != NULL; target = target->hh.next)
    if (strcmp (target->record.service, spec->name) == 0)
      spec->targets[spec->target_count++]
          = target_spec_of (&target->record, connections);
  qsort (spec->targets, spec->target_count, sizeof *spec->targets,
         compare_targets);
}

/* The harmonic mean of the routes' latency goals: targets can then serve as
   many requests a second as if each route had its own goal.  A change of one
   route among many changes it only a little. */
static uint32_t
mean_goal_ms (const struct registry_service *service)
{
  return service->goal_count == 0
             ? 0
             : (uint32_t)lround (service->goal_count
                                 / service->inverse_goal_sum);
}

static void
publish_service (struct registry *registry, struct registry_service *service)
{
  const struct fleet_config *config = registry->config;
  const struct fleet_service *declared
      = fleet_config_service (config, service->name);
  struct service_spec spec;
  service->changed = false;
  if (declared == NULL)
    return;
  service_spec_defaults (&spec);
  memcpy (spec.name, service->name, sizeof spec.name);
  memcpy (spec.group, service->group, sizeof spec.group);
  spec.version = ++registry->version;
  spec.prefer = registry->options.prefer;
  spec.limits = registry->options.limits;
  spec.limits.body_bytes = config->limits.body_bytes;
  spec.limits.goal_ms = mean_goal_ms (service);
  collect_targets (registry, &spec, declared->connections);
  registry->options.events->service (registry->options.owner, &spec);
  free (spec.targets);
}

static void
remove_service (struct registry *registry, struct registry_service *service)
{
  HASH_DEL (registry->services, service);
  registry->options.events->service_removed (
      registry->options.owner, service->name, ++registry->version);
  free (service);
}

static void
remove_undeclared (struct registry *registry)
{
  struct registry_service *service;
  struct registry_service *next;
  HASH_ITER (hh, registry->services, service, next)
  {
    if (fleet_config_service (registry->config, service->name) == NULL)
      remove_service (registry, service);
  }
}

static void
update_cb (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct registry *registry = timer->data;
  struct registry_service *service;
  if (registry->config == NULL || registry->is_held)
    return;
  for (service = registry->services; service != NULL;
       service = service->hh.next)
    if (service->changed)
      publish_service (registry, service);
  if (!registry->config_changed)
    return;
  registry->config_changed = false;
  registry->options.events->config (registry->options.owner, registry->config);
  remove_undeclared (registry);
}

void
registry_hold (struct registry *registry)
{
  registry->is_held = true;
}

/* More changes of the same burst may follow the one that ends the hold. */
void
registry_release (struct registry *registry)
{
  registry->is_held = false;
  schedule_update (registry);
}

void
registry_publish_pending (struct registry *registry)
{
  if (!ev_is_active (&registry->update_timer))
    return;
  ev_timer_stop (registry->options.loop, &registry->update_timer);
  update_cb (registry->options.loop, &registry->update_timer, 0);
}

struct registry *
registry_create (const struct registry_options *options)
{
  struct registry *registry = xcalloc (1, sizeof *registry);
  registry->options = *options;
  ev_timer_init (&registry->update_timer, update_cb, 0., 0.);
  registry->update_timer.data = registry;
  return registry;
}

void
registry_destroy (struct registry *registry)
{
  if (registry == NULL)
    return;
  ev_timer_stop (registry->options.loop, &registry->update_timer);
  struct registry_target *target = registry->targets;
  HASH_CLEAR (hh, registry->targets);
  while (target != NULL)
    {
      struct registry_target *next = target->hh.next;
      free (target);
      target = next;
    }
  target_refusals_clear (&registry->refusals);
  struct registry_service *service = registry->services;
  HASH_CLEAR (hh, registry->services);
  while (service != NULL)
    {
      struct registry_service *next = service->hh.next;
      free (service);
      service = next;
    }
  fleet_config_destroy (registry->config);
  free (registry);
}

/* A goal that is at least as long as the timeout adds nothing and is
   ignored. */
static void
add_route_goal (struct registry *registry, const struct fleet_route *route)
{
  if (route->latency_goal_ms >= route->timeout_ms)
    return;
  for (size_t i = 0; i < route->part_count; i++)
    {
      struct registry_service *service;
      HASH_FIND_STR (registry->services, route->parts[i].service, service);
      if (service == NULL)
        continue;
      service->goal_count++;
      service->inverse_goal_sum += 1.0 / route->latency_goal_ms;
    }
}

static void
update_services (struct registry *registry)
{
  const struct fleet_config *config = registry->config;
  size_t *groups = xcalloc (config->service_count + 1, sizeof *groups);
  service_groups_find (config, groups);
  for (size_t i = 0; i < config->service_count; i++)
    {
      struct registry_service *service
          = find_or_add_service (registry, config->services[i].name);
      service->changed = true;
      service->goal_count = 0;
      service->inverse_goal_sum = 0;
      memcpy (service->group, config->services[groups[i]].name,
              sizeof service->group);
    }
  for (size_t i = 0; i < config->route_count; i++)
    add_route_goal (registry, &config->routes[i]);
  free (groups);
}

enum status
registry_apply_config (struct registry *registry, const char *name,
                       const char *text)
{
  struct fleet_config *config;
  const enum status status = fleet_config_parse (name, text, &config);
  if (status != STATUS_OK)
    {
      LOG_WARN ("config-refused", LOG_STR ("config", name),
                LOG_STR ("why", status_message ()));
      return status;
    }
  if (registry->config != NULL && config->version <= registry->config->version)
    {
      fleet_config_destroy (config);
      return status_set (STATUS_REFUSED,
                         "the configuration isn't newer than the one in "
                         "force");
    }
  fleet_config_destroy (registry->config);
  registry->config = config;
  registry->config_changed = true;
  update_services (registry);
  LOG_INFO ("config-accepted", LOG_INT ("version", config->version),
            LOG_INT ("routes", config->route_count),
            LOG_INT ("services", config->service_count));
  schedule_update (registry);
  return STATUS_OK;
}

static struct registry_target *
find_target (const struct registry *registry, const char *name)
{
  struct registry_target *target;
  HASH_FIND_STR (registry->targets, name, target);
  return target;
}

static void
remove_target (struct registry *registry, const char *name)
{
  struct registry_target *target = find_target (registry, name);
  if (target == NULL)
    return;
  LOG_INFO ("target-gone", LOG_STR ("target", name),
            LOG_STR ("service", target->record.service));
  mark_service_changed (registry, target->record.service);
  HASH_DEL (registry->targets, target);
  free (target);
}

static bool
is_same_record (const struct target_record *a, const struct target_record *b)
{
  return a->slots == b->slots && a->state == b->state
         && a->started_ms == b->started_ms
         && strcmp (a->service, b->service) == 0
         && strcmp (a->address, b->address) == 0 && strcmp (a->dc, b->dc) == 0;
}

/* An object that can't be read may have been written by another program, or
   by the target to announce that it leaves.  Requests sent to the address in
   the last readable record could reach the wrong process, so the target gets
   none. */
static void
reject_target (struct registry *registry, const char *name, const char *text)
{
  const struct registry_target *target = find_target (registry, name);
  const int64_t known_ms = target == NULL ? 0 : target->record.started_ms;
  if (target_refusals_add (&registry->refusals, name, text, known_ms))
    LOG_WARN ("target-refused", LOG_STR ("target", name),
              LOG_STR ("why", status_message ()));
  remove_target (registry, name);
}

/* Start time of the last known process of the target; 0: unknown. */
static int64_t
known_start_ms (const struct registry *registry, const char *name)
{
  const struct registry_target *target = find_target (registry, name);
  return target != NULL ? target->record.started_ms
                        : target_refusals_known_ms (registry->refusals, name);
}

/* A target reports its start time in each record or in none, so one without it
   is of another writer. */
static enum status
check_start_is_reported (const struct target_record *record, int64_t known_ms)
{
  if (record->started_ms != 0 || known_ms == 0)
    return STATUS_OK;
  return status_set (STATUS_INVALID,
                     "%s: started_ms: expected the start time, which earlier "
                     "records had, found nothing; add it",
                     record->name);
}

static void
store_target (struct registry *registry, struct registry_target *target,
              const struct target_record *record)
{
  if (target == NULL)
    {
      target = xcalloc (1, sizeof *target);
      target->record = *record;
      HASH_ADD_STR (registry->targets, record.name, target);
    }
  else
    mark_service_changed (registry, target->record.service);
  target->record = *record;
}

enum status
registry_apply_target (struct registry *registry, const char *name,
                       const char *text)
{
  struct target_record record;
  if (text == NULL)
    {
      target_refusals_remove (&registry->refusals, name);
      remove_target (registry, name);
      return STATUS_OK;
    }
  const int64_t known_ms = known_start_ms (registry, name);
  enum status status = target_record_parse (name, text, &record);
  if (status == STATUS_OK)
    status = check_start_is_reported (&record, known_ms);
  if (status != STATUS_OK)
    {
      reject_target (registry, name, text);
      return status;
    }
  /* A delayed write of an earlier process of the target can take effect after
     the record of its successor.  Accepting it would restore an outdated
     state. */
  if (record.started_ms < known_ms)
    {
      LOG_INFO ("target-outdated", LOG_STR ("target", name),
                LOG_INT ("started_ms", record.started_ms),
                LOG_INT ("known_started_ms", known_ms));
      return STATUS_REFUSED;
    }
  target_refusals_remove (&registry->refusals, name);
  struct registry_target *target = find_target (registry, name);
  if (target != NULL && is_same_record (&target->record, &record))
    return STATUS_OK;
  store_target (registry, target, &record);
  LOG_INFO ("target-registered", LOG_STR ("target", name),
            LOG_STR ("service", record.service),
            LOG_STR ("address", record.address),
            LOG_STR ("state", record.state == TARGET_STATE_ACTIVE ? "active"
                                                                  : "drained"),
            LOG_INT ("started_ms", record.started_ms));
  mark_service_changed (registry, record.service);
  return STATUS_OK;
}

const struct fleet_config *
registry_config (const struct registry *registry)
{
  return registry->config;
}

bool
registry_target_is_active (const struct registry *registry, const char *name)
{
  const struct registry_target *target = find_target (registry, name);
  return target != NULL && target->record.state == TARGET_STATE_ACTIVE;
}

size_t
registry_target_count (const struct registry *registry)
{
  return HASH_COUNT (registry->targets);
}
