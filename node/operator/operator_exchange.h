/** @file
 * One request of an operator and its response.
 */
#ifndef NODE_OPERATOR_OPERATOR_EXCHANGE_H
#define NODE_OPERATOR_OPERATOR_EXCHANGE_H

#include <stdbool.h>
#include <stddef.h>

#include <json-c/json.h>
#include <microhttpd.h>

#include "base/status.h"
#include "node/operator/operator_backend.h"

enum
{
  OPERATOR_BODY_MAX_BYTES = 4096,
};

struct operator_exchange
{
  struct MHD_Connection *connection;
  struct operator_backend *backend;
  struct mhd_loop *mhd_loop;
  char body[OPERATOR_BODY_MAX_BYTES];
  size_t body_size;
  bool body_too_large;
  bool waiting;   /**< for the backend */
  bool suspended; /**< by the current call of the handler */
  struct operator_command command;
  struct json_object *answer; /**< NULL until known */
  unsigned int http_code;
  struct operator_exchange *prev;
  struct operator_exchange *next;
};

/** Append SIZE bytes to the body; what exceeds the maximum is dropped. */
void operator_exchange_append_body (struct operator_exchange *exchange,
                                    const char *data, size_t size);

/** Set the response to ANSWER and take ownership of it. */
void operator_exchange_set_answer (struct operator_exchange *exchange,
                                   unsigned int http_code,
                                   struct json_object *answer);

/** Set the response to a failure with the last status message. */
void operator_exchange_fail (struct operator_exchange *exchange,
                             enum status status);

/** Have the backend carry out the exchange's command; the connection is
 * suspended until that has ended. */
void operator_exchange_start_command (struct operator_exchange *exchange);

/** Run OPERATOR_CLEAR_POISON and set the response synchronously. */
void operator_exchange_clear_poison (struct operator_exchange *exchange);

/** Stop waiting for the backend and resume the connection.  Without a result
 * the outcome is reported as unknown. */
void operator_exchange_abandon (struct operator_exchange *exchange);

/** Queue the response on the connection. */
enum MHD_Result operator_exchange_send (struct operator_exchange *exchange);

/** Free the exchange; a pending call of the backend is cancelled. */
void operator_exchange_destroy (struct operator_exchange *exchange);

#endif
