#include "ctl/filter.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

static struct json_object *
find_field (struct json_object *row, const char *field, bool *found)
{
  json_object_object_foreach (row, key, value)
  {
    if (strcasecmp (key, field) == 0)
      {
        *found = true;
        return value;
      }
  }
  *found = false;
  return NULL;
}

static bool
parse_number (const char *text, double *number)
{
  char *end;
  *number = strtod (text, &end);
  return end != text && *end == '\0' && !isnan (*number);
}

static int
compare (const char *text, const char *value)
{
  double left;
  double right;
  if (parse_number (text, &left) && parse_number (value, &right))
    return (left > right) - (left < right);
  return strcasecmp (text, value);
}

bool
filter_has_field (const struct filter *filter, struct json_object *row)
{
  bool found;
  find_field (row, filter->field, &found);
  return found;
}

bool
filter_match (const struct filter *filter, struct json_object *row)
{
  bool found;
  struct json_object *value = find_field (row, filter->field, &found);
  if (!found)
    return filter->comparison == FILTER_NOT_EQUAL;
  const char *text = value == NULL ? "" : json_object_get_string (value);
  switch (filter->comparison)
    {
    case FILTER_EQUAL:
      return compare (text, filter->value) == 0;
    case FILTER_NOT_EQUAL:
      return compare (text, filter->value) != 0;
    case FILTER_LESS:
      return compare (text, filter->value) < 0;
    case FILTER_GREATER:
      return compare (text, filter->value) > 0;
    case FILTER_CONTAINS:
      return strcasestr (text, filter->value) != NULL;
    }
  return false;
}
