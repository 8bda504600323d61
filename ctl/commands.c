#include "ctl/commands.h"

#include <inttypes.h>
#include <stdlib.h>

#include "base/xmalloc.h"
#include "ctl/addresses.h"
#include "ctl/explain_target.h"
#include "ctl/json_member.h"
#include "ctl/explain_request.h"
#include "ctl/show.h"
#include "ctl/table_printer.h"

enum
{
  HTTP_OK = 200,
  HTTP_UNAUTHORIZED = 401,
  HTTP_NOT_FOUND = 404,
  HTTP_CONFLICT = 409,
  HTTP_CLIENT_ERRORS = 400,
  HTTP_SERVER_ERRORS = 500,
  HTTP_UNAVAILABLE = 503,
};

static const double MS_PER_SECOND = 1000.0;

enum exit_code
commands_fail (const struct commands *commands, enum status status)
{
  fprintf (commands->errors, "jaystair: %s\n", status_message ());
  switch (status)
    {
    case STATUS_OK:
      return EXIT_CODE_DONE;
    case STATUS_REFUSED:
      return EXIT_CODE_CONFLICT;
    case STATUS_UNREACHABLE:
      return EXIT_CODE_UNREACHABLE;
    case STATUS_NOT_FOUND:
      return EXIT_CODE_NOT_FOUND;
    case STATUS_LOST_ANSWER:
    case STATUS_TIMEOUT:
      return EXIT_CODE_UNKNOWN;
    case STATUS_INVALID:
    case STATUS_LIMIT:
    case STATUS_CANCELLED:
    case STATUS_SYSTEM:
      break;
    }
  return EXIT_CODE_USAGE;
}

/* An unknown code doesn't tell whether the command was done. */
static enum exit_code
exit_code_of_http (long http_code)
{
  switch (http_code)
    {
    case HTTP_OK:
      return EXIT_CODE_DONE;
    case HTTP_UNAUTHORIZED:
      return EXIT_CODE_NOT_AUTHORISED;
    case HTTP_NOT_FOUND:
      return EXIT_CODE_NOT_FOUND;
    case HTTP_CONFLICT:
      return EXIT_CODE_CONFLICT;
    case HTTP_UNAVAILABLE:
      return EXIT_CODE_UNREACHABLE;
    default:
      break;
    }
  return http_code >= HTTP_CLIENT_ERRORS && http_code < HTTP_SERVER_ERRORS
             ? EXIT_CODE_USAGE
             : EXIT_CODE_UNKNOWN;
}

void
commands_print_json (const struct commands *commands,
                     struct json_object *object)
{
  fprintf (
      commands->out, "%s\n",
      json_object_to_json_string_ext (
          object, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
}

static void
print_failure (const struct commands *commands, struct json_object *body)
{
  if (commands->json)
    commands_print_json (commands, body);
  fprintf (commands->errors, "jaystair: %s: %s",
           json_member_text (body, "status"),
           json_member_text (body, "message"));
  const int64_t version = json_member_int (body, "version");
  if (json_object_object_get_ex (body, "changed", NULL))
    fprintf (commands->errors, "; changed: %s",
             json_member_text (body, "changed"));
  if (version > 0)
    fprintf (commands->errors, "; version now %" PRId64, version);
  fputc ('\n', commands->errors);
}

enum exit_code
commands_read_table (const struct commands *commands, const char *table,
                     struct client_reply *reply)
{
  char *path = xasprintf ("/v1/%s", table);
  enum status status = client_get (commands->client, path, reply);
  free (path);
  if (status != STATUS_OK)
    return commands_fail (commands, status);
  const enum exit_code code = exit_code_of_http (reply->http_code);
  if (code == EXIT_CODE_DONE
      && json_member_array (reply->body, "rows") != NULL)
    return code;
  if (code != EXIT_CODE_DONE)
    print_failure (commands, reply->body);
  else
    status = status_set (STATUS_UNREACHABLE,
                         "the response has no rows: --host takes a host's "
                         "operator address");
  json_object_put (reply->body);
  reply->body = NULL;
  return status == STATUS_OK ? code : commands_fail (commands, status);
}

void
commands_print_source (const struct commands *commands,
                       struct json_object *reply)
{
  struct json_object *unresponsive = NULL;
  json_object_object_get_ex (reply, "not_heard_from", &unresponsive);
  char *names = table_printer_cell (unresponsive);
  const bool all_responded
      = unresponsive == NULL
        || !json_object_is_type (unresponsive, json_type_array)
        || json_object_array_length (unresponsive) == 0;
  fprintf (commands->out, "-- host %s, news %.1f s old, not heard from: %s\n",
           json_member_text (reply, "host"),
           (double)json_member_int (reply, "age_ms") / MS_PER_SECOND,
           all_responded ? "none" : names);
  free (names);
}

static struct json_object *
build_command (const struct statement *statement)
{
  struct json_object *command = json_object_new_object ();
  json_object_object_add (command, "command",
                          json_object_new_string (statement->command));
  if (statement->service[0] != '\0')
    json_object_object_add (command, "service",
                            json_object_new_string (statement->service));
  if (statement->target[0] != '\0')
    json_object_object_add (command, "target",
                            json_object_new_string (statement->target));
  if (statement->fingerprint[0] != '\0')
    json_object_object_add (command, "fingerprint",
                            json_object_new_string (statement->fingerprint));
  if (statement->floor >= 0)
    json_object_object_add (command, "floor",
                            json_object_new_int64 (statement->floor));
  if (statement->version > 0)
    json_object_object_add (command, "version",
                            json_object_new_uint64 (statement->version));
  return command;
}

static void
print_cleared (const struct commands *commands, struct json_object *body)
{
  fprintf (commands->out, "%s %s: accepted, announced to the other hosts\n",
           json_member_text (body, "command"),
           json_member_text (body, "fingerprint"));
}

static void
print_accepted (const struct commands *commands, struct json_object *body)
{
  struct json_object *in_force = NULL;
  const char *target = json_member_text (body, "target");
  json_object_object_get_ex (body, "in_force", &in_force);
  fprintf (commands->out,
           "%s %s%s%s: accepted, version %" PRId64 " -> %" PRId64,
           json_member_text (body, "command"),
           json_member_text (body, "service"), target[0] == '\0' ? "" : "/",
           target, json_member_int (body, "acted_on_version"),
           json_member_int (body, "version"));
  if (in_force != NULL)
    fprintf (commands->out, "; in force on %" PRId64 " of %" PRId64 " hosts",
             json_member_int (in_force, "in_force"),
             json_member_int (in_force, "hosts"));
  struct json_object *unresponsive
      = json_member_array (in_force, "not_heard_from");
  if (unresponsive != NULL && json_object_array_length (unresponsive) > 0)
    {
      char *names = table_printer_cell (unresponsive);
      fprintf (commands->out, ", not heard from: %s", names);
      free (names);
    }
  fputc ('\n', commands->out);
}

static enum exit_code
run_command (const struct commands *commands,
             const struct statement *statement)
{
  struct client_reply reply;
  struct json_object *command = build_command (statement);
  const enum status status
      = client_command (commands->client, command, &reply);
  json_object_put (command);
  if (status != STATUS_OK)
    return commands_fail (commands, status);
  const enum exit_code code = exit_code_of_http (reply.http_code);
  if (code != EXIT_CODE_DONE)
    print_failure (commands, reply.body);
  else if (commands->json)
    commands_print_json (commands, reply.body);
  else if (statement->fingerprint[0] != '\0')
    print_cleared (commands, reply.body);
  else
    print_accepted (commands, reply.body);
  json_object_put (reply.body);
  return code;
}

enum exit_code
commands_run (const struct commands *commands,
              const struct statement *statement)
{
  switch (statement->kind)
    {
    case STATEMENT_SHOW:
      return show_run (commands, statement);
    case STATEMENT_EXPLAIN_TARGET:
      return explain_target_run (commands, statement);
    case STATEMENT_EXPLAIN_REQUEST:
      return explain_request_run (commands, statement);
    case STATEMENT_ADDRESSES:
      return addresses_run (commands, statement);
    case STATEMENT_COMMAND:
      break;
    }
  return run_command (commands, statement);
}
