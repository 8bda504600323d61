#include "node/tables.h"

#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/xmalloc.h"

struct table
{
  char *name;
  tables_rows *rows;
  void *owner;
  struct table *prev, *next;
};

struct tables
{
  struct table *first;
};

struct tables *
tables_create (void)
{
  return xcalloc (1, sizeof (struct tables));
}

static void
table_destroy (struct tables *tables, struct table *table)
{
  DL_DELETE (tables->first, table);
  free (table->name);
  free (table);
}

void
tables_destroy (struct tables *tables)
{
  if (tables == NULL)
    return;
  while (tables->first != NULL)
    table_destroy (tables, tables->first);
  free (tables);
}

void
tables_register (struct tables *tables, const char *name, tables_rows *rows,
                 void *owner)
{
  struct table *table = xcalloc (1, sizeof *table);
  table->name = xstrdup (name);
  table->rows = rows;
  table->owner = owner;
  DL_APPEND (tables->first, table);
}

void
tables_unregister (struct tables *tables, void *owner)
{
  struct table *table;
  struct table *next;
  DL_FOREACH_SAFE (tables->first, table, next)
  {
    if (table->owner == owner)
      table_destroy (tables, table);
  }
}

static void
append_rows (struct json_object *merged, struct json_object *rows)
{
  const size_t count = json_object_array_length (rows);
  for (size_t i = 0; i < count; i++)
    json_object_array_add (
        merged, json_object_get (json_object_array_get_idx (rows, i)));
  json_object_put (rows);
}

struct json_object *
tables_read (const struct tables *tables, const char *name)
{
  struct json_object *merged = NULL;
  const struct table *table;
  DL_FOREACH (tables->first, table)
  {
    if (strcmp (table->name, name) != 0)
      continue;
    if (merged == NULL)
      merged = json_object_new_array ();
    append_rows (merged, table->rows (table->owner));
  }
  return merged;
}

static bool
is_name_before (const struct tables *tables, const struct table *end)
{
  for (const struct table *table = tables->first; table != end;
       table = table->next)
    if (strcmp (table->name, end->name) == 0)
      return true;
  return false;
}

struct json_object *
tables_names (const struct tables *tables)
{
  struct json_object *names = json_object_new_array ();
  const struct table *table;
  DL_FOREACH (tables->first, table)
  {
    if (!is_name_before (tables, table))
      json_object_array_add (names, json_object_new_string (table->name));
  }
  return names;
}
