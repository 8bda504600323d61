#include "node/caller/caller_interface.h"

static struct json_object *
format_entries (const struct address_list *list)
{
  struct json_object *entries = json_object_new_array ();
  for (size_t i = 0; i < list->count; i++)
    {
      struct json_object *entry = json_object_new_object ();
      json_object_object_add (
          entry, "address", json_object_new_string (list->entries[i].address));
      json_object_object_add (entry, "dc",
                              json_object_new_string (list->entries[i].dc));
      json_object_array_add (entries, entry);
    }
  return entries;
}

static struct json_object *
format_addresses (const struct address_list *list)
{
  struct json_object *body = json_object_new_object ();
  json_object_object_add (body, "service",
                          json_object_new_string (list->service));
  json_object_object_add (body, "addresses", format_entries (list));
  json_object_object_add (body, "keep_ms",
                          json_object_new_int64 (list->keep_ms));
  return body;
}

const struct caller_interface caller_interface_own = {
  .request_id = "X-Request-Id",
  .deadline_ms = "Jaystair-Deadline-Ms",
  .outcome = "Jaystair-Outcome",
  .not_run = "Jaystair-Outcome",
  .not_run_value = "not-run",
  .workspace = "Jaystair-Workspace",
  .retry_after_ms = "Jaystair-Retry-After-Ms",
  .target_limit = "Jaystair-Limit",
  .leaving = "Jaystair-Leaving",
  .addresses_path = "/.well-known/jaystair/addresses",
  .service_parameter = "service",
  .host_parameter = "host",
  .dc_parameter = "dc",
  .format_addresses = format_addresses,
  .has_tickets = true,
  .readiness_path = "/readiness",
};
