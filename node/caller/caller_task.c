#define LOG_MODULE "caller"

#include "node/caller/caller_task.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/clock.h"
#include "base/log.h"
#include "base/rng.h"
#include "base/xmalloc.h"
#include "node/caller/caller_context.h"
#include "node/caller/caller_cost.h"
#include "node/caller/caller_leave.h"
#include "node/caller/caller_rows.h"
#include "node/caller/address_answer.h"
#include "node/caller/caller_server.h"
#include "node/caller/crash_check.h"
#include "node/caller/exchange.h"
#include "node/caller/exchange_access.h"
#include "node/caller/exchange_contact.h"
#include "node/caller/exchange_leave.h"
#include "node/caller/exchange_quota.h"
#include "node/caller/leaving_probe.h"
#include "node/caller/poison_filter.h"
#include "node/caller/reach_check.h"
#include "node/caller/retry_transfer.h"
#include "node/caller/target_limits.h"
#include "node/plain_server.h"
#include "node/tables.h"

enum
{
  /** A host that has known no target for this long counts as ready. */
  TARGET_WAIT_MAX_MS = 3000,
};

struct caller_task
{
  struct caller_context context;
  struct bus *bus;
  struct tables *tables;
  struct plain_server *address_server; /* NULL: at the caller address only */
  struct leaving_probe *probe;
  uint64_t seed;
  struct caller_leave *leave;
};

static struct caller_service *
find_service (const struct caller_context *context, const char *name)
{
  struct caller_service *service;
  HASH_FIND_STR (context->services, name, service);
  return service;
}

struct caller_service *
caller_context_service (const struct caller_context *context, const char *name)
{
  struct caller_service *service = find_service (context, name);
  return service != NULL && service->spec != NULL ? service : NULL;
}

/* Creates the service if needed, since its hosts and ejections may be received
   before its spec. */
static struct caller_service *
get_or_create_service (struct caller_task *task, const char *name)
{
  struct caller_context *context = &task->context;
  struct caller_service *service = find_service (context, name);
  if (service != NULL)
    return service;
  service = caller_service_create (context->loop, name, context->settings->dc,
                                   context->settings, task->seed);
  HASH_ADD_STR (context->services, name, service);
  return service;
}

static void
remove_service (struct caller_context *context, struct caller_service *service)
{
  route_table_remove_service (context->routes, service->name);
  HASH_DEL (context->services, service);
  caller_service_remove (service);
}

static void
on_service_in_force (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  const struct service_spec *spec = message->service_in_force.spec;
  struct caller_service *service = get_or_create_service (task, spec->name);
  if (service->spec != NULL && spec->version < service->spec->version)
    return;
  caller_service_set_spec (service, spec);
  caller_cost_update_services (&task->context);
  route_table_set_service (task->context.routes, spec);
  if (task->context.first_service_us == 0)
    task->context.first_service_us = clock_now_us ();
  exchange_resume_all (&task->context, EXCHANGE_WAIT_SETTINGS);
}

static void
on_service_removed (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  const struct bus_service_removed *removed = &message->service_removed;
  struct caller_service *service
      = find_service (&task->context, removed->name);
  if (service == NULL || service->spec == NULL
      || removed->version < service->spec->version)
    return;
  remove_service (&task->context, service);
}

static void
on_config (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  struct caller_context *context = &task->context;
  const struct fleet_config *config = message->config_in_force.config;
  workspace_table_destroy (context->workspaces);
  if (context->config == NULL)
    context->first_config_ms = clock_now_ms ();
  fleet_config_destroy (context->config);
  context->config = fleet_config_copy (config);
  context->workspaces = workspace_table_create (context->config);
  freshness_set_version_in_force (&context->freshness,
                                  context->config->version);
  route_table_set_config (context->routes, config, task->seed);
  caller_cost_update_services (context);
  exchange_resume_all (context, EXCHANGE_WAIT_SETTINGS);
}

static void
on_quota_granted (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  const struct bus_quota *quota = &message->quota;
  quota_client_receive_grant (task->context.quotas, quota->workspace,
                              &quota->answer);
  exchange_quota_resume_all (&task->context, quota->workspace);
}

static void
on_freshness (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  struct caller_context *context = &task->context;
  freshness_add_proof (&context->freshness, &message->freshness);
  exchange_access_resume_all (context);
}

static void
on_contact (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  exchange_contact_receive (&task->context, message->contact.at_ms);
}

static void
on_poison_received (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  poison_filter_receive (task->context.poison, &message->poison);
}

static void
on_limits_received (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  target_limits_receive (&task->context, &message->limits);
}

static void
on_retries_requested (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  retry_transfer_send (&task->context, &message->retries);
}

static void
on_retries_received (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  retry_transfer_receive (&task->context, &message->retries);
}

static void
on_host_set (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  const struct bus_host_set *set = &message->host_set;
  host_directory_update (task->context.host_directory, set);
  caller_service_set_hosts (get_or_create_service (task, set->service), set);
}

static void
on_host_sample (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  host_directory_set_sample (task->context.host_directory, &message->host_set);
}

static void
on_slot_shares (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  const struct bus_slot_shares *shares = &message->slot_shares;
  caller_service_set_share (get_or_create_service (task, shares->service),
                            &shares->share);
}

static void
on_path_faults (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  const struct bus_path_faults *faults = &message->path_faults;
  struct caller_service *service
      = find_service (&task->context, faults->service);
  if (service != NULL)
    caller_service_set_path_faults (service, faults);
}

static void
on_outcome_received (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  const struct bus_outcome *outcome = &message->outcome;
  struct caller_service *service
      = find_service (&task->context, outcome->service);
  if (service != NULL)
    caller_service_record_remote_outcome (service, outcome->target_key,
                                          outcome->end);
}

static void
on_ejections (void *owner, const struct bus_message *message)
{
  struct caller_task *task = owner;
  struct caller_service *service
      = find_service (&task->context, message->ejections.service);
  if (service != NULL)
    caller_service_set_ejections (service, &message->ejections);
}

static void
subscribe (struct caller_task *task)
{
  bus_subscribe (task->bus, BUS_SERVICE_IN_FORCE, on_service_in_force, task);
  bus_subscribe (task->bus, BUS_SERVICE_REMOVED, on_service_removed, task);
  bus_subscribe (task->bus, BUS_CONFIG_IN_FORCE, on_config, task);
  bus_subscribe (task->bus, BUS_FRESHNESS, on_freshness, task);
  bus_subscribe (task->bus, BUS_CONTACT, on_contact, task);
  bus_subscribe (task->bus, BUS_QUOTA_GRANTED, on_quota_granted, task);
  bus_subscribe (task->bus, BUS_POISON_RECEIVED, on_poison_received, task);
  bus_subscribe (task->bus, BUS_LIMITS_RECEIVED, on_limits_received, task);
  bus_subscribe (task->bus, BUS_HOST_SET, on_host_set, task);
  bus_subscribe (task->bus, BUS_HOST_SAMPLE, on_host_sample, task);
  bus_subscribe (task->bus, BUS_EJECTIONS, on_ejections, task);
  bus_subscribe (task->bus, BUS_OUTCOME_RECEIVED, on_outcome_received, task);
  bus_subscribe (task->bus, BUS_SLOT_SHARES, on_slot_shares, task);
  bus_subscribe (task->bus, BUS_PATH_FAULTS, on_path_faults, task);
  bus_subscribe (task->bus, BUS_RETRIES_REQUESTED, on_retries_requested, task);
  bus_subscribe (task->bus, BUS_RETRIES_RECEIVED, on_retries_received, task);
}

static void
init_context (struct caller_context *context,
              const struct caller_task_options *options)
{
  const struct curl_loop_options curl = { 0 };
  context->loop = options->loop;
  context->started_us = clock_now_us ();
  context->bus = options->bus;
  context->settings = options->settings;
  context
      ->interface = options->interface != NULL ? options->interface : &caller_interface_own;
  context->curl = curl_loop_create (options->loop, &curl);
  context->routes = route_table_create ();
  freshness_init (&context->freshness);
  context->quotas = quota_client_create (options->bus);
  context->host_directory = host_directory_create ();
  context->tickets
      = ticket_issuer_create (options->settings->name, options->incarnation);
  caller_counters_init (&context->counters, options->counters);
  context->reach_check = reach_check_create (context);
  context->crash_checks = crash_checks_create (context);
  context->poison = poison_filter_create (context);
  target_limits_start (context);
}

static enum MHD_Result
on_directory_request (void *owner, struct MHD_Connection *connection,
                      const char *path, const char *method)
{
  struct caller_task *task = owner;
  if (address_answer_matches_uri (&task->context, path))
    return address_answer_queue (&task->context, connection, method);
  return plain_server_respond (connection, MHD_HTTP_NOT_FOUND, "text/plain",
                               "ask for addresses here\n");
}

static enum status
create_address_server (struct caller_task *task)
{
  const char *address = task->context.settings->directory_address;
  const struct plain_server_options options = {
    .loop = task->context.loop,
    .address = address,
    .what = "directory",
    .answer = on_directory_request,
    .owner = task,
  };
  if (address[0] == '\0')
    return STATUS_OK;
  return plain_server_create (&options, &task->address_server);
}

struct caller_task *
caller_task_create (const struct caller_task_options *options)
{
  struct caller_task *task = xcalloc (1, sizeof *task);
  task->bus = options->bus;
  task->tables = options->tables;
  task->seed = options->seed;
  if (task->seed == 0)
    rng_secure_bytes (&task->seed, sizeof task->seed);
  init_context (&task->context, options);
  task->leave = caller_leave_create (&task->context);
  task->context.server = caller_server_create (&task->context);
  if (task->context.server == NULL
      || create_address_server (task) != STATUS_OK)
    {
      caller_task_destroy (task);
      return NULL;
    }
  if (task->context.interface->leaving != NULL
      && !task->context.interface->leaving_is_final)
    task->probe = leaving_probe_create (&task->context);
  subscribe (task);
  if (task->tables != NULL)
    caller_rows_register (task->tables, &task->context);
  const char *address = task->context.own_address;
  LOG_INFO ("listening", LOG_STR ("address", address));
  return task;
}

void
caller_task_destroy (struct caller_task *task)
{
  if (task == NULL)
    return;
  struct caller_context *context = &task->context;
  bus_unsubscribe (task->bus, task);
  if (task->tables != NULL)
    tables_unregister (task->tables, context);
  caller_leave_destroy (task->leave);
  leaving_probe_destroy (task->probe);
  plain_server_destroy (task->address_server);
  caller_server_destroy (task->context.server);
  curl_loop_destroy (context->curl);
  crash_checks_destroy (context->crash_checks);
  reach_check_destroy (context->reach_check);
  poison_filter_destroy (context->poison);
  target_limits_stop (context);
  struct caller_service *service;
  struct caller_service *next;
  HASH_ITER (hh, context->services, service, next)
  {
    remove_service (context, service);
  }
  ticket_issuer_destroy (context->tickets);
  host_directory_destroy (context->host_directory);
  route_table_destroy (context->routes);
  quota_client_destroy (context->quotas);
  workspace_table_destroy (context->workspaces);
  fleet_config_destroy (context->config);
  free (task);
}

const char *
caller_task_address (const struct caller_task *task)
{
  return task->context.own_address;
}

void
caller_task_begin_leaving (struct caller_task *task,
                           caller_task_left_callback *done, void *owner)
{
  caller_leave_begin (task->leave, done, owner);
}

void
caller_task_set_leave_times (struct caller_task *task,
                             const struct leave_times *times)
{
  task->context.leave_times = *times;
}

bool
caller_task_answer_early_now (struct caller_task *task)
{
  struct exchange *x;
  struct exchange *next;
  uint32_t late_count = 0;
  DL_FOREACH_SAFE (task->context.exchanges, x, next)
  {
    if (!exchange_leave_was_sent_late (x))
      exchange_abort_pending (x);
    else if (x->state == EXCHANGE_WAITING || x->state == EXCHANGE_SENT)
      late_count++;
  }
  LOG_INFO ("giving-up", LOG_INT ("in_flight", task->context.in_flight),
            LOG_INT ("sent_late", late_count));
  if (late_count > 0)
    caller_leave_hurry (task->leave);
  return late_count > 0;
}

void
caller_task_answer_all_now (struct caller_task *task)
{
  struct exchange *x;
  struct exchange *next;
  LOG_INFO ("giving-up", LOG_INT ("in_flight", task->context.in_flight));
  caller_leave_hurry (task->leave);
  DL_FOREACH_SAFE (task->context.exchanges, x, next)
  {
    exchange_abort_pending (x);
  }
}

static bool
has_targets (const struct caller_context *context)
{
  const struct caller_service *service;
  for (service = context->services; service != NULL;
       service = service->hh.next)
    if (service->spec != NULL && service->spec->target_count > 0)
      return true;
  return false;
}

/* Targets arrive separately from the configuration, and shortly after it. */
static bool
has_registry_settings (const struct caller_context *context)
{
  return context->config != NULL
         && (has_targets (context)
             || clock_now_ms () - context->first_config_ms
                    >= TARGET_WAIT_MAX_MS);
}

bool
caller_task_is_ready (const struct caller_task *task)
{
  const struct caller_context *context = &task->context;
  const bool has_settings = !context->settings->modes.has_registry
                            || has_registry_settings (context);
  return has_settings && !context->leaving;
}

uint32_t
caller_task_in_flight (const struct caller_task *task)
{
  return task->context.in_flight;
}

uint32_t
caller_task_connection_count (const struct caller_task *task)
{
  return caller_server_connection_count (task->context.server);
}

struct detection_recorder *
caller_task_recorder (struct caller_task *task, const char *name)
{
  const struct caller_service *service
      = caller_context_service (&task->context, name);
  return service != NULL ? service->recorder : NULL;
}

bool
caller_task_clear_poison (struct caller_task *task,
                          const struct fingerprint *fingerprint)
{
  return poison_filter_clear_manually (task->context.poison, fingerprint);
}

uint32_t
caller_task_demand (struct caller_task *task, const char *name)
{
  const struct caller_service *service
      = caller_context_service (&task->context, name);
  return service != NULL ? caller_service_demand (service) : 0;
}
