/** @file
 * One request of an operator and its answer.
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
  bool suspended; /**< by the handler call under way */
  struct operator_command command;
  struct json_object *answer; /**< NULL until known */
  unsigned int http_code;
  struct operator_exchange *prev;
  struct operator_exchange *next;
};

/** Take in SIZE bytes of the body; what is past the bound is dropped. */
void operator_exchange_append_body (struct operator_exchange *exchange,
                                    const char *data, size_t size);

/** Answer with ANSWER, which is taken over. */
void operator_exchange_set_answer (struct operator_exchange *exchange,
                                   unsigned int http_code,
                                   struct json_object *answer);

/** Answer with a failure and the last status message. */
void operator_exchange_fail (struct operator_exchange *exchange,
                             enum status status);

/** Have the backend carry out the exchange's command; the connection sleeps
 * until that has ended. */
void operator_exchange_start_command (struct operator_exchange *exchange);

/** Run OPERATOR_CLEAR_POISON and answer synchronously. */
void operator_exchange_clear_poison (struct operator_exchange *exchange);

/** End the wait for the backend, whose answer is no longer of use. */
void operator_exchange_abandon (struct operator_exchange *exchange);

/** Queue the answer that is there on the connection. */
enum MHD_Result operator_exchange_send (struct operator_exchange *exchange);

/** Release all; a call under way is cancelled. */
void operator_exchange_destroy (struct operator_exchange *exchange);

#endif
