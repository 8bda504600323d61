#define LOG_MODULE "operator"
#include "node/operator/operator_exchange.h"

#include <stdlib.h>
#include <string.h>

#include "base/log.h"
#include "node/json_row.h"
#include "node/mhd_loop.h"
#include "node/operator/operator_answer.h"
#include "node/operator/operator_request.h"

enum
{
  IN_FORCE_QUERY_TIMEOUT_MS = 2000,
};

void
operator_exchange_append_body (struct operator_exchange *exchange,
                               const char *data, size_t size)
{
  const size_t free_bytes = sizeof exchange->body - exchange->body_size;
  if (size > free_bytes)
    {
      exchange->body_too_large = true;
      size = free_bytes;
    }
  memcpy (exchange->body + exchange->body_size, data, size);
  exchange->body_size += size;
}

void
operator_exchange_set_answer (struct operator_exchange *exchange,
                              unsigned int http_code,
                              struct json_object *answer)
{
  exchange->http_code = http_code;
  exchange->answer = answer;
}

void
operator_exchange_fail (struct operator_exchange *exchange, enum status status)
{
  operator_exchange_set_answer (
      exchange, operator_answer_http_code (status),
      operator_answer_failure (status_name (status), status_message ()));
}

static void
resume (struct operator_exchange *exchange)
{
  exchange->waiting = false;
  MHD_resume_connection (exchange->connection);
  mhd_loop_wake (exchange->mhd_loop);
}

static void
on_in_force (void *owner, const struct operator_in_force *report)
{
  struct operator_exchange *exchange = owner;
  operator_answer_add_in_force (exchange->answer, report);
  resume (exchange);
}

static void
on_result (void *owner, const struct operator_result *result)
{
  struct operator_exchange *exchange = owner;
  const struct operator_command *command = &exchange->command;
  LOG_INFO ("command", LOG_STR ("command", operator_verb_name (command->verb)),
            LOG_STR ("service", command->service),
            LOG_STR ("target", command->target),
            LOG_STR ("status", status_name (result->status)),
            LOG_INT ("acted_on_version", result->acted_on_version),
            LOG_INT ("version", result->version));
  operator_exchange_set_answer (exchange,
                                operator_answer_http_code (result->status),
                                operator_answer_command (command, result));
  if (result->status != STATUS_OK)
    {
      resume (exchange);
      return;
    }
  exchange->backend->ops->query_in_force (
      exchange->backend, command, result->version, IN_FORCE_QUERY_TIMEOUT_MS,
      on_in_force, exchange);
}

void
operator_exchange_start_command (struct operator_exchange *exchange)
{
  const struct operator_backend_ops *ops = exchange->backend->ops;
  exchange->waiting = true;
  exchange->suspended = true;
  MHD_suspend_connection (exchange->connection);
  if (operator_verb_is_ejection (exchange->command.verb))
    ops->change_ejection (exchange->backend, &exchange->command, on_result,
                          exchange);
  else
    ops->change_service (exchange->backend, &exchange->command, on_result,
                         exchange);
}

void
operator_exchange_clear_poison (struct operator_exchange *exchange)
{
  char text[FINGERPRINT_TEXT_SIZE];
  const char *name = text;
  const bool found = exchange->backend->ops->clear_poison (exchange->backend,
                                                           &exchange->command);
  fingerprint_format (&exchange->command.fingerprint, text);
  LOG_INFO ("command", LOG_STR ("command", "clear-poison"),
            LOG_STR ("fingerprint", name),
            LOG_STR ("status", found ? "ok" : "not-found"));
  if (!found)
    {
      operator_exchange_fail (
          exchange,
          status_set (STATUS_NOT_FOUND,
                      "this host has no blocked or suspected request "
                      "with fingerprint \"%s\": list them with "
                      "\"show poison\"",
                      text));
      return;
    }
  struct json_object *answer = json_object_new_object ();
  json_row_text (answer, "status", status_name (STATUS_OK));
  json_row_text (answer, "command", "clear-poison");
  json_row_text (answer, "fingerprint", text);
  json_row_flag (answer, "accepted", true);
  operator_exchange_set_answer (exchange, MHD_HTTP_OK, answer);
}

/* The write may have been sent already, so a host that leaves must not report
   that the command was not done: it reports an unknown outcome, unless the
   result of the write was received. */
void
operator_exchange_abandon (struct operator_exchange *exchange)
{
  if (!exchange->waiting)
    return;
  exchange->backend->ops->cancel (exchange->backend, exchange);
  if (exchange->answer == NULL)
    operator_exchange_fail (
        exchange,
        status_set (STATUS_LOST_ANSWER,
                    "this host is leaving and the command may have taken "
                    "effect: ask another host what is in force"));
  resume (exchange);
}

enum MHD_Result
operator_exchange_send (struct operator_exchange *exchange)
{
  const char *text = json_object_to_json_string_ext (
      exchange->answer,
      JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), (void *)text, MHD_RESPMEM_MUST_COPY);
  if (response == NULL)
    return MHD_NO;
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           "application/json");
  const enum MHD_Result queued = MHD_queue_response (
      exchange->connection, exchange->http_code, response);
  MHD_destroy_response (response);
  return queued;
}

void
operator_exchange_destroy (struct operator_exchange *exchange)
{
  if (exchange->waiting)
    exchange->backend->ops->cancel (exchange->backend, exchange);
  json_object_put (exchange->answer);
  free (exchange);
}
