#include "node/caller/local_response.h"

#include <stdio.h>
#include <string.h>

#include "base/json_text.h"

enum
{
  BODY_SIZE = 512,
  NUMBER_SIZE = 24,
  FIELDS_MAX = 4,
  FIELD_LINES_SIZE = 256,
  ID_LINE_SIZE = 512,
  MS_PER_SECOND = 1000
};

const char *
request_outcome_name (enum request_outcome outcome)
{
  static const char *const names[] = { [REQUEST_OUTCOME_NOT_RUN] = "not-run",
                                       [REQUEST_OUTCOME_UNKNOWN] = "unknown",
                                       [REQUEST_OUTCOME_RAN] = "ran" };
  return names[outcome];
}

static size_t
format_body (const struct local_response *local, char text[BODY_SIZE])
{
  char message[BODY_SIZE - 128];
  json_text_quote (message, sizeof message, local->message);
  const int size = snprintf (
      text, BODY_SIZE,
      "{\"outcome\":\"%s\",\"reason\":\"%s\",\"message\":%s}\n",
      request_outcome_name (local->outcome), local->reason, message);
  return (size_t)size < BODY_SIZE ? (size_t)size : BODY_SIZE - 1;
}

/* One header field. */
struct response_field
{
  const char *name;
  char value[NUMBER_SIZE];
};

static void
set_number (struct response_field *field, const char *name, uint32_t number)
{
  field->name = name;
  snprintf (field->value, sizeof field->value, "%u", number);
}

static void
set_retry_after (struct response_field *field, uint32_t after_ms,
                 bool has_decimals)
{
  if (!has_decimals)
    {
      set_number (field, "Retry-After",
                  (after_ms + MS_PER_SECOND - 1) / MS_PER_SECOND);
      return;
    }
  field->name = "Retry-After";
  snprintf (field->value, sizeof field->value, "%u.%03u",
            after_ms / MS_PER_SECOND, after_ms % MS_PER_SECOND);
}

/* Fills FIELDS with the header fields that differ between responses and
   returns their number. */
static size_t
response_fields (const struct local_response *local,
                 const struct caller_interface *interface,
                 struct response_field fields[FIELDS_MAX])
{
  size_t count = 0;
  if (interface->outcome != NULL)
    {
      fields[count].name = interface->outcome;
      snprintf (fields[count++].value, NUMBER_SIZE, "%s",
                request_outcome_name (local->outcome));
    }
  if (local->has_challenge)
    {
      fields[count].name = "WWW-Authenticate";
      snprintf (fields[count++].value, NUMBER_SIZE, "Bearer");
    }
  if (local->retry_after_ms == 0)
    return count;
  set_retry_after (&fields[count++], local->retry_after_ms,
                   interface->retry_after_has_decimals);
  if (interface->retry_after_ms != NULL)
    set_number (&fields[count++], interface->retry_after_ms,
                local->retry_after_ms);
  return count;
}

struct MHD_Response *
local_response_create (const struct local_response *local,
                       const struct caller_interface *interface, bool close)
{
  char body[BODY_SIZE];
  struct response_field fields[FIELDS_MAX];
  const size_t size = format_body (local, body);
  const size_t count = response_fields (local, interface, fields);
  struct MHD_Response *response
      = MHD_create_response_from_buffer (size, body, MHD_RESPMEM_MUST_COPY);
  MHD_add_response_header (response, "Content-Type", "application/json");
  MHD_add_response_header (response, "Cache-Control", "no-store");
  for (size_t i = 0; i < count; i++)
    MHD_add_response_header (response, fields[i].name, fields[i].value);
  if (close)
    MHD_add_response_header (response, "Connection", "close");
  return response;
}

size_t
local_response_format (const struct local_response *local,
                       const struct caller_interface *interface,
                       const char *id, char text[LOCAL_RESPONSE_TEXT_SIZE])
{
  char body[BODY_SIZE];
  char lines[FIELD_LINES_SIZE] = "";
  char id_line[ID_LINE_SIZE] = "";
  struct response_field fields[FIELDS_MAX];
  const size_t size = format_body (local, body);
  const size_t count = response_fields (local, interface, fields);
  size_t used = 0;
  for (size_t i = 0; i < count && used < sizeof lines; i++)
    used += (size_t)snprintf (lines + used, sizeof lines - used, "%s: %s\r\n",
                              fields[i].name, fields[i].value);
  if (id != NULL
      && strlen (interface->request_id) + strlen (id) + sizeof ": \r\n"
             <= sizeof id_line)
    snprintf (id_line, sizeof id_line, "%s: %s\r\n", interface->request_id,
              id);
  const int total
      = snprintf (text, LOCAL_RESPONSE_TEXT_SIZE,
                  "HTTP/1.1 %u %s\r\nContent-Type: application/json\r\n"
                  "Cache-Control: no-store\r\n%s%sConnection: close\r\n"
                  "Content-Length: %zu\r\n\r\n%s",
                  local->status, MHD_get_reason_phrase_for (local->status),
                  id_line, lines, size, body);
  return (size_t)total < LOCAL_RESPONSE_TEXT_SIZE ? (size_t)total : 0;
}
