#include "node/operator/operator_answer.h"

#include <stdbool.h>

#include <microhttpd.h>

#include "node/json_row.h"
#include "node/operator/operator_request.h"

static void
add_version (struct json_object *object, const char *key, uint64_t version)
{
  if (version != OPERATOR_ANY_VERSION)
    json_object_object_add (object, key, json_object_new_uint64 (version));
}

struct json_object *
operator_answer_table (const struct operator_table_answer *answer)
{
  struct json_object *object = json_object_new_object ();
  json_row_text (object, "host", answer->host);
  json_row_text (object, "table", answer->table);
  json_object_object_add (object, "rows", answer->rows);
  json_row_number (object, "age_ms", answer->age_ms);
  json_object_object_add (object, "not_heard_from", answer->not_heard_from);
  return object;
}

struct json_object *
operator_answer_failure (const char *name, const char *message)
{
  struct json_object *object = json_object_new_object ();
  json_row_text (object, "status", name);
  json_row_text (object, "message", message);
  return object;
}

/* An operator who reads "not accepted" sends the command again, and it is done
   twice if the write had taken effect after all.  Where the outcome of the
   write isn't known for certain, the response has neither value. */
static bool
is_known (enum status status)
{
  return status == STATUS_OK || status == STATUS_REFUSED
         || status == STATUS_NOT_FOUND || status == STATUS_INVALID
         || status == STATUS_UNREACHABLE;
}

struct json_object *
operator_answer_command (const struct operator_command *command,
                         const struct operator_result *result)
{
  struct json_object *object = json_object_new_object ();
  json_row_text (object, "status", status_name (result->status));
  if (result->status != STATUS_OK)
    json_row_text (object, "message",
                   result->message == NULL ? "" : result->message);
  json_row_text (object, "command", operator_verb_name (command->verb));
  json_row_text (object, "service", command->service);
  if (command->target[0] != '\0')
    json_row_text (object, "target", command->target);
  if (is_known (result->status))
    json_row_flag (object, "accepted", result->status == STATUS_OK);
  add_version (object, "acted_on_version", result->acted_on_version);
  add_version (object, "version", result->version);
  if (result->changed != NULL)
    json_row_text (object, "changed", result->changed);
  return object;
}

void
operator_answer_add_in_force (struct json_object *answer,
                              const struct operator_in_force *report)
{
  struct json_object *object = json_object_new_object ();
  struct json_object *names = json_object_new_array ();
  for (size_t i = 0; i < report->not_heard_from_count; i++)
    json_object_array_add (names,
                           json_object_new_string (report->not_heard_from[i]));
  json_row_number (object, "hosts", report->hosts);
  json_row_number (object, "in_force", report->in_force);
  json_object_object_add (object, "not_heard_from", names);
  json_object_object_add (answer, "in_force", object);
}

unsigned int
operator_answer_http_code (enum status status)
{
  switch (status)
    {
    case STATUS_OK:
      return MHD_HTTP_OK;
    case STATUS_INVALID:
      return MHD_HTTP_BAD_REQUEST;
    case STATUS_NOT_FOUND:
      return MHD_HTTP_NOT_FOUND;
    case STATUS_REFUSED:
      return MHD_HTTP_CONFLICT;
    case STATUS_LOST_ANSWER:
    case STATUS_TIMEOUT:
      return MHD_HTTP_GATEWAY_TIMEOUT;
    case STATUS_UNREACHABLE:
    case STATUS_LIMIT:
    case STATUS_CANCELLED:
      return MHD_HTTP_SERVICE_UNAVAILABLE;
    case STATUS_SYSTEM:
      break;
    }
  return MHD_HTTP_INTERNAL_SERVER_ERROR;
}
