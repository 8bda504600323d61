#include "wire/platform_http.h"

#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/xmalloc.h"
#include "wire/platform_http_call.h"
#include "wire/platform_version.h"

enum
{
  TIMEOUT_DEFAULT_MS = 2000,
  CONNECT_TIMEOUT_DEFAULT_MS = 1000,
};

static void
get (struct platform *platform, const char *kind, const char *name,
     platform_done *done, void *owner)
{
  struct http_call *call
      = platform_http_call_create (platform, CALL_GET, kind, done, owner);
  call->path = call->http->dialect->get_path (kind, name);
  platform_http_call_begin (call);
}

static void
list (struct platform *platform, const char *kind,
      enum platform_read_mode mode, platform_done *done, void *owner)
{
  struct http_call *call
      = platform_http_call_create (platform, CALL_LIST, kind, done, owner);
  call->read_mode = mode;
  call->path = call->http->dialect->list_path (kind, "", mode);
  platform_http_call_begin (call);
}

static void
watch (struct platform *platform, const char *kind, uint64_t revision,
       uint32_t timeout_ms, enum platform_read_mode mode, platform_done *done,
       void *owner)
{
  struct http_call *call
      = platform_http_call_create (platform, CALL_WATCH, kind, done, owner);
  call->since = revision;
  call->path = call->http->dialect->watch_path (
      kind, platform_version_revision (revision), timeout_ms, mode);
  call->timeout_ms += timeout_ms;
  platform_http_call_begin (call);
}

static void
set_body (struct http_call *call, char *body)
{
  call->request_body = body;
  if (body == NULL)
    return;
  call->headers
      = curl_slist_append (call->headers, "Content-Type: application/json");
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDSIZE_LARGE,
                    (curl_off_t)strlen (body));
  curl_easy_setopt (call->easy, CURLOPT_POSTFIELDS, body);
}

/* In another era the platform may have given the expected revision to another
   state of the object, and the write would replace that. */
static bool
has_outdated_condition (const struct platform *platform, uint64_t expected)
{
  return expected != PLATFORM_VERSION_NONE
         && platform_version_era (expected) != platform->era;
}

static void
refuse_put (struct platform *platform, const char *kind, const char *name,
            platform_done *done, void *owner)
{
  struct http_call *call
      = platform_http_call_create (platform, CALL_GET, kind, done, owner);
  call->is_refused_write = true;
  call->path = call->http->dialect->get_path (kind, name);
  platform_http_call_begin (call);
}

static void
put (struct platform *platform, const char *kind, const char *name,
     uint64_t expected_version, const char *value, platform_done *done,
     void *owner)
{
  if (has_outdated_condition (platform, expected_version))
    {
      refuse_put (platform, kind, name, done, owner);
      return;
    }
  struct http_call *call
      = platform_http_call_create (platform, CALL_PUT, kind, done, owner);
  struct platform_http_write write = { 0 };
  call->value = xstrdup (value);
  call->http->dialect->write (
      kind, name, platform_version_revision (expected_version), value, &write);
  call->path = write.path;
  if (write.condition != NULL)
    call->headers = curl_slist_append (call->headers, write.condition);
  free (write.condition);
  set_body (call, write.body);
  curl_easy_setopt (call->easy, CURLOPT_CUSTOMREQUEST, write.method);
  /* If a reused connection closes before the first byte of the response,
     libcurl assumes that the request wasn't sent and sends it again.  The
     first one may have taken effect; the second would then be refused, and a
     successful write reported as a conflict.  libcurl doesn't resend on a
     fresh connection. */
  curl_easy_setopt (call->easy, CURLOPT_FRESH_CONNECT, 1L);
  platform_http_call_begin (call);
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
  for (size_t i = 0; i < http->address_count; i++)
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
      status_set (
          STATUS_INVALID,
          "expected 1 to %d platform addresses, found %zu; correct the "
          "list",
          PLATFORM_HTTP_ADDRESSES_MAX, options->count);
      return NULL;
    }
  struct platform_http *http = xcalloc (1, sizeof *http);
  http->platform.ops = &http_ops;
  http->cl
      = curl_loop_create (options->loop, &(struct curl_loop_options){ 0 });
  http->dialect = options->dialect != NULL ? options->dialect
                                           : &platform_http_dialect_native;
  http->address_count = options->count;
  for (size_t i = 0; i < http->address_count; i++)
    http->addresses[i] = xstrdup (options->addresses[i]);
  http->timeout_ms
      = options->timeout_ms > 0 ? options->timeout_ms : TIMEOUT_DEFAULT_MS;
  http->connect_timeout_ms = options->connect_timeout_ms > 0
                                 ? options->connect_timeout_ms
                                 : CONNECT_TIMEOUT_DEFAULT_MS;
  return &http->platform;
}
