#define LOG_MODULE "control"

#include "node/control/control_internal.h"

#include "base/log.h"

static void
on_service (void *owner, const struct service_spec *spec)
{
  control_services_enforce (owner, service_spec_copy (spec));
}

static void
on_service_removed (void *owner, const char *name, uint64_t version)
{
  control_services_remove (owner, name, version);
}

static void
on_config (void *owner, const struct fleet_config *config)
{
  struct control_task *task = owner;
  const struct bus_message message
      = { .topic = BUS_CONFIG_IN_FORCE,
          .config_in_force = { .config = fleet_config_copy (config) } };
  bus_post (task->options.bus, &message);
  control_freshness_set_version_in_force (task, config->version);
  LOG_INFO ("config-in-force", LOG_INT ("version", config->version));
}

void
control_registry_create (struct control_task *task)
{
  static const struct registry_events events = {
    .service = on_service,
    .config = on_config,
    .service_removed = on_service_removed,
  };
  const struct host_settings *settings = task->options.settings;
  struct service_spec defaults;
  if (!settings->modes.has_registry)
    return;
  service_spec_defaults (&defaults);
  defaults.limits.retry_percent = settings->retry.percent;
  defaults.limits.connect_timeout_ms = settings->limits.target_connect_ms;
  const struct registry_options options = {
    .loop = task->options.loop,
    .events = &events,
    .owner = task,
    .limits = defaults.limits,
    .prefer = defaults.prefer,
  };
  task->registry = registry_create (&options);
}

enum status
control_registry_apply_config (struct control_task *task, const char *name,
                               uint64_t version, const char *value)
{
  if (strcmp (name, PLATFORM_CONFIG_NAME) != 0)
    return STATUS_NOT_FOUND;
  if (value != NULL)
    {
      const enum status status
          = registry_apply_config (task->registry, name, value);
      if (status == STATUS_OK)
        control_startup_note_config (task);
      return status;
    }
  LOG_WARN ("config-removed", LOG_INT ("version", version),
            LOG_STR ("in-force", "the previous configuration"));
  return STATUS_NOT_FOUND;
}

void
control_registry_apply_target (struct control_task *task, const char *name,
                               uint64_t version, const char *value)
{
  registry_apply_target (task->registry, name, value);
}
