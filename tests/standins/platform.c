/* The stand-in platform.  docs/PLATFORM-API.md describes its API and the
   control endpoint that makes it fail. */
#include <inttypes.h>
#include <pthread.h>
#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <microhttpd.h>
#include <utlist.h>

#include "base/clock.h"
#include "base/json_text.h"
#include "base/options.h"
#include "base/xmalloc.h"
#include "node/mhd_loop.h"
#include "wire/platform_memory.h"

enum
{
  LAG_POLL_MS = 5,
  ADDRESS_SIZE = 64,
  NAME_TEXT_SIZE = 1024,
};

/* A write that reads of the host records don't return before the lag. */
struct delayed_write
{
  char *kind;
  char *name;
  char *value;
  int64_t written_ms;
  struct delayed_write *prev;
  struct delayed_write *next;
};

/* Guarded by `lock`; `changed` is signalled by writes and control requests. */
static struct
{
  pthread_mutex_t lock;
  pthread_cond_t changed;
  struct platform_memory *memory;
  struct platform_memory *lagging; /* applies the same writes after the lag */
  struct delayed_write *delayed;
  bool down;
  int64_t slow_ms;
  int64_t lag_ms;
  int64_t lose_answers;
  uint64_t reads;
  uint64_t writes;
  uint64_t watches;
} state = { .lock = PTHREAD_MUTEX_INITIALIZER };

/* Changed by control requests only, which this lock serializes. */
static pthread_mutex_t control_lock = PTHREAD_MUTEX_INITIALIZER;
static struct MHD_Daemon *api;
static char api_address[ADDRESS_SIZE];
static bool has_control;

struct request
{
  char *body;
  size_t body_bytes;
};

/* Waits for a change, an outage or UNTIL_MS. */
static void
wait_for_change (int64_t until_ms)
{
  const int64_t now_ms = clock_now_ms ();
  int64_t wait_ms = until_ms > now_ms ? until_ms - now_ms : 0;
  if (state.lag_ms > 0 && wait_ms > LAG_POLL_MS)
    wait_ms = LAG_POLL_MS;
  struct timespec at;
  clock_gettime (CLOCK_REALTIME, &at);
  at.tv_nsec += (wait_ms % 1000) * 1000000;
  at.tv_sec += wait_ms / 1000 + at.tv_nsec / 1000000000;
  at.tv_nsec %= 1000000000;
  pthread_cond_timedwait (&state.changed, &state.lock, &at);
}

static enum MHD_Result
respond (struct MHD_Connection *connection, unsigned code, char *text)
{
  struct MHD_Response *response = MHD_create_response_from_buffer (
      strlen (text), text, MHD_RESPMEM_MUST_FREE);
  MHD_add_response_header (response, "Content-Type", "application/json");
  const enum MHD_Result result
      = MHD_queue_response (connection, code, response);
  MHD_destroy_response (response);
  return result;
}

static enum MHD_Result
respond_error (struct MHD_Connection *connection, unsigned code,
               const char *why)
{
  return respond (connection, code, xasprintf ("{\"error\":\"%s\"}", why));
}

static int64_t
argument (struct MHD_Connection *connection, const char *name,
          int64_t default_value)
{
  const char *text
      = MHD_lookup_connection_value (connection, MHD_GET_ARGUMENT_KIND, name);
  return text == NULL ? default_value : strtoll (text, NULL, 10);
}

/* The store that reads of KIND use. */
static struct platform_memory *
visible_store (const char *kind)
{
  struct delayed_write *write;
  struct delayed_write *next;
  DL_FOREACH_SAFE (state.delayed, write, next)
  {
    if (write->written_ms + state.lag_ms > clock_now_ms ())
      break;
    platform_memory_put (state.lagging, write->kind, write->name,
                         write->value);
    DL_DELETE (state.delayed, write);
    free (write->kind);
    free (write->name);
    free (write->value);
    free (write);
  }
  return strcmp (kind, PLATFORM_KIND_HOST) == 0 ? state.lagging : state.memory;
}

static uint64_t
write_object (const char *kind, const char *name, const char *value)
{
  struct delayed_write *write = xcalloc (1, sizeof *write);
  write->kind = xstrdup (kind);
  write->name = xstrdup (name);
  write->value = xstrdup (value);
  write->written_ms = clock_now_ms ();
  DL_APPEND (state.delayed, write);
  pthread_cond_broadcast (&state.changed);
  return platform_memory_put (state.memory, kind, name, value);
}

static char *
object_text (const char *name, uint64_t version, const char *value)
{
  char quoted[NAME_TEXT_SIZE];
  json_text_quote (quoted, sizeof quoted, name);
  return xasprintf ("{\"name\":%s,\"version\":%" PRIu64 ",\"value\":%s}",
                    quoted, version, value == NULL ? "null" : value);
}

static char *
list_text (const char *kind, uint64_t since, size_t *count)
{
  char *text;
  size_t size;
  struct platform_object *objects;
  struct platform_memory *memory = visible_store (kind);
  FILE *out = open_memstream (&text, &size);
  *count = platform_memory_list (memory, kind, since, &objects);
  fprintf (out, "{\"revision\":%" PRIu64 ",\"objects\":[",
           platform_memory_revision (memory, kind));
  for (size_t i = 0; i < *count; i++)
    {
      char *object = object_text (objects[i].name, objects[i].version,
                                  objects[i].value);
      fprintf (out, "%s%s", i > 0 ? "," : "", object);
      free (object);
    }
  fputs ("]}", out);
  fclose (out);
  free (objects);
  return text;
}

static enum MHD_Result
respond_object (struct MHD_Connection *connection, unsigned default_value,
                const char *name, const struct platform_object *object)
{
  return respond (connection, default_value,
                  object == NULL
                      ? object_text (name, PLATFORM_VERSION_NONE, NULL)
                      : object_text (name, object->version, object->value));
}

static enum MHD_Result
serve_read (struct MHD_Connection *connection, const char *kind,
            const char *name)
{
  size_t count;
  state.reads++;
  if (name == NULL)
    return respond (connection, MHD_HTTP_OK, list_text (kind, 0, &count));
  const struct platform_object *object
      = platform_memory_find (visible_store (kind), kind, name);
  return respond_object (connection,
                         object == NULL ? MHD_HTTP_NOT_FOUND : MHD_HTTP_OK,
                         name, object);
}

static enum MHD_Result
serve_watch (struct MHD_Connection *connection, const char *kind)
{
  const uint64_t since = (uint64_t)argument (connection, "since", 0);
  const int64_t until_ms
      = clock_now_ms () + argument (connection, "timeout_ms", 0);
  state.watches++;
  for (;;)
    {
      size_t count;
      if (state.down)
        return MHD_NO;
      if (since > platform_memory_revision (state.memory, kind))
        return respond_error (connection, MHD_HTTP_GONE, "unknown revision");
      char *text = list_text (kind, since, &count);
      if (count > 0 || clock_now_ms () >= until_ms)
        return respond (connection, MHD_HTTP_OK, text);
      free (text);
      wait_for_change (until_ms);
    }
}

/* Reads the version that a write expects; false if it has no condition. */
static bool
read_condition (struct MHD_Connection *connection, uint64_t *expected)
{
  const char *match = MHD_lookup_connection_value (connection, MHD_HEADER_KIND,
                                                   MHD_HTTP_HEADER_IF_MATCH);
  const char *none = MHD_lookup_connection_value (
      connection, MHD_HEADER_KIND, MHD_HTTP_HEADER_IF_NONE_MATCH);
  *expected = PLATFORM_VERSION_NONE;
  if (match != NULL)
    *expected = strtoull (match + (*match == '"'), NULL, 10);
  return match != NULL ? *expected > 0 : none != NULL;
}

static enum MHD_Result
serve_write (struct MHD_Connection *connection, const char *kind,
             const char *name, const char *value)
{
  uint64_t expected;
  if (!read_condition (connection, &expected))
    return respond_error (connection, MHD_HTTP_PRECONDITION_REQUIRED,
                          "send If-Match or If-None-Match: *");
  const struct platform_object *old
      = platform_memory_find (state.memory, kind, name);
  const bool matches = expected == (old == NULL ? 0 : old->version)
                       && (old != NULL || value != NULL);
  struct platform_object written = { .name = name };
  if (matches)
    written.version = write_object (kind, name, value);
  if (state.lose_answers > 0)
    {
      state.lose_answers--;
      return MHD_NO;
    }
  return matches ? respond_object (connection, MHD_HTTP_OK, name, &written)
                 : respond_object (connection, MHD_HTTP_PRECONDITION_FAILED,
                                   name, old);
}

static enum MHD_Result
serve_put (struct MHD_Connection *connection, const char *kind,
           const char *name, const struct request *request)
{
  struct json_object *tree;
  state.writes++;
  if (request->body_bytes > PLATFORM_VALUE_MAX_BYTES)
    return respond_error (connection, MHD_HTTP_CONTENT_TOO_LARGE,
                          "the value is too large");
  if (options_parse ("body", request->body == NULL ? "" : request->body,
                     request->body_bytes, &tree)
          != STATUS_OK
      || tree == NULL)
    return respond_error (connection, MHD_HTTP_BAD_REQUEST,
                          "the value isn't JSON");
  const enum MHD_Result result = serve_write (
      connection, kind, name,
      json_object_to_json_string_ext (
          tree, JSON_C_TO_STRING_PLAIN | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (tree);
  return result;
}

static enum MHD_Result
serve_api (struct MHD_Connection *connection, const char *url,
           const char *method, const struct request *request)
{
  char kind[PLATFORM_NAME_SIZE];
  const int64_t until_ms = clock_now_ms () + state.slow_ms;
  while (!state.down && clock_now_ms () < until_ms)
    wait_for_change (until_ms);
  if (state.down)
    return MHD_NO;
  const bool is_watch = strncmp (url, "/watch/", strlen ("/watch/")) == 0;
  if (!is_watch && strncmp (url, "/objects/", strlen ("/objects/")) != 0)
    return respond_error (connection, MHD_HTTP_NOT_FOUND, "no such path");
  url += is_watch ? strlen ("/watch/") : strlen ("/objects/");
  const size_t length = strcspn (url, "/");
  if (length == 0 || length >= sizeof kind)
    return respond_error (connection, MHD_HTTP_BAD_REQUEST, "no kind");
  snprintf (kind, sizeof kind, "%.*s", (int)length, url);
  const char *name = url[length] == '/' ? url + length + 1 : NULL;
  if (strcmp (method, MHD_HTTP_METHOD_GET) == 0)
    return is_watch ? serve_watch (connection, kind)
                    : serve_read (connection, kind, name);
  if (name == NULL || is_watch)
    return respond_error (connection, MHD_HTTP_BAD_REQUEST, "no name");
  if (strcmp (method, MHD_HTTP_METHOD_PUT) == 0)
    return serve_put (connection, kind, name, request);
  if (strcmp (method, MHD_HTTP_METHOD_DELETE) != 0)
    return respond_error (connection, MHD_HTTP_METHOD_NOT_ALLOWED, "method");
  state.writes++;
  return serve_write (connection, kind, name, NULL);
}

static struct MHD_Daemon *start_daemon (const char *address);

/* With a separate control address, an outage closes the API's listener. */
static void
update_api_listener (bool down)
{
  if (!has_control)
    return;
  if (down && api != NULL)
    {
      MHD_stop_daemon (api);
      api = NULL;
    }
  else if (!down && api == NULL)
    api = start_daemon (api_address);
}

static enum MHD_Result
serve_control (struct MHD_Connection *connection, const char *url,
               const char *method)
{
  pthread_mutex_lock (&control_lock);
  pthread_mutex_lock (&state.lock);
  state.down = argument (connection, "down", state.down) != 0;
  state.slow_ms = argument (connection, "slow_ms", state.slow_ms);
  state.lag_ms = argument (connection, "lag_ms", state.lag_ms);
  state.lose_answers
      = argument (connection, "lose_answers", state.lose_answers);
  const bool down = state.down;
  char *text = xasprintf ("{\"reads\":%" PRIu64 ",\"writes\":%" PRIu64
                          ",\"watches\":%" PRIu64 "}",
                          state.reads, state.writes, state.watches);
  pthread_cond_broadcast (&state.changed);
  pthread_mutex_unlock (&state.lock);
  update_api_listener (down);
  pthread_mutex_unlock (&control_lock);
  return respond (connection, MHD_HTTP_OK, text);
}

static void
append_body (struct request *request, const char *data, size_t size)
{
  if (request->body_bytes > PLATFORM_VALUE_MAX_BYTES)
    return;
  request->body
      = xreallocarray (request->body, request->body_bytes + size + 1, 1);
  memcpy (request->body + request->body_bytes, data, size);
  request->body_bytes += size;
}

static enum MHD_Result
on_request (void *owner, struct MHD_Connection *connection, const char *url,
            const char *method, const char *version, const char *upload,
            size_t *upload_bytes, void **request)
{
  if (*request == NULL)
    {
      *request = xcalloc (1, sizeof (struct request));
      return MHD_YES;
    }
  if (*upload_bytes > 0)
    {
      append_body (*request, upload, *upload_bytes);
      *upload_bytes = 0;
      return MHD_YES;
    }
  if (strncmp (url, "/control", strlen ("/control")) == 0)
    return serve_control (connection, url, method);
  pthread_mutex_lock (&state.lock);
  const enum MHD_Result result = serve_api (connection, url, method, *request);
  pthread_mutex_unlock (&state.lock);
  return result;
}

static void
on_completed (void *owner, struct MHD_Connection *connection, void **request,
              enum MHD_RequestTerminationCode code)
{
  struct request *ended = *request;
  if (ended == NULL)
    return;
  free (ended->body);
  free (ended);
  *request = NULL;
}

static struct MHD_Daemon *
start_daemon (const char *address)
{
  struct sockaddr_storage storage;
  if (mhd_loop_parse_address (address, &storage) == 0)
    return NULL;
  return MHD_start_daemon (
      MHD_USE_INTERNAL_POLLING_THREAD | MHD_USE_THREAD_PER_CONNECTION
          | MHD_USE_POLL | MHD_USE_ITC,
      0, NULL, NULL, on_request, NULL, MHD_OPTION_SOCK_ADDR, &storage,
      MHD_OPTION_NOTIFY_COMPLETED, on_completed, NULL,
      MHD_OPTION_LISTENING_ADDRESS_REUSE, 1U, MHD_OPTION_END);
}

/* Listens at ADDRESS and prints the bound address after LABEL. */
static struct MHD_Daemon *
listen_at (const char *label, const char *address, char actual[ADDRESS_SIZE])
{
  struct MHD_Daemon *daemon = start_daemon (address);
  const char *colon = strrchr (address, ':');
  if (daemon == NULL || colon == NULL)
    {
      fprintf (stderr, "can't listen at %s: choose a free IP:PORT\n", address);
      exit (EXIT_FAILURE);
    }
  snprintf (actual, ADDRESS_SIZE, "%.*s:%u", (int)(colon - address), address,
            (unsigned)mhd_loop_bound_port (daemon));
  printf ("%s %s\n", label, actual);
  return daemon;
}

int
main (int argc, char **argv)
{
  const char *listen_address = NULL;
  const char *control_address = NULL;
  char actual[ADDRESS_SIZE];
  for (int i = 1; i + 1 < argc; i += 2)
    if (strcmp (argv[i], "--listen") == 0)
      listen_address = argv[i + 1];
    else if (strcmp (argv[i], "--control") == 0)
      control_address = argv[i + 1];
  if (listen_address == NULL)
    {
      fputs ("usage: standin_platform --listen IP:PORT [--control IP:PORT]\n",
             stderr);
      return EXIT_FAILURE;
    }
  sigset_t end_signals;
  int signal_number;
  sigemptyset (&end_signals);
  sigaddset (&end_signals, SIGTERM);
  sigaddset (&end_signals, SIGINT);
  pthread_sigmask (SIG_BLOCK, &end_signals, NULL);
  signal (SIGPIPE, SIG_IGN);
  pthread_cond_init (&state.changed, NULL);
  state.memory = platform_memory_create ();
  state.lagging = platform_memory_create ();
  has_control = control_address != NULL;
  api = listen_at ("listening", listen_address, api_address);
  struct MHD_Daemon *control
      = control_address != NULL
            ? listen_at ("control", control_address, actual)
            : NULL;
  fflush (stdout);
  sigwait (&end_signals, &signal_number);
  pthread_mutex_lock (&state.lock);
  state.down = true;
  pthread_cond_broadcast (&state.changed);
  pthread_mutex_unlock (&state.lock);
  if (control != NULL)
    MHD_stop_daemon (control);
  if (api != NULL)
    MHD_stop_daemon (api);
  state.lag_ms = 0;
  visible_store (PLATFORM_KIND_HOST);
  platform_memory_destroy (state.memory);
  platform_memory_destroy (state.lagging);
  return EXIT_SUCCESS;
}
