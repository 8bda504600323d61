#include "node/caller/target_call.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/xmalloc.h"
#include "wire/response_head.h"

enum
{
  URL_SIZE = 96,
  FIELD_LINE_SIZE = 1024,
  MESSAGE_SIZE = CURL_ERROR_SIZE + 64,
  MS_PER_SECOND = 1000
};

struct target_call
{
  const struct target_call_events *events;
  void *owner; /* NULL after target_call_cancel() */
  struct curl_loop *curl;
  CURL *easy;
  struct curl_slist *fields;
  struct curl_slist *connect_to;
  struct response_head response_head;
  struct header_list response_headers;
  bool head_only;
  const char *error; /* why the response is invalid or was rejected */
  bool is_rejected;
  bool send_paused;
  bool receive_paused;
  bool has_stale_input; /* the connection had bytes before the request */
  bool restarted;
  uint32_t send_count;
  char message[CURL_ERROR_SIZE];
};

static int
on_before_send (void *owner, char *remote_ip, char *local_ip, int remote_port,
                int local_port)
{
  struct target_call *call = owner;
  if (call->owner == NULL || call->send_count > 0)
    return CURL_PREREQFUNC_ABORT;
  const struct curl_loop_peer peer
      = { remote_ip, (uint16_t)remote_port, (uint16_t)local_port };
  /* Bytes that arrive before the request can't be its response: the target
     sent more than its last one.  libcurl 7.88 would read them as the
     response. */
  call->has_stale_input = curl_loop_has_input (call->curl, call->easy, &peer);
  if (call->has_stale_input)
    return CURL_PREREQFUNC_ABORT;
  call->send_count++;
  return CURL_PREREQFUNC_OK;
}

static size_t
on_read (char *data, size_t size, size_t count, void *owner)
{
  struct target_call *call = owner;
  if (call->owner == NULL)
    return CURL_READFUNC_ABORT;
  const size_t count_read
      = call->events->read (call->owner, data, size * count);
  call->send_paused = count_read == TARGET_CALL_PAUSE;
  return call->send_paused ? CURL_READFUNC_PAUSE : count_read;
}

static bool
is_number (const char *text)
{
  return text[0] != '\0' && strspn (text, "0123456789") == strlen (text);
}

/* Read the length of the response body; -1: the body delimits itself.

   libcurl accepts contradictory lengths.  It would read the body by one of
   them while the caller was given the other, so that a truncated response
   would look complete.  Chunked coding overrides a length (RFC 9112, 6.3); two
   different lengths, or one that is not a number, make the response
   invalid. */
static bool
read_length (const struct target_call *call, int64_t *length)
{
  const struct header_list *response_headers = &call->response_headers;
  *length = -1;
  if (header_list_find (response_headers, "Transfer-Encoding") != NULL)
    return true;
  const char *first = header_list_find (response_headers, "Content-Length");
  if (first == NULL)
    return true;
  for (size_t i = 0; i < response_headers->count; i++)
    if (strcasecmp (header_list_name (response_headers, i), "Content-Length")
            == 0
        && strcmp (header_list_value (response_headers, i), first) != 0)
      return false;
  *length = strtoll (first, NULL, 10);
  return is_number (first);
}

static bool
has_new_connection (const struct target_call *call)
{
  long connects = 0;
  curl_easy_getinfo (call->easy, CURLINFO_NUM_CONNECTS, &connects);
  return connects > 0;
}

static bool
end_of_head (struct target_call *call)
{
  long status = 0;
  int64_t length = -1;
  curl_easy_getinfo (call->easy, CURLINFO_RESPONSE_CODE, &status);
  if (!read_length (call, &length))
    {
      call->error = "the answer contradicts itself on its length";
      return false;
    }
  const struct target_head head
      = { .status = (uint32_t)status,
          .length_bytes = length,
          .is_first_on_connection = has_new_connection (call),
          .headers = &call->response_headers };
  call->error = call->events->head (call->owner, &head);
  call->is_rejected = call->error != NULL;
  return !call->is_rejected;
}

static bool
add_field (struct target_call *call, const char *line, size_t size)
{
  const char *colon = memchr (line, ':', size);
  if (colon == NULL)
    return true;
  const char *value = colon + 1;
  const char *end = line + size;
  while (value < end && (*value == ' ' || *value == '\t'))
    value++;
  while (end > value && strchr ("\r\n \t", end[-1]) != NULL)
    end--;
  const size_t name_size = (size_t)(colon - line);
  if (header_list_add (&call->response_headers, line, name_size, value,
                       (size_t)(end - value))
      == STATUS_OK)
    return true;
  call->error = "the answer's header fields are too large";
  return false;
}

static bool
on_head_line (void *owner, enum response_line what, const char *line,
              size_t size)
{
  struct target_call *call = owner;
  if (call->owner == NULL)
    return false;
  switch (what)
    {
    case RESPONSE_LINE_STATUS:
      header_list_clear (&call->response_headers);
      return true;
    case RESPONSE_LINE_FIELD:
      return add_field (call, line, size);
    case RESPONSE_LINE_END:
      return end_of_head (call);
    case RESPONSE_LINE_INTERIM_END:
    case RESPONSE_LINE_TRAILER: /* isn't forwarded */
      return true;
    }
  return false;
}

static size_t
on_body (char *data, size_t size, size_t count, void *owner)
{
  struct target_call *call = owner;
  if (call->owner == NULL)
    return 0;
  call->receive_paused = !call->events->body (call->owner, data, size * count);
  return call->receive_paused ? CURL_WRITEFUNC_PAUSE : size * count;
}

static void
call_destroy (struct target_call *call)
{
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->fields);
  curl_slist_free_all (call->connect_to);
  header_list_release (&call->response_headers);
  free (call);
}

static void on_done (void *owner, CURLcode code, CURL *easy);

/* Nothing was sent or read: the call can use a new connection. */
static void
restart (struct target_call *call)
{
  call->restarted = true;
  call->has_stale_input = false;
  call->message[0] = '\0';
  curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  curl_loop_start (call->curl, call->easy, on_done, call);
}

/* Says how far the response had come, unless it was rejected here. */
static const char *
describe_end (const struct target_call *call, CURLcode code,
              char text[MESSAGE_SIZE])
{
  if (call->error != NULL)
    return call->error;
  const char *why
      = call->message[0] != '\0' ? call->message : curl_easy_strerror (code);
  if (call->send_count == 0)
    return why;
  snprintf (text, MESSAGE_SIZE, "%s: %s",
            response_head_describe (&call->response_head), why);
  return text;
}

static void
on_done (void *owner, CURLcode transfer_code, CURL *easy)
{
  struct target_call *call = owner;
  const CURLcode code
      = response_head_result (&call->response_head, transfer_code);
  char text[MESSAGE_SIZE];
  if (call->has_stale_input && call->send_count == 0 && call->owner != NULL
      && !call->restarted)
    {
      restart (call);
      return;
    }
  enum target_call_end end = TARGET_CALL_BROKEN;
  if (call->send_count == 0)
    end = TARGET_CALL_NOT_SENT;
  else if (call->is_rejected || call->response_head.is_malformed)
    end = TARGET_CALL_REJECTED;
  else if (code == CURLE_OK)
    end = TARGET_CALL_COMPLETE;
  if (call->owner != NULL)
    call->events->end (call->owner, end, describe_end (call, code, text));
  call_destroy (call);
}

static void
add_line (struct target_call *call, const char *line)
{
  call->fields = curl_slist_append (call->fields, line);
}

/* libcurl interprets "Name:" as removal of its own field, and "Name;" as a
   field without a value. */
static void
add_header (struct target_call *call, const char *name, const char *value)
{
  char buffer[FIELD_LINE_SIZE];
  const size_t size = strlen (name) + strlen (value) + 3;
  char *line = size <= sizeof buffer ? buffer : xmalloc (size);
  if (value[0] == '\0')
    snprintf (line, size, "%s;", name);
  else
    snprintf (line, size, "%s: %s", name, value);
  add_line (call, line);
  if (line != buffer)
    free (line);
}

static void
add_headers (struct target_call *call,
             const struct target_call_options *options)
{
  const struct header_list *headers = options->headers;
  for (size_t i = 0; i < headers->count; i++)
    add_header (call, header_list_name (headers, i),
                header_list_value (headers, i));
  for (const char *const *extra = options->extra_fields;
       extra != NULL && *extra != NULL; extra++)
    add_line (call, *extra);
  if (header_list_find (headers, "Accept") == NULL)
    add_line (call, "Accept:");
  add_line (call, "Expect:");
}

static void
set_method (struct target_call *call,
            const struct target_call_options *options)
{
  CURL *easy = call->easy;
  if (options->has_body)
    {
      curl_easy_setopt (easy, CURLOPT_UPLOAD, 1L);
      curl_easy_setopt (easy, CURLOPT_INFILESIZE_LARGE,
                        (curl_off_t)options->body_bytes);
      curl_easy_setopt (easy, CURLOPT_READFUNCTION, on_read);
      curl_easy_setopt (easy, CURLOPT_READDATA, call);
    }
  call->head_only = strcmp (options->method, "HEAD") == 0;
  if (call->head_only)
    curl_easy_setopt (easy, CURLOPT_NOBODY, 1L);
  else
    curl_easy_setopt (easy, CURLOPT_CUSTOMREQUEST, options->method);
}

/* libcurl reuses connections of the same host name in the URL.  The name of
   the pool is never resolved, since the address to connect to is given, and
   isn't sent, since the field Host is. */
static void
set_pool (struct target_call *call, const struct target_call_options *options)
{
  char text[URL_SIZE];
  snprintf (text, sizeof text, "http://%016" PRIx64 ".invalid/",
            options->pool);
  curl_easy_setopt (call->easy, CURLOPT_URL, text);
  snprintf (text, sizeof text, "::%s", options->address);
  call->connect_to = curl_slist_append (NULL, text);
  curl_easy_setopt (call->easy, CURLOPT_CONNECT_TO, call->connect_to);
  if (header_list_find (options->headers, "Host") == NULL)
    add_header (call, "Host", options->address);
}

static void
set_address (struct target_call *call,
             const struct target_call_options *options)
{
  CURL *easy = call->easy;
  char url[URL_SIZE];
  snprintf (url, sizeof url, "http://%s/", options->address);
  curl_easy_setopt (easy, CURLOPT_URL, url);
  if (options->pool != 0)
    set_pool (call, options);
  curl_easy_setopt (easy, CURLOPT_REQUEST_TARGET, options->uri);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)options->connect_timeout_ms);
  /* libcurl also closes the connections of all other calls that have been idle
     for longer, so a call that reuses none must not limit this. */
  if (!options->force_new_connection)
    curl_easy_setopt (easy, CURLOPT_MAXAGE_CONN,
                      (long)(options->reuse_idle_max_ms / MS_PER_SECOND));
  else
    {
      curl_easy_setopt (easy, CURLOPT_FRESH_CONNECT, 1L);
      /* Otherwise each such call would leave one more connection open. */
      curl_easy_setopt (easy, CURLOPT_FORBID_REUSE, 1L);
    }
}

static void
set_callbacks (struct target_call *call)
{
  CURL *easy = call->easy;
  curl_easy_setopt (easy, CURLOPT_ERRORBUFFER, call->message);
  curl_easy_setopt (easy, CURLOPT_PREREQFUNCTION, on_before_send);
  curl_easy_setopt (easy, CURLOPT_PREREQDATA, call);
  response_head_attach (&call->response_head, easy, on_head_line, call);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, on_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
}

struct target_call *
target_call_start (const struct target_call_options *options)
{
  struct target_call *call = xcalloc (1, sizeof *call);
  call->events = options->events;
  call->owner = options->owner;
  call->curl = options->curl;
  call->easy = curl_loop_create_easy ();
  set_address (call, options);
  set_callbacks (call);
  set_method (call, options);
  add_headers (call, options);
  curl_easy_setopt (call->easy, CURLOPT_HTTPHEADER, call->fields);
  curl_loop_start (call->curl, call->easy, on_done, call);
  return call;
}

void
target_call_cancel (struct target_call *call)
{
  call->owner = NULL;
  curl_loop_cancel (call->curl, call->easy);
}

bool
target_call_may_have_sent (const struct target_call *call)
{
  return call->send_count > 0;
}

void
target_call_unpause (struct target_call *call, bool send, bool receive)
{
  const bool resume_send = send && call->send_paused;
  const bool resume_receive = receive && call->receive_paused;
  if (!resume_send && !resume_receive)
    return;
  call->send_paused = call->send_paused && !resume_send;
  call->receive_paused = call->receive_paused && !resume_receive;
  const int pause_mask = (call->send_paused ? CURLPAUSE_SEND : 0)
                         | (call->receive_paused ? CURLPAUSE_RECV : 0);
  curl_loop_pause (call->curl, call->easy, pause_mask);
}
