/** @file
 * The JSON responses of the operator side.
 */
#ifndef NODE_OPERATOR_OPERATOR_ANSWER_H
#define NODE_OPERATOR_OPERATOR_ANSWER_H

#include <stdint.h>

#include <json-c/json.h>

#include "base/status.h"
#include "node/operator/operator_backend.h"

/** A response to the read of a table.  operator_answer_table() takes ownership
 * of `rows` and `not_heard_from`. */
struct operator_table_answer
{
  const char *host;
  const char *table;
  struct json_object *rows;
  int64_t age_ms;
  struct json_object *not_heard_from;
};

struct json_object *
operator_answer_table (const struct operator_table_answer *answer);

/** A failure: `{"status","message"}`; NAME is the name of the status. */
struct json_object *operator_answer_failure (const char *name,
                                             const char *message);

/** How COMMAND ended, without the hosts on which it is in force. */
struct json_object *
operator_answer_command (const struct operator_command *command,
                         const struct operator_result *result);

/** Add the hosts on which the command is in force. */
void operator_answer_add_in_force (struct json_object *answer,
                                   const struct operator_in_force *report);

/** The HTTP status code for STATUS. */
unsigned int operator_answer_http_code (enum status status);

#endif
