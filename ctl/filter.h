/** @file
 * One condition on the rows of a table: `FIELD OPERATOR VALUE`.
 */
#ifndef CTL_FILTER_H
#define CTL_FILTER_H

#include <stdbool.h>

#include <json-c/json.h>

/** Longest field name or value, with its NUL. */
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

/** Does ROW meet FILTER?  Letters compare without regard to case; two
 * numbers compare by value, all else as text.  A row without the field meets
 * only FILTER_NOT_EQUAL. */
bool filter_match (const struct filter *filter, struct json_object *row);

/** Has ROW the field of FILTER, in whatever case? */
bool filter_has_field (const struct filter *filter, struct json_object *row);

#endif
