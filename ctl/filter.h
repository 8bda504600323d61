/** @file
 * A condition on the rows of a table: `FIELD OPERATOR VALUE`.
 */
#ifndef CTL_FILTER_H
#define CTL_FILTER_H

#include <stdbool.h>

#include <json-c/json.h>

/** Maximum size of a field name or value, with its NUL. */
#define FILTER_TEXT_SIZE 128

enum filter_operator
{
  FILTER_EQUAL,
  FILTER_NOT_EQUAL,
  FILTER_LESS,
  FILTER_GREATER,
  FILTER_CONTAINS,
};

struct filter
{
  char field[FILTER_TEXT_SIZE];
  enum filter_operator comparison;
  char value[FILTER_TEXT_SIZE];
};

/** Whether ROW meets FILTER.  Comparisons ignore case; two numbers compare by
 * value, everything else as text.  A row without the field meets only
 * FILTER_NOT_EQUAL. */
bool filter_match (const struct filter *filter, struct json_object *row);

/** Whether ROW has the field of FILTER, ignoring case. */
bool filter_has_field (const struct filter *filter, struct json_object *row);

#endif
