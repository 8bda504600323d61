#define LOG_MODULE "platform"

#include "wire/platform_http_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <utlist.h>

#include "base/log.h"
#include "base/xmalloc.h"

enum
{
  /** Of all calls in flight together. */
  RESPONSES_MAX_BYTES = 64 * 1024 * 1024,
  /** Of one call whatever the others receive: more than a page of a list. */
  RESPONSE_RESERVED_BYTES = 4 * 1024 * 1024,

  HTTP_OK = 200,
  HTTP_SERVER_ERROR = 500,
  HTTP_UNAVAILABLE = 503,
};

void
platform_http_call_destroy (struct http_call *call)
{
  DL_DELETE (call->http->calls, call);
  call->http->response_bytes -= call->response_bytes;
  curl_easy_cleanup (call->easy);
  curl_slist_free_all (call->headers);
  for (size_t i = 0; i < call->page_count; i++)
    platform_http_reply_release (&call->pages[i]);
  free (call->pages);
  free (call->path);
  free (call->object_kind);
  free (call->request_body);
  free (call->value);
  free (call->response_body);
  free (call);
}

/* Makes room for ADDED bytes and a NUL.  Growth by a factor keeps the copying
   of large responses linear in their size. */
static void
reserve_body (struct http_call *call, size_t added)
{
  const size_t needed = call->response_bytes + added + 1;
  if (needed <= call->response_capacity)
    return;
  call->response_capacity = needed + needed / 2;
  call->response_body
      = xreallocarray (call->response_body, call->response_capacity, 1);
}

/* The platform may send without end, to several calls at once. */
static bool
has_room (const struct http_call *call, size_t added)
{
  return call->http->response_bytes + added <= RESPONSES_MAX_BYTES
         || call->response_bytes + added <= RESPONSE_RESERVED_BYTES;
}

static size_t
append_body (char *data, size_t size, size_t count, void *owner)
{
  struct http_call *call = owner;
  const size_t added = size * count;
  if (!has_room (call, added))
    {
      call->is_too_large = true;
      return 0;
    }
  reserve_body (call, added);
  memcpy (call->response_body + call->response_bytes, data, added);
  call->response_bytes += added;
  call->http->response_bytes += added;
  call->response_body[call->response_bytes] = '\0';
  return added;
}

/* A write uses a fresh connection, so nothing of it was sent if that was never
   established.  In all other cases it may have reached the platform. */
static bool
was_not_sent (struct http_call *call, CURLcode code)
{
  curl_off_t connect_us = 0;
  curl_easy_getinfo (call->easy, CURLINFO_CONNECT_TIME_T, &connect_us);
  return code != CURLE_OK && call->response_head.part == RESPONSE_NONE
         && (code == CURLE_COULDNT_CONNECT || connect_us == 0);
}

static void
log_cut (const struct http_call *call, CURLcode code)
{
  if (code == CURLE_OK || call->response_head.part == RESPONSE_NONE)
    return;
  LOG_WARN ("answer-cut", LOG_STR ("path", call->path),
            LOG_STR ("address", call->http->addresses[call->address]),
            LOG_STR ("what", response_head_describe (&call->response_head)),
            LOG_STR ("why", curl_easy_strerror (code)));
}

static const char *
describe_failure (const struct http_call *call, bool unsent)
{
  if (unsent)
    return "can't be reached";
  return call->response_head.part == RESPONSE_NONE
             ? "sent no response"
             : "sent no complete response";
}

static void
fail_over (struct http_call *call, CURLcode code, long http_code)
{
  struct platform_http *http = call->http;
  log_cut (call, code);
  call->is_partial
      = code != CURLE_OK && call->response_head.part != RESPONSE_NONE;
  const bool unsent = was_not_sent (call, code)
                      || (code == CURLE_OK && http_code == HTTP_UNAVAILABLE
                          && http->dialect->unavailable_has_no_effect);
  if (http->preferred_address == call->address)
    http->preferred_address = (call->address + 1) % http->address_count;
  if ((unsent || call->kind != CALL_PUT)
      && call->attempts < http->address_count)
    {
      call->address = (call->address + 1) % http->address_count;
      platform_http_call_send (call);
      return;
    }
  char why[64];
  char message[192];
  snprintf (why, sizeof why, "answered %ld", http_code);
  snprintf (message, sizeof message, "the platform at %s %s (%s); %s",
            http->addresses[call->address], describe_failure (call, unsent),
            code == CURLE_OK ? why : curl_easy_strerror (code),
            unsent || call->kind != CALL_PUT
                ? "wait until it is back, or check platform addresses"
                : "the write may have taken effect: read it back");
  platform_http_end_failed (
      call, unsent ? STATUS_UNREACHABLE : STATUS_LOST_ANSWER, message);
}

/* Another address, or the next attempt, would send the same response.  A write
   is treated as one without a response, since it may have taken effect. */
static void
end_too_large (struct http_call *call)
{
  char message[256];
  snprintf (message, sizeof message,
            "the response of the platform at %s exceeds the limit of %d bytes "
            "for calls in flight; remove large objects from the store",
            call->http->addresses[call->address], RESPONSES_MAX_BYTES);
  platform_http_end_failed (call, STATUS_INVALID, message);
}

static void
on_done (void *owner, CURLcode transfer_code, CURL *easy)
{
  struct http_call *call = owner;
  const CURLcode code
      = response_head_result (&call->response_head, transfer_code);
  long http_code = 0;
  if (call->done == NULL)
    {
      platform_http_call_destroy (call);
      return;
    }
  curl_easy_getinfo (easy, CURLINFO_RESPONSE_CODE, &http_code);
  if (code == CURLE_OK && !platform_http_era_accept (call))
    return;
  if (call->is_too_large && call->kind != CALL_PUT)
    end_too_large (call);
  else if (code != CURLE_OK || http_code >= HTTP_SERVER_ERROR)
    fail_over (call, code, http_code);
  else if (http_code != HTTP_OK)
    platform_http_end_error_status (call, http_code);
  else
    platform_http_end_ok (call);
}

void
platform_http_call_send (struct http_call *call)
{
  struct platform_http *http = call->http;
  char *url
      = xasprintf ("http://%s%s", http->addresses[call->address], call->path);
  curl_easy_setopt (call->easy, CURLOPT_URL, url);
  free (url);
  free (call->response_body);
  call->response_body = xstrdup ("");
  http->response_bytes -= call->response_bytes;
  call->response_bytes = 0;
  call->response_capacity = 1;
  call->is_too_large = false;
  call->has_era = false;
  response_head_restart (&call->response_head);
  call->attempts++;
  http->platform.calls++;
  curl_loop_start (http->cl, call->easy, on_done, call);
}

struct http_call *
platform_http_call_create (struct platform *platform, enum call_kind kind,
                           const char *object_kind, platform_done *done,
                           void *owner)
{
  struct platform_http *http = (struct platform_http *)platform;
  struct http_call *call = xcalloc (1, sizeof *call);
  call->http = http;
  call->kind = kind;
  call->object_kind = xstrdup (object_kind);
  call->address = http->preferred_address;
  call->timeout_ms = http->timeout_ms;
  call->done = done;
  call->owner = owner;
  call->easy = curl_loop_create_easy ();
  DL_APPEND (http->calls, call);
  return call;
}

void
platform_http_call_begin (struct http_call *call)
{
  CURL *easy = call->easy;
  call->headers = curl_slist_append (call->headers, "Expect:");
  curl_easy_setopt (easy, CURLOPT_HTTPHEADER, call->headers);
  curl_easy_setopt (easy, CURLOPT_WRITEFUNCTION, append_body);
  curl_easy_setopt (easy, CURLOPT_WRITEDATA, call);
  response_head_attach (&call->response_head, easy, platform_http_era_read,
                        call);
  curl_easy_setopt (easy, CURLOPT_TIMEOUT_MS, (long)call->timeout_ms);
  curl_easy_setopt (easy, CURLOPT_CONNECTTIMEOUT_MS,
                    (long)call->http->connect_timeout_ms);
  platform_http_call_send (call);
}
