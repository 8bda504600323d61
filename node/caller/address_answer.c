#include "node/caller/address_answer.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>

#include "base/xmalloc.h"
#include "node/caller/address_selection.h"
#include "node/caller/local_response.h"

enum
{
  TICKETS_PER_RESPONSE = 8,
  ADDRESSES_MAX = 64, /* more only make the response larger */
  NO_HOST_RETRY_AFTER_MS = 1000
};

bool
address_answer_matches_uri (const struct caller_context *context,
                            const char *uri)
{
  const char *path = context->interface->addresses_path;
  const size_t size = strlen (path);
  return strncmp (uri, path, size) == 0
         && (uri[size] == '\0' || uri[size] == '?');
}

static enum MHD_Result
queue_error (struct caller_context *context, struct MHD_Connection *connection,
             uint32_t status, const struct local_response *error)
{
  struct MHD_Response *response
      = local_response_create (error, context->interface, context->leaving);
  const enum MHD_Result result
      = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

/* Return the hosts of the set that may be listed as a new array of *COUNT. */
static struct bus_host_entry *
listable_hosts (const struct caller_context *context,
                const struct caller_service *service, size_t *count)
{
  struct bus_host_entry *listable
      = xcalloc (service->host_count + 1, sizeof *listable);
  *count = 0;
  for (size_t i = 0; i < service->host_count; i++)
    {
      const struct bus_host_entry *host = &service->hosts[i];
      const bool self = strcmp (host->name, context->settings->name) == 0;
      if (host->caller_address[0] != '\0' && !(self && context->leaving))
        listable[(*count)++] = *host;
    }
  return listable;
}

/* Prevents herding: if all callers got the same order, all would use the
   first host.  Each response therefore starts with another one.
   @return the body of the response; NULL if there is no host to list */
static struct json_object *
format_hosts (struct caller_context *context,
              const struct caller_service *service, const char *caller_dc)
{
  const struct host_settings *settings = context->settings;
  struct address_entry entries[ADDRESSES_MAX];
  const struct bus_host_entry *selected[ADDRESSES_MAX];
  struct address_selection_options options
      = { .caller_dc = caller_dc,
          .rotation = context->address_answer_count++ };
  struct bus_host_entry *listable
      = listable_hosts (context, service, &options.count);
  options.hosts = listable;
  struct address_list list
      = { .service = service->name,
          .entries = entries,
          .count = address_selection_fill (&options, selected, ADDRESSES_MAX),
          .keep_ms = host_settings_keep_answer_ms (settings) };
  for (size_t i = 0; i < list.count; i++)
    entries[i] = (struct address_entry){ selected[i]->caller_address,
                                         selected[i]->dc };
  if (service->host_count == 0 && !context->leaving)
    entries[list.count++]
        = (struct address_entry){ context->own_address, settings->dc };
  struct json_object *body
      = list.count > 0 ? context->interface->format_addresses (&list) : NULL;
  free (listable);
  return body;
}

static struct json_object *
issue_tickets (struct caller_context *context,
               const struct caller_service *service)
{
  struct json_object *tickets = json_object_new_array ();
  if (!service->has_unrepeatable_route || context->leaving)
    return tickets;
  char text[TICKET_TEXT_SIZE];
  for (int i = 0; i < TICKETS_PER_RESPONSE; i++)
    if (ticket_issuer_issue (context->tickets, text) == STATUS_OK)
      json_object_array_add (tickets, json_object_new_string (text));
  return tickets;
}

static enum MHD_Result
queue_json (struct caller_context *context, struct MHD_Connection *connection,
            struct json_object *body)
{
  const char *text
      = json_object_to_json_string_ext (body, JSON_C_TO_STRING_PLAIN);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)(uintptr_t)text, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "Cache-Control", "no-store");
  if (context->leaving)
    MHD_add_response_header (response, "Connection", "close");
  const enum MHD_Result result
      = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  json_object_put (body);
  return result;
}

static const char *
query_parameter (struct MHD_Connection *connection, const char *name)
{
  return MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);
}

static enum MHD_Result
queue_addresses (struct caller_context *context,
                 struct MHD_Connection *connection,
                 const struct caller_service *service)
{
  const struct caller_interface *interface = context->interface;
  struct json_object *body = format_hosts (
      context, service, query_parameter (connection, interface->dc_parameter));
  if (body == NULL)
    {
      const struct local_response error
          = { .outcome = REQUEST_OUTCOME_NOT_RUN,
              .reason = "no-host",
              .message = "no host can be handed out now: ask another host",
              .retry_after_ms = NO_HOST_RETRY_AFTER_MS };
      return queue_error (context, connection, MHD_HTTP_SERVICE_UNAVAILABLE,
                          &error);
    }
  if (interface->has_tickets)
    {
      json_object_object_add (body, "tickets",
                              issue_tickets (context, service));
      json_object_object_add (body, "ticket_address",
                              json_object_new_string (context->own_address));
    }
  counter_add (context->counters.address_answers, 1);
  return queue_json (context, connection, body);
}

static bool
has_service_parameter (const struct caller_context *context,
                       struct MHD_Connection *connection)
{
  const struct caller_interface *interface = context->interface;
  return query_parameter (connection, interface->service_parameter) != NULL
         || query_parameter (connection, interface->host_parameter) != NULL;
}

/* A host name that no route has (yet) gets any service of the configuration,
   since every host takes requests for all services. */
static const struct caller_service *
requested_service (const struct caller_context *context,
                   struct MHD_Connection *connection)
{
  const struct caller_interface *interface = context->interface;
  const char *name
      = query_parameter (connection, interface->service_parameter);
  if (name != NULL)
    return caller_context_service (context, name);
  const char *host = query_parameter (connection, interface->host_parameter);
  if (host == NULL)
    return NULL;
  name = route_table_find_service_by_host (context->routes, host);
  if (name == NULL && context->config != NULL
      && context->config->service_count > 0)
    name = context->config->services[0].name;
  return name != NULL ? caller_context_service (context, name) : NULL;
}

enum MHD_Result
address_answer_queue (struct caller_context *context,
                      struct MHD_Connection *connection, const char *method)
{
  struct local_response error = { .outcome = REQUEST_OUTCOME_NOT_RUN };
  if (strcmp (method, "GET") != 0)
    {
      error.reason = "method";
      strcpy (error.message, "addresses are asked for with GET");
      return queue_error (context, connection, MHD_HTTP_METHOD_NOT_ALLOWED,
                          &error);
    }
  if (!has_service_parameter (context, connection))
    {
      error.reason = "no-service";
      snprintf (error.message, sizeof error.message,
                "name the service: ?%s=NAME, or the host of its requests: "
                "?%s=NAME",
                context->interface->service_parameter,
                context->interface->host_parameter);
      return queue_error (context, connection, MHD_HTTP_BAD_REQUEST, &error);
    }
  const struct caller_service *service
      = requested_service (context, connection);
  if (service != NULL)
    return queue_addresses (context, connection, service);
  if (context->settings->modes.has_registry && context->config == NULL)
    return queue_error (
        context, connection, MHD_HTTP_SERVICE_UNAVAILABLE,
        &(struct local_response){ .outcome = REQUEST_OUTCOME_NOT_RUN,
                                  .reason = "no-settings",
                                  .message
                                  = "this host doesn't know its settings yet: "
                                    "ask another host",
                                  .retry_after_ms = NO_HOST_RETRY_AFTER_MS });
  error.reason = "unknown-service";
  snprintf (error.message, sizeof error.message,
            "no service in force at this host was named by ?%s=NAME or "
            "?%s=NAME: check the name or declare the service",
            context->interface->service_parameter,
            context->interface->host_parameter);
  return queue_error (context, connection, MHD_HTTP_NOT_FOUND, &error);
}
