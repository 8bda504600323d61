#include "node/caller/address_answer.h"

#include <stdio.h>
#include <string.h>

#include <json-c/json.h>

#include "node/caller/own_answer.h"

enum
{
  TICKETS_A_QUESTION = 8,
  NO_HOST_RETRY_AFTER_MS = 1000
};

bool
address_answer_asked (const char *uri)
{
  static const char path[] = ADDRESS_ANSWER_PATH;
  const size_t size = sizeof path - 1;
  return strncmp (uri, path, size) == 0
         && (uri[size] == '\0' || uri[size] == '?');
}

static enum MHD_Result
refuse (struct caller_context *context, struct MHD_Connection *connection,
        uint32_t status, const struct own_answer *own)
{
  struct MHD_Response *response = own_answer_response (own, context->leaving);
  const enum MHD_Result result
      = MHD_queue_response (connection, status, response);
  MHD_destroy_response (response);
  return result;
}

static void
add_address (struct json_object *addresses, const char *address,
             const char *dc)
{
  struct json_object *entry = json_object_new_object ();
  json_object_object_add (entry, "address", json_object_new_string (address));
  json_object_object_add (entry, "dc", json_object_new_string (dc));
  json_object_array_add (addresses, entry);
}

/* Guards against herding: if all callers got the same order, all would use
   the first host.  Each answer begins with another one. */
static struct json_object *
address_list (struct caller_context *context,
              const struct caller_service *service)
{
  const struct host_settings *settings = context->settings;
  struct json_object *addresses = json_object_new_array ();
  const size_t count = service->host_count;
  const size_t first = context->address_answers++;
  for (size_t i = 0; i < count; i++)
    {
      const struct bus_set_host *host = &service->hosts[(first + i) % count];
      const bool self = strcmp (host->name, settings->name) == 0;
      if (host->caller_address[0] != '\0' && !(self && context->leaving))
        add_address (addresses, host->caller_address, host->dc);
    }
  if (count == 0 && !context->leaving)
    add_address (addresses, context->own_address, settings->dc);
  return addresses;
}

static struct json_object *
ticket_list (struct caller_context *context,
             const struct caller_service *service)
{
  struct json_object *tickets = json_object_new_array ();
  if (!service->has_unrepeatable || context->leaving)
    return tickets;
  char text[TICKET_TEXT_SIZE];
  for (int i = 0; i < TICKETS_A_QUESTION; i++)
    if (ticket_desk_issue (context->tickets, text) == STATUS_OK)
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

static enum MHD_Result
answer (struct caller_context *context, struct MHD_Connection *connection,
        const struct caller_service *service)
{
  struct json_object *addresses = address_list (context, service);
  if (json_object_array_length (addresses) == 0)
    {
      json_object_put (addresses);
      const struct own_answer own
          = { .outcome = ANSWER_NOT_RUN,
              .reason = "no-host",
              .message = "no host can be handed out now: ask another host",
              .retry_after_ms = NO_HOST_RETRY_AFTER_MS };
      return refuse (context, connection, MHD_HTTP_SERVICE_UNAVAILABLE, &own);
    }
  struct json_object *body = json_object_new_object ();
  json_object_object_add (body, "service",
                          json_object_new_string (service->name));
  json_object_object_add (body, "addresses", addresses);
  json_object_object_add (
      body, "keep_ms",
      json_object_new_int64 (context->settings->limits.keep_answer_ms));
  json_object_object_add (body, "tickets", ticket_list (context, service));
  json_object_object_add (body, "ticket_address",
                          json_object_new_string (context->own_address));
  counter_add (context->counters.address_answers, 1);
  return queue_json (context, connection, body);
}

enum MHD_Result
address_answer_queue (struct caller_context *context,
                      struct MHD_Connection *connection, const char *method)
{
  struct own_answer own = { .outcome = ANSWER_NOT_RUN };
  if (strcmp (method, "GET") != 0)
    {
      own.reason = "method";
      strcpy (own.message, "addresses are asked for with GET");
      return refuse (context, connection, MHD_HTTP_METHOD_NOT_ALLOWED, &own);
    }
  const char *name = MHD_lookup_connection_value (
      connection, MHD_GET_ARGUMENT_KIND, "service");
  if (name == NULL)
    {
      own.reason = "no-service";
      strcpy (own.message, "name the service: ?service=NAME");
      return refuse (context, connection, MHD_HTTP_BAD_REQUEST, &own);
    }
  const struct caller_service *service
      = caller_context_service (context, name);
  if (service != NULL)
    return answer (context, connection, service);
  own.reason = "unknown-service";
  snprintf (own.message, sizeof own.message,
            "service \"%.64s\" is not in force at this host: check the name "
            "or declare the service",
            name);
  return refuse (context, connection, MHD_HTTP_NOT_FOUND, &own);
}
