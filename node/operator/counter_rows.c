#include "node/operator/counter_rows.h"

#include <stdlib.h>
#include <string.h>

#include "base/counters.h"
#include "node/json_row.h"

/* LINE is `name{labels} value` or `name value`; it is split in place. */
static struct json_object *
parse_row (char *line)
{
  char *separator = strrchr (line, ' ');
  if (separator == NULL)
    return NULL;
  *separator = '\0';
  char *labels = strchr (line, '{');
  if (labels != NULL)
    {
      *labels++ = '\0';
      char *end = strrchr (labels, '}');
      if (end != NULL)
        *end = '\0';
    }
  struct json_object *row = json_object_new_object ();
  json_row_text (row, "counter", line);
  json_row_text (row, "labels", labels == NULL ? "" : labels);
  json_row_number (row, "value", strtoll (separator + 1, NULL, 10));
  return row;
}

struct json_object *
counter_rows (void *counters)
{
  struct json_object *rows = json_object_new_array ();
  char *text = counters_expose (counters);
  char *state = NULL;
  for (char *line = strtok_r (text, "\n", &state); line != NULL;
       line = strtok_r (NULL, "\n", &state))
    {
      struct json_object *row = line[0] == '#' ? NULL : parse_row (line);
      if (row != NULL)
        json_object_array_add (rows, row);
    }
  free (text);
  return rows;
}
