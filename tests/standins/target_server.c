#include "tests/standins/target_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <json-c/json.h>
#include <microhttpd.h>
#include <utlist.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "node/caller/hangup_watch.h"
#include "node/mhd_loop.h"
#include "tests/standins/run_counts.h"
#include "tests/standins/target_request.h"
#include "tests/standins/target_response.h"

enum
{
  SEED = 7
};

static bool
fault_applies (struct target_server *server, uint32_t percent)
{
  return percent > 0 && rng_below (&server->rng, 100) < percent;
}

static void
record_run (struct request *request)
{
  struct target_server *server = request->server;
  const char *id = target_request_field (request, "X-Request-Id");
  run_counts_add (server->runs, id);
  server->counts.runs++;
  if (server->run_log == NULL)
    return;
  /* Written before the response, so that runs of a killed target are known. */
  fprintf (server->run_log, "run %s\n", id);
  fflush (server->run_log);
}

void
target_server_log_runs (struct target_server *server, FILE *run_log)
{
  server->run_log = run_log;
}

static void
suspend (struct request *request)
{
  if (!request->watched)
    hangup_watch_add (request->server->hangup, request->fd, request);
  request->watched = true;
  request->suspended = true;
  MHD_suspend_connection (request->connection);
}

static void
resume (struct request *request)
{
  if (!request->suspended)
    return;
  request->suspended = false;
  MHD_resume_connection (request->connection);
  mhd_loop_wake (request->server->mhd_loop);
}

static void
on_delay (struct ev_loop *loop, ev_timer *timer, int events)
{
  struct request *request = timer->data;
  request->delay_elapsed = true;
  resume (request);
}

static void
on_hangup (void *watched, bool is_reset)
{
  struct request *request = watched;
  request->disconnected = true;
  resume (request);
}

static bool
is_reused (const struct request *request)
{
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      request->connection, MHD_CONNECTION_INFO_SOCKET_CONTEXT);
  uint64_t *request_count = info->socket_context;
  return (*request_count)++ > 0;
}

static enum MHD_Result
respond (struct request *request)
{
  struct target_server *server = request->server;
  if (fault_applies (server, server->faults.fail))
    return target_response_queue_text (request, MHD_HTTP_INTERNAL_SERVER_ERROR,
                                       "failed\n", 7);
  if (fault_applies (server, server->faults.cut))
    return target_response_queue_truncated (request);
  return target_response_queue_by_path (request);
}

static enum MHD_Result
queue_shed (struct request *request)
{
  struct MHD_Response *response
      = MHD_create_response_from_buffer (5, "shed\n", MHD_RESPMEM_PERSISTENT);
  MHD_add_response_header (response, "Jaystair-Outcome", "not-run");
  MHD_add_response_header (response, "Retry-After", "2");
  return target_response_queue (request, MHD_HTTP_SERVICE_UNAVAILABLE,
                                response);
}

static bool
is_crash_request (const struct request *request)
{
  return request->server->faults.crash != 0
         && strstr (request->url, "/crash") != NULL;
}

/* Called when the request is complete: runs or sheds it. */
static enum MHD_Result
run (struct request *request)
{
  struct target_server *server = request->server;
  const struct target_faults *faults = &server->faults;
  const bool reused = is_reused (request);
  if (strcmp (request->method, "OPTIONS") == 0)
    return target_response_queue_text (request, MHD_HTTP_OK, "", 0);
  if (faults->leave != 0 || fault_applies (server, faults->shed))
    return queue_shed (request);
  record_run (request);
  if (is_crash_request (request))
    {
      ev_timer_start (server->loop, &server->crash_timer);
      suspend (request);
      return MHD_YES;
    }
  if (fault_applies (server, faults->close)
      || (reused && faults->close_reused != 0))
    return MHD_NO;
  if (fault_applies (server, faults->hang))
    {
      suspend (request);
      return MHD_YES;
    }
  if (faults->delay_ms == 0)
    return respond (request);
  const double share = faults->jitter != 0 ? rng_unit (&server->rng) : 1.0;
  ev_now_update (server->loop);
  ev_timer_set (&request->delay, share * faults->delay_ms / 1000.0, 0.);
  ev_timer_start (server->loop, &request->delay);
  suspend (request);
  return MHD_YES;
}

static enum MHD_Result
set_fault (void *owner, enum MHD_ValueKind kind, const char *name,
           const char *value)
{
  target_faults_set (owner, name, value);
  return MHD_YES;
}

static enum MHD_Result
control (struct request *request)
{
  struct target_server *server = request->server;
  struct json_object *body = NULL;
  if (strcmp (request->url, "/control/set") == 0)
    MHD_get_connection_values (request->connection, MHD_GET_ARGUMENT_KIND,
                               set_fault, &server->faults);
  if (strcmp (request->url, "/control/runs") == 0)
    {
      body = run_counts_json (server->runs);
      /* Marks the end of the lines of all runs so far. */
      if (server->run_log != NULL)
        {
          fputs ("counted\n", server->run_log);
          fflush (server->run_log);
        }
    }
  if (body == NULL)
    body = target_counts_json (&server->counts);
  const char *text = json_object_to_json_string (body);
  const enum MHD_Result result
      = target_response_queue_text (request, MHD_HTTP_OK, text, strlen (text));
  json_object_put (body);
  return result;
}

static struct request *
request_create (struct target_server *server,
                struct MHD_Connection *connection, const char *url,
                const char *method)
{
  struct request *request = xcalloc (1, sizeof *request);
  const union MHD_ConnectionInfo *info = MHD_get_connection_info (
      connection, MHD_CONNECTION_INFO_CONNECTION_FD);
  request->server = server;
  request->connection = connection;
  request->fd = info->connect_fd;
  request->url = xstrdup (url);
  snprintf (request->method, sizeof request->method, "%s", method);
  ev_timer_init (&request->delay, on_delay, 0., 0.);
  request->delay.data = request;
  DL_APPEND (server->requests, request);
  return request;
}

static enum MHD_Result
on_access (void *owner, struct MHD_Connection *connection, const char *url,
           const char *method, const char *version, const char *upload_data,
           size_t *upload_data_size, void **state)
{
  struct target_server *server = owner;
  struct request *request = *state;
  if (request == NULL)
    {
      request = request_create (server, connection, url, method);
      *state = request;
      return fault_applies (server, server->faults.early)
                 ? queue_shed (request)
                 : MHD_YES;
    }
  if (*upload_data_size > 0)
    {
      request->body = xreallocarray (
          request->body, request->body_bytes + *upload_data_size, 1);
      memcpy (request->body + request->body_bytes, upload_data,
              *upload_data_size);
      request->body_bytes += *upload_data_size;
      *upload_data_size = 0;
      return MHD_YES;
    }
  if (request->disconnected)
    return MHD_NO;
  const bool first = !request->complete;
  request->complete = true;
  if (first && strncmp (request->url, "/control/", 9) == 0)
    return control (request);
  if (first)
    return run (request);
  if (request->delay_elapsed)
    return respond (request);
  return MHD_YES;
}

static void
on_completed (void *owner, struct MHD_Connection *connection, void **state,
              enum MHD_RequestTerminationCode code)
{
  struct target_server *server = owner;
  struct request *request = *state;
  if (request == NULL)
    return;
  *state = NULL;
  if (request->watched)
    hangup_watch_remove (server->hangup, request->fd);
  ev_timer_stop (server->loop, &request->delay);
  if (request->disconnected)
    server->counts.cancelled++;
  if (!request->complete && !request->responded)
    server->counts.truncated_uploads++;
  DL_DELETE (server->requests, request);
  free (request->body);
  free (request->url);
  free (request);
}

static void
on_connection (void *owner, struct MHD_Connection *connection,
               void **socket_context, enum MHD_ConnectionNotificationCode code)
{
  struct target_server *server = owner;
  if (code == MHD_CONNECTION_NOTIFY_STARTED)
    {
      server->counts.connections++;
      *socket_context = xcalloc (1, sizeof (uint64_t));
      return;
    }
  free (*socket_context);
  *socket_context = NULL;
}

/* Closes the listener and all connections, as an exit of the process does. */
static void
stop (struct target_server *server)
{
  if (server->daemon == NULL)
    return;
  ev_timer_stop (server->loop, &server->crash_timer);
  struct request *request;
  DL_FOREACH (server->requests, request)
  {
    request->disconnected = true;
    resume (request);
  }
  mhd_loop_destroy (server->mhd_loop);
  MHD_stop_daemon (server->daemon);
  server->daemon = NULL;
}

static void
on_crash (struct ev_loop *loop, ev_timer *timer, int events)
{
  stop (timer->data);
}

struct target_server *
target_server_create (struct ev_loop *loop, const char *address,
                      const char *name)
{
  struct sockaddr_storage storage;
  if (mhd_loop_parse_address (address, &storage) == 0)
    return NULL;
  struct target_server *server = xcalloc (1, sizeof *server);
  server->loop = loop;
  snprintf (server->name, sizeof server->name, "%s", name);
  rng_seed (&server->rng, SEED);
  server->daemon = MHD_start_daemon (
      MHD_USE_EPOLL | MHD_ALLOW_SUSPEND_RESUME, 0, NULL, NULL, on_access,
      server, MHD_OPTION_SOCK_ADDR, &storage, MHD_OPTION_NOTIFY_COMPLETED,
      on_completed, server, MHD_OPTION_NOTIFY_CONNECTION, on_connection,
      server, MHD_OPTION_END);
  if (server->daemon == NULL)
    {
      free (server);
      return NULL;
    }
  server->runs = run_counts_create ();
  server->mhd_loop = mhd_loop_create (loop, server->daemon, NULL);
  server->hangup = hangup_watch_create (loop, on_hangup);
  ev_timer_init (&server->crash_timer, on_crash, 0., 0.);
  server->crash_timer.data = server;
  snprintf (server->address, sizeof server->address, "%.*s:%u",
            (int)(strrchr (address, ':') - address), address,
            mhd_loop_bound_port (server->daemon));
  return server;
}

void
target_server_destroy (struct target_server *server)
{
  if (server == NULL)
    return;
  stop (server);
  hangup_watch_destroy (server->hangup);
  run_counts_destroy (server->runs);
  free (server);
}

const char *
target_server_address (const struct target_server *server)
{
  return server->address;
}

struct target_faults *
target_server_faults (struct target_server *server)
{
  return &server->faults;
}

struct target_counts
target_server_counts (const struct target_server *server)
{
  return server->counts;
}

uint32_t
target_server_runs (const struct target_server *server, const char *id)
{
  return run_counts_get (server->runs, id);
}

uint32_t
target_server_max_runs (const struct target_server *server)
{
  return run_counts_max (server->runs);
}
