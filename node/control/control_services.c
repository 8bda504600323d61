#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include "base/hash.h"
#include "base/log.h"
#include "base/xmalloc.h"

struct control_service *
control_services_find (const struct control_task *task, const char *name)
{
  struct control_service *service;
  HASH_FIND_STR (task->services, name, service);
  return service;
}

void
control_services_remove (struct control_task *task, const char *name,
                         uint64_t version)
{
  struct control_service *service = control_services_find (task, name);
  if (service == NULL)
    return;
  struct bus_message message = { .topic = BUS_SERVICE_REMOVED,
                                 .service_removed = { .version = version } };
  strncpy (message.service_removed.name, name,
           sizeof message.service_removed.name - 1);
  bus_post (task->options.bus, &message);
  LOG_INFO ("service-removed", LOG_STR ("service", name),
            LOG_INT ("version", version));
  HASH_DEL (task->services, service);
  control_sets_free_service (service);
}

static uint64_t
required_rate (const struct service_spec *spec)
{
  uint64_t slots = 0;
  for (size_t i = 0; i < spec->target_count; i++)
    slots += spec->targets[i].slots;
  return host_set_required_rate (slots, spec->limits.goal_ms);
}

/* All services of a group have the same set. */
static void
reselect_group (struct control_task *task, uint64_t key)
{
  struct control_service *service;
  for (service = task->services; service != NULL; service = service->hh.next)
    if (service->key == key)
      service->fleet_generation = 0;
}

void
control_services_enforce (struct control_task *task, struct service_spec *spec)
{
  struct control_service *service = control_services_find (task, spec->name);
  if (service == NULL)
    {
      service = xcalloc (1, sizeof *service);
      memcpy (service->name, spec->name, sizeof service->name);
      HASH_ADD_STR (task->services, name, service);
    }
  const uint64_t key
      = hash_string (spec->group[0] != '\0' ? spec->group : spec->name);
  const uint64_t rate = required_rate (spec);
  if (service->key != key || service->rate != rate)
    {
      service->key = key;
      service->rate = rate;
      reselect_group (task, key);
    }
  service->version = spec->version;
  LOG_INFO ("service-in-force", LOG_STR ("service", spec->name),
            LOG_INT ("version", spec->version),
            LOG_INT ("targets", spec->target_count));
  const struct bus_message message = { .topic = BUS_SERVICE_IN_FORCE,
                                       .service_in_force = { .spec = spec } };
  bus_post (task->options.bus, &message);
  control_refresh_soon (task);
}
