#include "ctl/show.h"

#include "ctl/filter.h"
#include "ctl/json_member.h"
#include "ctl/table_printer.h"

static bool
matches_all (struct json_object *row, const struct filter *filters,
             size_t count)
{
  for (size_t i = 0; i < count; i++)
    if (!filter_match (&filters[i], row))
      return false;
  return true;
}

struct json_object *
show_filter_rows (struct json_object *rows, const struct filter *filters,
                  size_t count)
{
  struct json_object *matching = json_object_new_array ();
  const size_t row_count = json_object_array_length (rows);
  for (size_t i = 0; i < row_count; i++)
    {
      struct json_object *row = json_object_array_get_idx (rows, i);
      if (matches_all (row, filters, count))
        json_object_array_add (matching, json_object_get (row));
    }
  return matching;
}

/* No row has a misspelt field, so without this check the result would be an
   empty table that reads as "there are none". */
static enum status
check_filter (struct json_object *rows, const struct filter *filter)
{
  const size_t count = json_object_array_length (rows);
  for (size_t i = 0; i < count; i++)
    if (filter_has_field (filter, json_object_array_get_idx (rows, i)))
      return STATUS_OK;
  if (count == 0)
    return STATUS_OK;
  return status_set (STATUS_INVALID,
                     "no row has a field \"%s\": leave the condition out to "
                     "see the fields",
                     filter->field);
}

static enum status
check_filters (struct json_object *rows, const struct statement *statement)
{
  for (size_t i = 0; i < statement->filter_count; i++)
    if (check_filter (rows, &statement->filters[i]) != STATUS_OK)
      return STATUS_INVALID;
  return STATUS_OK;
}

enum exit_code
show_run (const struct commands *commands, const struct statement *statement)
{
  struct client_reply reply;
  enum exit_code code
      = commands_read_table (commands, statement->table, &reply);
  if (code != EXIT_CODE_DONE)
    return code;
  struct json_object *rows = json_member_array (reply.body, "rows");
  if (check_filters (rows, statement) != STATUS_OK)
    {
      code = commands_fail (commands, STATUS_INVALID);
      goto out;
    }
  struct json_object *matching
      = show_filter_rows (rows, statement->filters, statement->filter_count);
  json_object_object_add (reply.body, "rows", matching);
  if (commands->json)
    commands_print_json (commands, reply.body);
  else
    {
      table_printer_print (commands->out, matching);
      commands_print_source (commands, reply.body);
    }
out:
  json_object_put (reply.body);
  return code;
}
