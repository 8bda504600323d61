#include "ctl/table_printer.h"

#include <ctype.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

enum
{
  COLUMNS_MAX = 64,
  COLUMN_GAP = 2,
};

struct column
{
  const char *key;
  size_t width;
  bool numeric; /**< all cells are numbers */
};

struct layout
{
  struct column columns[COLUMNS_MAX];
  size_t count;
};

static char *
format_array (struct json_object *array)
{
  char *text = xstrdup ("");
  const size_t count = json_object_array_length (array);
  for (size_t i = 0; i < count; i++)
    {
      char *item = table_printer_cell (json_object_array_get_idx (array, i));
      char *extended = xasprintf ("%s%s%s", text, i > 0 ? "," : "", item);
      free (item);
      free (text);
      text = extended;
    }
  return text;
}

/* A name or reason from the network may contain terminal escapes, which could
   change what the operator sees if printed unfiltered. */
static char *
printable (const char *text)
{
  char *copy = xstrdup (text);
  for (char *c = copy; *c != '\0'; c++)
    if (iscntrl ((unsigned char)*c))
      *c = '?';
  return copy;
}

char *
table_printer_cell (struct json_object *value)
{
  switch (json_object_get_type (value))
    {
    case json_type_null:
      return xstrdup ("-");
    case json_type_boolean:
      return xstrdup (json_object_get_boolean (value) ? "yes" : "no");
    case json_type_double:
      return xasprintf ("%g", json_object_get_double (value));
    case json_type_array:
      return format_array (value);
    case json_type_int:
    case json_type_string:
    case json_type_object:
      break;
    }
  const char *text = json_object_get_string (value);
  return text[0] == '\0' ? xstrdup ("-") : printable (text);
}

/** The number of characters in UTF-8 TEXT. */
static size_t
text_width (const char *text)
{
  size_t width = 0;
  for (; *text != '\0'; text++)
    width += ((unsigned char)*text & 0xc0) != 0x80;
  return width;
}

static struct column *
layout_column (struct layout *layout, const char *key)
{
  for (size_t i = 0; i < layout->count; i++)
    if (strcmp (layout->columns[i].key, key) == 0)
      return &layout->columns[i];
  if (layout->count == COLUMNS_MAX)
    return NULL;
  struct column *column = &layout->columns[layout->count++];
  *column = (struct column){ .key = key,
                             .width = text_width (key),
                             .numeric = true };
  return column;
}

static void
layout_add_cell (struct layout *layout, const char *key,
                 struct json_object *value)
{
  struct column *column = layout_column (layout, key);
  if (column == NULL)
    return;
  char *cell = table_printer_cell (value);
  const size_t width = text_width (cell);
  const enum json_type type = json_object_get_type (value);
  if (width > column->width)
    column->width = width;
  if (type != json_type_int && type != json_type_double)
    column->numeric = false;
  free (cell);
}

static void
layout_add_row (struct layout *layout, struct json_object *row)
{
  json_object_object_foreach (row, key, value)
  {
    layout_add_cell (layout, key, value);
  }
}

static void
pad (FILE *out, size_t width)
{
  for (size_t i = 0; i < width; i++)
    fputc (' ', out);
}

static void
print_cell (FILE *out, const struct column *column, const char *text,
            bool is_last)
{
  const size_t width = text_width (text);
  const size_t padding = column->width > width ? column->width - width : 0;
  if (column->numeric)
    pad (out, padding);
  fputs (text, out);
  if (is_last)
    return;
  if (!column->numeric)
    pad (out, padding);
  pad (out, COLUMN_GAP);
}

static void
print_header (FILE *out, const struct layout *layout)
{
  for (size_t i = 0; i < layout->count; i++)
    {
      char *name = printable (layout->columns[i].key);
      for (char *c = name; *c != '\0'; c++)
        *c = (char)toupper ((unsigned char)*c);
      print_cell (out, &layout->columns[i], name, i + 1 == layout->count);
      free (name);
    }
  fputc ('\n', out);
}

static void
print_row (FILE *out, const struct layout *layout, struct json_object *row)
{
  for (size_t i = 0; i < layout->count; i++)
    {
      struct json_object *value = NULL;
      json_object_object_get_ex (row, layout->columns[i].key, &value);
      char *cell = table_printer_cell (value);
      print_cell (out, &layout->columns[i], cell, i + 1 == layout->count);
      free (cell);
    }
  fputc ('\n', out);
}

void
table_printer_print (FILE *out, struct json_object *rows)
{
  struct layout layout = { .count = 0 };
  const size_t count = json_object_array_length (rows);
  for (size_t i = 0; i < count; i++)
    layout_add_row (&layout, json_object_array_get_idx (rows, i));
  if (layout.count == 0)
    return;
  print_header (out, &layout);
  for (size_t i = 0; i < count; i++)
    print_row (out, &layout, json_object_array_get_idx (rows, i));
}
