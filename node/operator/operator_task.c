#define LOG_MODULE "operator"
#include "node/operator/operator_task.h"

#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <microhttpd.h>
#include <utlist.h>

#include "base/log.h"
#include "base/xmalloc.h"
#include "node/http_connections.h"
#include "node/mhd_loop.h"
#include "node/operator/counter_rows.h"
#include "node/operator/operator_answer.h"
#include "node/operator/operator_exchange.h"
#include "node/operator/operator_auth.h"
#include "node/operator/operator_request.h"

enum
{
  CONNECTIONS_MAX = 64,
  CONNECTION_MEMORY_BYTES = 16384,
  CONNECTION_TIMEOUT_S = 30,
  MS_PER_SECOND = 1000,
  TABLE_NAME_SIZE = 32,
};

static const char command_path[] = "/v1/command";
static const char metrics_path[] = "/metrics";
static const char table_prefix[] = "/v1/";
static const char json_content_type[] = "application/json";
static const char metrics_content_type[] = "text/plain; version=0.0.4";

struct operator_task
{
  struct operator_task_options options;
  struct operator_auth auth;
  struct http_connections *connections;
  struct MHD_Daemon *daemon;
  struct mhd_loop *mhd_loop;
  struct counter_family *requests;
  struct operator_exchange *exchanges;
};

static void
count_request (struct operator_task *task, const char *kind,
               unsigned int http_code)
{
  char code[12];
  snprintf (code, sizeof code, "%u", http_code);
  const char *const labels[] = { kind, code };
  counter_add (counter_series (task->requests, labels), 1);
}

static void
answer_unknown_table (struct operator_task *task,
                      struct operator_exchange *exchange, const char *name)
{
  struct json_object *names = tables_names (task->options.tables);
  char table[TABLE_NAME_SIZE];
  snprintf (table, sizeof table, "%s", name);
  operator_exchange_fail (
      exchange, status_set (STATUS_NOT_FOUND,
                            "there is no table \"%s\": ask for one of %s",
                            table, json_object_to_json_string (names)));
  json_object_put (names);
}

static void
answer_table (struct operator_task *task, struct operator_exchange *exchange,
              const char *name)
{
  struct operator_backend *backend = task->options.backend;
  struct json_object *rows = tables_read (task->options.tables, name);
  if (rows == NULL)
    {
      answer_unknown_table (task, exchange, name);
      return;
    }
  const struct operator_table_answer answer
      = { .host = task->options.settings->name,
          .table = name,
          .rows = rows,
          .age_ms = backend->ops->contact_age_ms (backend),
          .not_heard_from = backend->ops->not_heard_from (backend) };
  operator_exchange_set_answer (exchange, MHD_HTTP_OK,
                                operator_answer_table (&answer));
}

static enum MHD_Result
answer_metrics (struct operator_task *task, struct MHD_Connection *connection)
{
  char *text = counters_expose (task->options.counters);
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  if (response == NULL)
    {
      free (text);
      return MHD_NO;
    }
  MHD_add_response_header (response, MHD_HTTP_HEADER_CONTENT_TYPE,
                           metrics_content_type);
  const enum MHD_Result queued
      = MHD_queue_response (connection, MHD_HTTP_OK, response);
  MHD_destroy_response (response);
  count_request (task, "metrics", MHD_HTTP_OK);
  return queued;
}

static bool
is_authorised (struct operator_task *task, struct operator_exchange *exchange)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      exchange->connection, MHD_CONNECTION_INFO_CLIENT_ADDRESS);
  const char *authorization = MHD_lookup_connection_value (
      exchange->connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_AUTHORIZATION);
  if (operator_auth_check (&task->auth, authorization,
                           info == NULL ? NULL : info->client_addr)
      == STATUS_OK)
    return true;
  LOG_WARN ("command-not-authorised", LOG_STR ("why", status_message ()));
  operator_exchange_set_answer (
      exchange, MHD_HTTP_UNAUTHORIZED,
      operator_answer_failure ("not-authorised", status_message ()));
  return false;
}

/* A web page in an operator's browser on the same machine can send a form to a
   loopback port, which would pass as a local command if no secret is
   configured.  A browser doesn't send this content type across origins without
   a preflight request, which is refused here. */
static bool
is_json (struct operator_exchange *exchange)
{
  const char *type = MHD_lookup_connection_value (
      exchange->connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_CONTENT_TYPE);
  if (type != NULL
      && strncmp (type, json_content_type, sizeof json_content_type - 1) == 0)
    return true;
  operator_exchange_fail (exchange,
                          status_set (STATUS_INVALID,
                                      "commands are JSON: send Content-Type: "
                                      "application/json"));
  return false;
}

static enum status
read_command (struct operator_task *task, struct operator_exchange *exchange)
{
  if (exchange->body_too_large)
    return status_set (STATUS_INVALID,
                       "the command is longer than %d bytes: send one command "
                       "a request",
                       OPERATOR_BODY_MAX_BYTES);
  const enum status status = operator_request_parse (
      exchange->body, exchange->body_size, &exchange->command);
  if (status != STATUS_OK || exchange->command.service[0] != '\0'
      || exchange->command.verb == OPERATOR_CLEAR_POISON)
    return status;
  struct json_object *rows = tables_read (task->options.tables, "targets");
  const enum status resolved
      = operator_request_resolve_service (rows, &exchange->command);
  json_object_put (rows);
  return resolved;
}

static void
start_command (struct operator_task *task, struct operator_exchange *exchange)
{
  if (!is_authorised (task, exchange) || !is_json (exchange))
    return;
  const enum status status = read_command (task, exchange);
  if (status != STATUS_OK)
    operator_exchange_fail (exchange, status);
  else if (exchange->command.verb == OPERATOR_CLEAR_POISON)
    operator_exchange_clear_poison (exchange);
  else
    operator_exchange_start_command (exchange);
}

static void
refuse_method (struct operator_exchange *exchange, const char *url)
{
  status_set (STATUS_INVALID,
              "%.64s doesn't support this method: GET a table, "
              "POST %s",
              url, command_path);
  operator_exchange_set_answer (
      exchange, MHD_HTTP_METHOD_NOT_ALLOWED,
      operator_answer_failure (status_name (STATUS_INVALID),
                               status_message ()));
}

/* The request is complete: respond, or start a command whose response follows
   from the backend. */
static void
handle_request (struct operator_task *task, struct operator_exchange *exchange,
                const char *url, const char *method)
{
  const bool is_command = strcmp (url, command_path) == 0;
  const char *expected
      = is_command ? MHD_HTTP_METHOD_POST : MHD_HTTP_METHOD_GET;
  if (strcmp (method, expected) != 0)
    refuse_method (exchange, url);
  else if (is_command)
    start_command (task, exchange);
  else if (strncmp (url, table_prefix, sizeof table_prefix - 1) == 0)
    answer_table (task, exchange, url + sizeof table_prefix - 1);
  else
    operator_exchange_fail (
        exchange, status_set (STATUS_NOT_FOUND,
                              "no such path: GET %sTABLE or %s, POST "
                              "%s",
                              table_prefix, metrics_path, command_path));
}

static struct operator_exchange *
exchange_create (struct operator_task *task, struct MHD_Connection *connection)
{
  struct operator_exchange *exchange = xcalloc (1, sizeof *exchange);
  exchange->connection = connection;
  exchange->backend = task->options.backend;
  exchange->mhd_loop = task->mhd_loop;
  DL_APPEND (task->exchanges, exchange);
  return exchange;
}

static enum MHD_Result
on_request (void *owner, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *upload_data,
            size_t *upload_data_size, void **request)
{
  struct operator_task *task = owner;
  struct operator_exchange *exchange = *request;
  if (exchange == NULL)
    {
      *request = exchange_create (task, connection);
      return MHD_YES;
    }
  if (*upload_data_size > 0)
    {
      operator_exchange_append_body (exchange, upload_data, *upload_data_size);
      *upload_data_size = 0;
      return MHD_YES;
    }
  if (strcmp (url, metrics_path) == 0
      && strcmp (method, MHD_HTTP_METHOD_GET) == 0)
    return answer_metrics (task, connection);
  if (exchange->answer == NULL)
    handle_request (task, exchange, url, method);
  if (exchange->suspended)
    {
      /* Called again once the connection is resumed, with the response set. */
      exchange->suspended = false;
      return MHD_YES;
    }
  count_request (task, strcmp (url, command_path) == 0 ? "command" : "table",
                 exchange->http_code);
  return operator_exchange_send (exchange);
}

static void
on_completed (void *owner, struct MHD_Connection *connection, void **request,
              enum MHD_RequestTerminationCode why)
{
  struct operator_task *task = owner;
  struct operator_exchange *exchange = *request;
  http_connections_request_ended (connection);
  if (exchange == NULL)
    return;
  *request = NULL;
  DL_DELETE (task->exchanges, exchange);
  operator_exchange_destroy (exchange);
}

static enum status
listen_on (struct operator_task *task, const char *address)
{
  struct sockaddr_storage storage;
  if (mhd_loop_parse_address (address, &storage) == 0)
    return status_set (STATUS_INVALID,
                       "operator_address \"%s\": expected a numeric IP:PORT",
                       address);
  unsigned int flags = MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME;
  if (storage.ss_family == AF_INET6)
    flags |= MHD_USE_IPv6;
  const struct http_connections_options connections
      = { .loop = task->options.loop,
          .idle_ms = CONNECTION_TIMEOUT_S * MS_PER_SECOND,
          .progress_s = CONNECTION_TIMEOUT_S };
  task->connections = http_connections_create (&connections);
  task->daemon = MHD_start_daemon (
      flags, 0, NULL, NULL, on_request, task, MHD_OPTION_SOCK_ADDR, &storage,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, task,
      MHD_OPTION_CONNECTION_LIMIT, (unsigned int)CONNECTIONS_MAX,
      MHD_OPTION_CONNECTION_MEMORY_LIMIT, (size_t)CONNECTION_MEMORY_BYTES,
      MHD_OPTION_URI_LOG_CALLBACK, http_connections_on_request_line, NULL,
      MHD_OPTION_NOTIFY_CONNECTION, http_connections_on_event,
      task->connections, MHD_OPTION_END);
  if (task->daemon == NULL)
    return status_errno ("operator_address %s can't be bound: free the port "
                         "or choose another",
                         address);
  task->mhd_loop
      = mhd_loop_create (task->options.loop, task->daemon,
                         http_connections_for_loop (task->connections));
  return task->mhd_loop == NULL ? STATUS_SYSTEM : STATUS_OK;
}

enum status
operator_task_create (const struct operator_task_options *options,
                      struct operator_task **new_task)
{
  const struct host_settings *settings = options->settings;
  const struct counter_family_options requests
      = { .name = "jaystair_operator_requests_total",
          .help = "Requests at the operator address, by kind and HTTP code.",
          .kind = COUNTER_SUM,
          .label_names = { "kind", "code" } };
  struct operator_task *task = xcalloc (1, sizeof *task);
  task->options = *options;
  task->requests = counters_family (options->counters, &requests);
  enum status status = operator_auth_load (&task->auth, settings->secret_file);
  if (status == STATUS_OK)
    status = listen_on (task, settings->operator_address);
  if (status != STATUS_OK)
    {
      operator_task_destroy (task);
      return status;
    }
  LOG_INFO ("listening", LOG_STR ("address", settings->operator_address),
            LOG_INT ("port", mhd_loop_bound_port (task->daemon)));
  tables_register (options->tables, "counters", counter_rows,
                   options->counters);
  *new_task = task;
  return STATUS_OK;
}

void
operator_task_destroy (struct operator_task *task)
{
  if (task == NULL)
    return;
  struct operator_exchange *exchange;
  if (task->mhd_loop != NULL)
    {
      mhd_loop_accept_pending (task->mhd_loop);
      mhd_loop_read_pending (task->mhd_loop);
    }
  DL_FOREACH (task->exchanges, exchange)
  {
    operator_exchange_abandon (exchange);
  }
  tables_unregister (task->options.tables, task->options.counters);
  if (task->daemon != NULL && task->exchanges != NULL)
    MHD_run (task->daemon);
  mhd_loop_destroy (task->mhd_loop);
  if (task->daemon != NULL)
    MHD_stop_daemon (task->daemon);
  http_connections_destroy (task->connections);
  free (task);
}

uint16_t
operator_task_port (const struct operator_task *task)
{
  return mhd_loop_bound_port (task->daemon);
}
