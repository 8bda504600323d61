#include "ctl/explain_target.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "ctl/json_member.h"
#include "ctl/show.h"
#include "ctl/table_printer.h"

enum
{
  DECISIONS_SHOWN = 5,
};

/** What the host reports on one target. */
struct findings
{
  struct json_object *reply; /**< of "targets" */
  struct json_object *target;
  struct json_object *ejections; /**< rows; NULL: the host has no such table */
  struct json_object *decisions;
};

static struct filter
equality_filter (const char *field, const char *value)
{
  struct filter filter = { .comparison = FILTER_EQUAL };
  snprintf (filter.field, sizeof filter.field, "%s", field);
  snprintf (filter.value, sizeof filter.value, "%s", value);
  return filter;
}

/** The rows of REPLY for the statement's target. */
static struct json_object *
rows_on_target (struct json_object *reply, const struct statement *statement)
{
  const struct filter filters[]
      = { equality_filter ("target", statement->target),
          equality_filter ("service", statement->service) };
  return show_filter_rows (json_member_array (reply, "rows"), filters,
                           statement->service[0] == '\0' ? 1 : 2);
}

/** The rows for the target in a table that a host may lack; NULL if it
 * does. */
static struct json_object *
read_optional (const struct commands *commands, const char *path,
               const struct statement *statement)
{
  struct client_reply reply;
  struct json_object *rows = NULL;
  if (client_get (commands->client, path, &reply) != STATUS_OK)
    return NULL;
  if (json_member_array (reply.body, "rows") != NULL)
    rows = rows_on_target (reply.body, statement);
  json_object_put (reply.body);
  return rows;
}

/** At most MAX of ROWS, the latest ones: decisions are ordered newest
 * first. */
static struct json_object *
first_rows (struct json_object *rows, size_t max)
{
  struct json_object *first = json_object_new_array ();
  const size_t count = rows == NULL ? 0 : json_object_array_length (rows);
  for (size_t i = 0; i < count && i < max; i++)
    json_object_array_add (
        first, json_object_get (json_object_array_get_idx (rows, i)));
  return first;
}

static enum status
find_target (struct findings *findings, const struct statement *statement)
{
  struct json_object *rows = rows_on_target (findings->reply, statement);
  const size_t count = json_object_array_length (rows);
  struct json_object *first = json_object_array_get_idx (rows, 0);
  enum status status = STATUS_OK;
  if (count == 0)
    status = status_set (STATUS_NOT_FOUND,
                         "this host knows no target \"%s\": list them with "
                         "\"show targets\"",
                         statement->target);
  else if (count > 1)
    status
        = status_set (STATUS_INVALID,
                      "several services have a target \"%s\": write "
                      "SERVICE/%s, for example %s/%s",
                      statement->target, statement->target,
                      json_member_text (first, "service"), statement->target);
  else
    findings->target = json_object_get (first);
  json_object_put (rows);
  return status;
}

/** What brings the target back into use, in new memory. */
static char *
describe_return (const struct findings *findings)
{
  const char *service = json_member_text (findings->target, "service");
  const char *target = json_member_text (findings->target, "target");
  const char *state = json_member_text (findings->target, "state");
  if (strcmp (state, "drained") == 0)
    return xasprintf ("\"jaystair undrain %s/%s\"", service, target);
  if (strcmp (state, "ejected") == 0
      || (findings->ejections != NULL
          && json_object_array_length (findings->ejections) > 0))
    return xasprintf (
        "successful responses to its trial requests, or \"jaystair "
        "reinstate %s/%s\"",
        service, target);
  if (strcmp (state, "leaving") == 0)
    return xstrdup (
        "the target itself, when it no longer reports that it is leaving");
  if (json_member_int (findings->target, "suspect") != 0)
    return xstrdup (
        "successful responses to the few requests that it still gets");
  return xstrdup ("nothing to do: it gets requests");
}

static void
print_members (const struct commands *commands, struct json_object *object)
{
  json_object_object_foreach (object, key, value)
  {
    char *cell = table_printer_cell (value);
    fprintf (commands->out, "%-20s %s\n", key, cell);
    free (cell);
  }
}

static void
print_rows (const struct commands *commands, const char *title,
            struct json_object *rows)
{
  if (rows == NULL || json_object_array_length (rows) == 0)
    return;
  fprintf (commands->out, "\n%s\n", title);
  table_printer_print (commands->out, rows);
}

static void
print_findings (const struct commands *commands,
                const struct findings *findings, const char *brought_back_by)
{
  print_members (commands, findings->target);
  fprintf (commands->out, "%-20s %s\n", "brought_back_by", brought_back_by);
  print_rows (commands, "ejections", findings->ejections);
  print_rows (commands, "latest decisions", findings->decisions);
  commands_print_source (commands, findings->reply);
}

static void
print_findings_json (const struct commands *commands,
                     const struct findings *findings,
                     const char *brought_back_by)
{
  struct json_object *report = findings->reply;
  json_object_object_del (report, "rows");
  json_object_object_add (report, "target",
                          json_object_get (findings->target));
  json_object_object_add (report, "brought_back_by",
                          json_object_new_string (brought_back_by));
  json_object_object_add (report, "ejections",
                          json_object_get (findings->ejections));
  json_object_object_add (report, "decisions",
                          json_object_get (findings->decisions));
  commands_print_json (commands, report);
}

static void
read_related_tables (const struct commands *commands,
                     const struct statement *statement,
                     struct findings *findings)
{
  struct json_object *decisions
      = read_optional (commands, "/v1/decisions", statement);
  findings->decisions = first_rows (decisions, DECISIONS_SHOWN);
  findings->ejections = read_optional (commands, "/v1/ejections", statement);
  json_object_put (decisions);
}

enum exit_code
explain_target_run (const struct commands *commands,
                    const struct statement *statement)
{
  struct client_reply reply;
  enum exit_code code = commands_read_table (commands, "targets", &reply);
  if (code != EXIT_CODE_DONE)
    return code;
  struct findings findings = { .reply = reply.body };
  const enum status status = find_target (&findings, statement);
  if (status != STATUS_OK)
    {
      code = commands_fail (commands, status);
      goto out;
    }
  read_related_tables (commands, statement, &findings);
  char *brought_back_by = describe_return (&findings);
  if (commands->json)
    print_findings_json (commands, &findings, brought_back_by);
  else
    print_findings (commands, &findings, brought_back_by);
  free (brought_back_by);
out:
  json_object_put (findings.target);
  json_object_put (findings.ejections);
  json_object_put (findings.decisions);
  json_object_put (findings.reply);
  return code;
}
