#include "wire/platform_http.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/xmalloc.h"
#include "wire/curl_loop.h"
#include "wire/platform_http_reply.h"

enum
{
  TIMEOUT_DEFAULT_MS = 2000,
  CONNECT_TIMEOUT_DEFAULT_MS = 1000,
  RESPONSE_MAX_BYTES = 64 * 1024 * 1024,

  HTTP_NOT_FOUND = 404,
  HTTP_CONFLICT = 409,
  HTTP_GONE = 410,
  HTTP_PRECONDITION_FAILED = 412,
  HTTP_TOO_MANY_REQUESTS = 429,
  HTTP_SERVER_ERROR = 500,
  HTTP_UNAVAILABLE = 503,
};

enum call_kind
{
  CALL_GET,
  CALL_LIST,
  CALL_PUT,
  CALL_WATCH
};

struct platform_http
{
  struct platform platform;
  const struct platform_http_dialect *dialect;
  struct curl_loop *cl;
  char *addresses[PLATFORM_HTTP_ADDRESSES_MAX];
  size_t count;
  size_t preferred; /* the address that calls begin with */
  uint32_t timeout_ms;
  uint32_t connect_timeout_ms;
  struct http_call *calls;
};

struct http_call
{
  struct platform_http *http;
  enum call_kind kind;
  enum platform_age age; /* LIST */
  CURL *easy;
  struct curl_slist *headers;
  char *path;
  char *object_kind;
  char *value;   /* PUT: NULL removes the object */
  char *request; /* PUT: the body that is sent */
  /* LIST: the pages that have come, and all of their objects. */
  struct platform_http_reply *pages;
  size_t page_count;
  size_t address;
  size_t attempts;
  uint32_t timeout_ms;
  char *body;
  size_t body_bytes;
  platform_done *done; /* NULL once cancelled */
  void *owner;
  struct http_call *prev;
  struct http_call *next;
};

static void
free_call (struct http_call *call)
{
  DL_DELETE (call->http->calls, call);
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  for (size_t i = 0; i < call->page_count; i++)
    platform_http_reply_release (&call->pages[i]);
  free (call->pages);
  free (call->path);
  free (call->object_kind);
  free (call->request);
  free (call->value);
  free (call->body);
  free (call);
}

static size_t
take_body (char *data, size_t size, size_t count, void *owner)
{
  struct http_call *call = owner;
  const size_t more = size * count;
  if (call->body_bytes + more > RESPONSE_MAX_BYTES)
    return 0;
  call->body = xreallocarray (call->body, call->body_bytes + more + 1, 1);
  memcpy (call->body + call->body_bytes, data, more);
  call->body_bytes += more;
  call->body[call->body_bytes] = '\0';
  return more;
}

/* The owner may cancel all of its calls within its callback: this one must no
   longer count as under way then. */
static void
end (struct http_call *call, const struct platform_reply *reply)
{
  platform_done *done = call->done;
  call->done = NULL;
  done (call->owner, reply);
  free_call (call);
}

static void
end_failed (struct http_call *call, enum status status, const char *message)
{
  const struct platform_reply reply = { .status = status, .message = message };
  end (call, &reply);
}

/* The answer to a write tells the version only: the value is known here. */
static void
end_written (struct http_call *call)
{
  struct platform_http_reply parsed = { 0 };
  if (call->http->dialect->read_object (&parsed, call->object_kind, call->body,
                                        call->body_bytes)
      != STATUS_OK)
    {
      platform_http_reply_release (&parsed);
      end_failed (call, STATUS_LOST_ANSWER,
                  "the platform took the write but its answer can't be "
                  "understood; read the object back");
      return;
    }
  parsed.objects[0].value = call->value;
  const struct platform_reply reply = { .status = STATUS_OK,
                                        .objects = parsed.objects,
                                        .count = parsed.count };
  end (call, &reply);
  platform_http_reply_release (&parsed);
}

static void
end_read (struct http_call *call)
{
  const struct platform_http_dialect *dialect = call->http->dialect;
  struct platform_http_reply parsed = { 0 };
  const enum status status = (call->kind == CALL_GET ? dialect->read_object
                                                     : dialect->read_changes) (
      &parsed, call->object_kind, call->body, call->body_bytes);
  const struct platform_reply reply
      = { .status = status,
          .message = status == STATUS_OK ? NULL : status_message (),
          .revision = parsed.revision,
          .objects = parsed.objects,
          .count = parsed.count };
  end (call, &reply);
  platform_http_reply_release (&parsed);
}

/* What was changed between two pages is told again by a watch from the first
   page's revision. */
static void
end_list (struct http_call *call)
{
  size_t count = 0;
  for (size_t i = 0; i < call->page_count; i++)
    count += call->pages[i].count;
  struct platform_object *objects = xcalloc (count + 1, sizeof *objects);
  count = 0;
  for (size_t i = 0; i < call->page_count; i++)
    for (size_t k = 0; k < call->pages[i].count; k++)
      objects[count++] = call->pages[i].objects[k];
  const struct platform_reply reply = { .status = STATUS_OK,
                                        .revision = call->pages[0].revision,
                                        .objects = objects,
                                        .count = count };
  end (call, &reply);
  free (objects);
}

static void start (struct http_call *call);

static void
take_page (struct http_call *call)
{
  const struct platform_http_dialect *dialect = call->http->dialect;
  call->pages
      = xreallocarray (call->pages, call->page_count + 1, sizeof *call->pages);
  struct platform_http_reply *page = &call->pages[call->page_count++];
  *page = (struct platform_http_reply){ 0 };
  if (dialect->read_list (page, call->object_kind, call->body,
                          call->body_bytes)
      != STATUS_OK)
    {
      end_failed (call, STATUS_INVALID, status_message ());
      return;
    }
  if (page->more_after[0] == '\0')
    {
      end_list (call);
      return;
    }
  free (call->path);
  call->path
      = dialect->list_path (call->object_kind, page->more_after, call->age);
  call->attempts = 0;
  start (call);
}

static void
end_conflict (struct http_call *call)
{
  struct platform_http_reply parsed = { 0 };
  call->http->dialect->read_object (&parsed, call->object_kind, call->body,
                                    call->body_bytes);
  const bool exists = parsed.count > 0 && parsed.objects[0].value != NULL;
  const struct platform_reply reply
      = { .status = STATUS_REFUSED,
          .message = exists ? "the object was changed meanwhile; look at it "
                              "and decide again"
                            : "there is no such object any more",
          .objects = parsed.objects,
          .count = exists ? 1 : 0 };
  end (call, &reply);
  platform_http_reply_release (&parsed);
}

static void
end_refused (struct http_call *call, long code)
{
  char message[160];
  snprintf (message, sizeof message,
            "the platform answered %ld to %s; check that it and this program "
            "speak the same API",
            code, call->path);
  switch (code)
    {
    case HTTP_NOT_FOUND:
      end_failed (call, STATUS_NOT_FOUND, "the platform has no such object");
      return;
    case HTTP_CONFLICT:
    case HTTP_PRECONDITION_FAILED:
      end_conflict (call);
      return;
    case HTTP_GONE:
      end_failed (call, STATUS_REFUSED,
                  "the platform no longer knows that revision; list again");
      return;
    case HTTP_TOO_MANY_REQUESTS:
      end_failed (call, STATUS_LIMIT,
                  "the platform takes no more calls now; come back later");
      return;
    default:
      end_failed (call, STATUS_INVALID, message);
    }
}

/* A write is connected afresh, so a transfer that never connected has sent no
   byte of it.  All else may have reached the platform. */
static bool
surely_not_sent (struct http_call *call, CURLcode code)
{
  curl_off_t connect_us = 0;
  curl_easy_getinfo (call->easy, CURLINFO_CONNECT_TIME_T, &connect_us);
  return code != CURLE_OK
         && (code == CURLE_COULDNT_CONNECT || connect_us == 0);
}

static void
fail_over (struct http_call *call, CURLcode code, long http_code)
{
  struct platform_http *http = call->http;
  const bool unsent = surely_not_sent (call, code)
                      || (code == CURLE_OK && http_code == HTTP_UNAVAILABLE
                          && http->dialect->unavailable_is_undone);
  if (http->preferred == call->address)
    http->preferred = (call->address + 1) % http->count;
  if ((unsent || call->kind != CALL_PUT) && call->attempts < http->count)
    {
      call->address = (call->address + 1) % http->count;
      start (call);
      return;
    }
  char why[64];
  char message[192];
  snprintf (why, sizeof why, "answered %ld", http_code);
  snprintf (message, sizeof message, "the platform at %s %s (%s); %s",
            http->addresses[call->address],
            unsent ? "can't be reached" : "gave no answer",
            code == CURLE_OK ? why : curl_easy_strerror (code),
            unsent || call->kind != CALL_PUT
                ? "wait until it is back, or check platform addresses"
                : "the write may have taken effect: read it back");
  end_failed (call, unsent ? STATUS_UNREACHABLE : STATUS_LOST_ANSWER, message);
}

static void
on_done (void *owner, CURLcode code, CURL *easy)
{
  struct http_call *call = owner;
  long http_code = 0;
  if (call->done == NULL)
    {
      free_call (call);
      return;
    }
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &http_code);
  if (code != CURLE_OK || http_code >= HTTP_SERVER_ERROR)
    fail_over (call, code, http_code);
  else if (http_code != 200)
    end_refused (call, http_code);
  else if (call->kind == CALL_PUT)
    end_written (call);
  else if (call->kind == CALL_LIST)
    take_page (call);
  else
    end_read (call);
}

static void
start (struct http_call *call)
{
  struct platform_http *http = call->http;
  char *url
      = xasprintf ("http://%s%s", http->addresses[call->address], call->path);
  curl_easy_setopt (call->easy, CURLOPT_URL, url);
  free (url);
  free (call->body);
  call->body = xstrdup ("");
  call->body_bytes = 0;
  call->attempts++;
  http->platform.calls++;
  curl_loop_start (http->cl, call->easy, on_done, call);
}

static struct http_call *
new_call (struct platform *platform, enum call_kind kind,
          const char *object_kind, platform_done *done, void *owner)
{
  struct platform_http *http = (struct platform_http *)platform;
  struct http_call *call = xcalloc (1, sizeof *call);
  call->http = http;
  call->kind = kind;
  call->object_kind = xstrdup (object_kind);
  call->address = http->preferred;
  call->timeout_ms = http->timeout_ms;
  call->done = done;
  call->owner = owner;
  call->easy = curl_loop_easy ();
  DL_APPEND (http->calls, call);
  return call;
}

static void
configure_and_start (struct http_call *call)
{
  CURL *easy = call->easy;
  call->headers = curl_slist_append (call->headers, "Expect:");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, take_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)call->http->connect_timeout_ms);
  start (call);
}

static void
get (struct platform *platform, const char *kind, const char *name,
     platform_done *done, void *owner)
{
  struct http_call *call = new_call (platform, CALL_GET, kind, done, owner);
  call->path = call->http->dialect->get_path (kind, name);
  configure_and_start (call);
}

static void
list (struct platform *platform, const char *kind, enum platform_age age,
      platform_done *done, void *owner)
{
  struct http_call *call = new_call (platform, CALL_LIST, kind, done, owner);
  call->age = age;
  call->path = call->http->dialect->list_path (kind, "", age);
  configure_and_start (call);
}

static void
watch (struct platform *platform, const char *kind, uint64_t revision,
       uint32_t timeout_ms, enum platform_age age, platform_done *done,
       void *owner)
{
  struct http_call *call = new_call (platform, CALL_WATCH, kind, done, owner);
  call->path
      = call->http->dialect->watch_path (kind, revision, timeout_ms, age);
  call->timeout_ms += timeout_ms;
  configure_and_start (call);
}

static void
set_body (struct http_call *call, char *body)
{
  call->request = body;
  if (body == NULL)
    return;
  call->headers
      = curl_slist_append (call->headers, "Content-Type: application/json");
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)strlen (body));
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, body);
}

static void
put (struct platform *platform, const char *kind, const char *name,
     uint64_t expected_version, const char *value, platform_done *done,
     void *owner)
{
  struct http_call *call = new_call (platform, CALL_PUT, kind, done, owner);
  struct platform_http_write write = { 0 };
  call->value = xstrdup (value);
  call->http->dialect->write (kind, name, expected_version, value, &write);
  call->path = write.path;
  if (write.condition != NULL)
    call->headers = curl_slist_append (call->headers, write.condition);
  free (write.condition);
  set_body (call, write.body);
  curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, write.method);
  /* Guards against a write that is sent twice: when a kept connection closes
     before the first byte of the answer, libcurl takes the request for unsent
     and sends it again.  The first may have taken effect; the second is then
     refused, and a write in force would be reported as a conflict.  On a
     connection that never carried a request libcurl doesn't send again. */
  curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  configure_and_start (call);
}

static void
cancel (struct platform *platform, void *owner)
{
  struct platform_http *http = (struct platform_http *)platform;
  struct http_call *call;
  DL_FOREACH (http->calls, call)
  {
    if (call->owner != owner || call->done == NULL)
      continue;
    call->done = NULL;
    curl_loop_cancel (http->cl, call->easy);
  }
}

static void
destroy (struct platform *platform)
{
  struct platform_http *http = (struct platform_http *)platform;
  struct http_call *call;
  DL_FOREACH (http->calls, call)
  {
    call->done = NULL;
  }
  curl_loop_destroy (http->cl);
  for (size_t i = 0; i < http->count; i++)
    free (http->addresses[i]);
  free (http);
}

static const struct platform_ops http_ops = { .get = get,
                                              .list = list,
                                              .put = put,
                                              .watch = watch,
                                              .cancel = cancel,
                                              .destroy = destroy };

struct platform *
platform_http_create (const struct platform_http_options *options)
{
  if (options->count == 0 || options->count > PLATFORM_HTTP_ADDRESSES_MAX)
    {
      status_set (STATUS_INVALID,
                  "expected 1 to %d platform addresses, found %zu; name some "
                  "of them",
                  PLATFORM_HTTP_ADDRESSES_MAX, options->count);
      return NULL;
    }
  struct platform_http *http = xcalloc (1, sizeof *http);
  http->platform.ops = &http_ops;
  http->cl
      = curl_loop_create (options->loop, &(struct curl_loop_options){ 0 });
  http->dialect = options->dialect != NULL ? options->dialect
                                           : &platform_http_dialect_own;
  http->count = options->count;
  for (size_t i = 0; i < http->count; i++)
    http->addresses[i] = xstrdup (options->addresses[i]);
  http->timeout_ms
      = options->timeout_ms > 0 ? options->timeout_ms : TIMEOUT_DEFAULT_MS;
  http->connect_timeout_ms = options->connect_timeout_ms > 0
                                 ? options->connect_timeout_ms
                                 : CONNECT_TIMEOUT_DEFAULT_MS;
  return &http->platform;
}
