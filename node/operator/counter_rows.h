/** @file
 * Renders the counters as rows of the table "counters".
 */
#ifndef NODE_OPERATOR_COUNTER_ROWS_H
#define NODE_OPERATOR_COUNTER_ROWS_H

#include <json-c/json.h>

/** One row for each series, `{"counter","labels","value"}`, as a new array;
 * COUNTERS is a `const struct counters *` (see tables_rows). */
struct json_object *counter_rows (void *counters);

#endif
