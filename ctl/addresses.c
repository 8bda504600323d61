#include "ctl/addresses.h"

#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "ctl/json_member.h"
#include "ctl/table_printer.h"

enum
{
  HTTP_OK = 200,
};

/** The caller address of the host that responded, in new memory; NULL if its
 * table of hosts has none. */
static char *
find_caller_address (struct json_object *reply)
{
  const char *self = json_member_text (reply, "host");
  struct json_object *rows = json_member_array (reply, "rows");
  const size_t count = json_object_array_length (rows);
  for (size_t i = 0; i < count; i++)
    {
      struct json_object *row = json_object_array_get_idx (rows, i);
      const char *address = json_member_text (row, "caller_address");
      if (strcmp (json_member_text (row, "host"), self) == 0
          && address[0] != '\0')
        return xstrdup (address);
    }
  return NULL;
}

static enum status
request_addresses (const struct commands *commands, const char *address,
                   const char *service, struct client_reply *reply)
{
  char *escaped = client_escape (commands->client, service);
  char *path
      = xasprintf ("/.well-known/jaystair/addresses?service=%s", escaped);
  const enum status status
      = client_get_from (commands->client, address, path, reply);
  free (path);
  free (escaped);
  if (status != STATUS_OK || reply->http_code == HTTP_OK)
    return status;
  json_object_put (reply->body);
  return status_set (STATUS_NOT_FOUND,
                     "the host at %s returns no addresses for \"%s\": list "
                     "the services with \"show services\"",
                     address, service);
}

static void
print_addresses (const struct commands *commands, struct json_object *response)
{
  if (commands->json)
    {
      commands_print_json (commands, response);
      return;
    }
  struct json_object *addresses = json_member_array (response, "addresses");
  if (addresses != NULL)
    table_printer_print (commands->out, addresses);
  fprintf (commands->out, "-- callers keep this answer for %" PRId64 " ms\n",
           json_member_int (response, "keep_ms"));
}

enum exit_code
addresses_run (const struct commands *commands,
               const struct statement *statement)
{
  struct client_reply reply;
  const enum exit_code code = commands_read_table (commands, "hosts", &reply);
  if (code != EXIT_CODE_DONE)
    return code;
  char *address = find_caller_address (reply.body);
  json_object_put (reply.body);
  if (address == NULL)
    return commands_fail (
        commands, status_set (STATUS_NOT_FOUND,
                              "the host doesn't report its caller address: "
                              "ask another with --host"));
  const enum status status
      = request_addresses (commands, address, statement->service, &reply);
  free (address);
  if (status != STATUS_OK)
    return commands_fail (commands, status);
  print_addresses (commands, reply.body);
  json_object_put (reply.body);
  return EXIT_CODE_DONE;
}
