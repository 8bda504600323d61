#include "node/caller/caller_rows.h"

#include "node/caller/poison_filter.h"
#include "node/json_row.h"

static const char *
target_state_name (const struct target_spec *target,
                   const struct caller_target *state)
{
  if (target->state == TARGET_STATE_DRAINED)
    return "drained";
  if (state->leaving)
    return "leaving";
  return state->ejected ? "ejected" : "active";
}

static struct json_object *
target_row (const struct caller_service *service, size_t i)
{
  const struct target_spec *target = &service->spec->targets[i];
  const struct caller_target *state = &service->targets[i];
  const struct policy_target_status status
      = service_policy_target_status (service->policy, (uint32_t)i);
  struct json_object *row = json_object_new_object ();
  json_row_text (row, "service", service->name);
  json_row_text (row, "target", target->name);
  json_row_text (row, "address", target->address);
  json_row_text (row, "dc", target->dc);
  json_row_text (row, "state", target_state_name (target, state));
  json_row_number (row, "in_flight", status.in_flight);
  json_row_number (row, "latency_us", status.latency_us);
  json_row_number (row, "failure_permille", status.failure_permille);
  json_row_number (row, "limit_millis", state->limit.rate_millis);
  json_row_flag (row, "suspect", status.suspect);
  json_row_flag (row, "warming", status.warming);
  json_row_flag (row, "ejected", status.ejected);
  json_row_number (row, "requests", (int64_t)status.requests);
  json_row_number (row, "failures", (int64_t)status.failures);
  return row;
}

static struct json_object *
target_rows (void *owner)
{
  const struct caller_context *context = owner;
  struct json_object *rows = json_object_new_array ();
  for (const struct caller_service *service = context->services;
       service != NULL; service = service->hh.next)
    for (size_t i = 0;
         service->spec != NULL && i < service->spec->target_count; i++)
      json_object_array_add (rows, target_row (service, i));
  return rows;
}

static struct json_object *
service_row (const struct caller_service *service)
{
  const struct service_spec *spec = service->spec;
  struct json_object *row = json_object_new_object ();
  json_row_text (row, "service", service->name);
  json_row_number (row, "version", (int64_t)spec->version);
  json_row_text (row, "prefer",
                 spec->prefer == SERVICE_PREFER_FASTER_DETECTION
                     ? "faster-detection"
                     : "fewer-false-ejections");
  json_row_text (row, "ejection",
                 spec->ejection_paused ? "paused" : "automatic");
  json_row_number (row, "floor_capacity", spec->floor_capacity);
  json_row_number (row, "targets", (int64_t)spec->target_count);
  json_row_number (row, "routes", (int64_t)spec->route_count);
  json_row_number (row, "hosts", (int64_t)service->host_count);
  json_row_number (row, "slot_share_permille", service->share.permille);
  json_row_number (row, "queued", service_policy_queued (service->policy));
  json_row_number (row, "in_use", service->ref_count - 1);
  return row;
}

static struct json_object *
service_rows (void *owner)
{
  const struct caller_context *context = owner;
  struct json_object *rows = json_object_new_array ();
  for (const struct caller_service *service = context->services;
       service != NULL; service = service->hh.next)
    if (service->spec != NULL)
      json_object_array_add (rows, service_row (service));
  return rows;
}

static struct json_object *
route_rows (void *owner)
{
  const struct caller_context *context = owner;
  return route_table_rows (context->routes);
}

static struct json_object *
decision_rows (void *owner)
{
  const struct caller_context *context = owner;
  return decision_ring_rows (&context->decisions);
}

static struct json_object *
poison_rows (void *owner)
{
  const struct caller_context *context = owner;
  return poison_filter_rows (context->poison);
}

void
caller_rows_register (struct tables *tables, struct caller_context *context)
{
  tables_register (tables, "targets", target_rows, context);
  tables_register (tables, "services", service_rows, context);
  tables_register (tables, "poison", poison_rows, context);
  tables_register (tables, "routes", route_rows, context);
  tables_register (tables, "decisions", decision_rows, context);
}
