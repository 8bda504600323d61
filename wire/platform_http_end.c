#include "wire/platform_http_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "wire/platform_version.h"

enum
{
  HTTP_NOT_FOUND = 404,
  HTTP_CONFLICT = 409,
  HTTP_GONE = 410,
  HTTP_PRECONDITION_FAILED = 412,
  HTTP_TOO_MANY_REQUESTS = 429,
};

/* Completes the call.  The owner may cancel all of its calls from the
   callback, so this one must no longer be registered then. */
static void
complete (struct http_call *call, const struct platform_reply *reply)
{
  platform_done *done = call->done;
  call->done = NULL;
  done (call->owner, reply);
  platform_http_call_destroy (call);
}

void
platform_http_end_failed (struct http_call *call, enum status status,
                          const char *message)
{
  const struct platform_reply reply = { .status = status,
                                        .message = message,
                                        .is_partial = call->is_partial };
  complete (call, &reply);
}

/* The response to a write carries only the version, so the value is taken from
   the request. */
static void
complete_write (struct http_call *call)
{
  struct platform_http_reply parsed = { 0 };
  if (call->http->dialect->read_object (&parsed, call->object_kind,
                                        call->response_body,
                                        call->response_bytes)
          != STATUS_OK
      || !platform_http_era_apply (call, &parsed))
    {
      platform_http_reply_release (&parsed);
      platform_http_end_failed (
          call, STATUS_LOST_ANSWER,
          "the platform accepted the write but its response is "
          "invalid; read the object back");
      return;
    }
  parsed.objects[0].value = call->value;
  const struct platform_reply reply = { .status = STATUS_OK,
                                        .objects = parsed.objects,
                                        .count = parsed.count };
  complete (call, &reply);
  platform_http_reply_release (&parsed);
}

static void
complete_refused (struct http_call *call,
                  const struct platform_http_reply *current)
{
  const bool exists = current->count > 0 && current->objects[0].value != NULL;
  const struct platform_reply reply
      = { .status = STATUS_REFUSED,
          .message = exists
                         ? "the object was changed concurrently; read it and "
                           "retry if the change still applies"
                         : "the object no longer exists",
          .objects = current->objects,
          .count = exists ? 1 : 0 };
  complete (call, &reply);
}

/* A restored platform may have given the revision out again, so what changed
   since is not what follows it. */
static bool
is_from_another_era (const struct http_call *call)
{
  return call->kind == CALL_WATCH
         && platform_version_era (call->since) != call->era;
}

static void
complete_read (struct http_call *call)
{
  const struct platform_http_dialect *dialect = call->http->dialect;
  struct platform_http_reply parsed = { 0 };
  if (is_from_another_era (call))
    {
      platform_http_end_failed (
          call, STATUS_REFUSED,
          "the platform was restored since that revision; list again");
      return;
    }
  enum status status = (call->kind == CALL_GET ? dialect->read_object
                                               : dialect->read_changes) (
      &parsed, call->object_kind, call->response_body, call->response_bytes);
  call->http->platform.skipped += parsed.skipped;
  if (status == STATUS_OK && !platform_http_era_apply (call, &parsed))
    status = STATUS_INVALID;
  const struct platform_reply reply
      = { .status = status,
          .message = status == STATUS_OK ? NULL : status_message (),
          .revision = parsed.revision,
          .objects = parsed.objects,
          .count = parsed.count };
  if (status == STATUS_OK && call->is_refused_write)
    complete_refused (call, &parsed);
  else
    complete (call, &reply);
  platform_http_reply_release (&parsed);
}

/* The least revision of the pages.  With reads of old state, a later page may
   come from a replica that is behind that of the first one.  A watch from the
   least revision returns all that changed after any of the pages was read;
   what a newer page has already is known by its version. */
static uint64_t
list_revision (const struct http_call *call)
{
  uint64_t revision = call->pages[0].revision;
  for (size_t i = 1; i < call->page_count; i++)
    if (call->pages[i].revision < revision)
      revision = call->pages[i].revision;
  return revision;
}

static void
complete_list (struct http_call *call)
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
                                        .revision = list_revision (call),
                                        .objects = objects,
                                        .count = count };
  complete (call, &reply);
  free (objects);
}

static void
add_page (struct http_call *call)
{
  const struct platform_http_dialect *dialect = call->http->dialect;
  call->pages
      = xreallocarray (call->pages, call->page_count + 1, sizeof *call->pages);
  struct platform_http_reply *page = &call->pages[call->page_count++];
  *page = (struct platform_http_reply){ 0 };
  const enum status status = dialect->read_list (
      page, call->object_kind, call->response_body, call->response_bytes);
  call->http->platform.skipped += page->skipped;
  if (status != STATUS_OK || !platform_http_era_apply (call, page))
    {
      platform_http_end_failed (call, STATUS_INVALID, status_message ());
      return;
    }
  if (platform_version_era (page->revision)
      != platform_version_era (call->pages[0].revision))
    {
      platform_http_end_failed (
          call, STATUS_LOST_ANSWER,
          "the platform was restored between two pages; list again");
      return;
    }
  if (page->continue_after[0] == '\0')
    {
      complete_list (call);
      return;
    }
  char *path = dialect->list_path (call->object_kind, page->continue_after,
                                   call->read_mode);
  const bool is_same = strcmp (path, call->path) == 0;
  free (call->path);
  call->path = path;
  if (is_same)
    {
      platform_http_end_failed (
          call, STATUS_INVALID,
          "the platform sent the same page of a list again; check that it "
          "implements the same API version");
      return;
    }
  call->attempts = 0;
  platform_http_call_send (call);
}

static void
complete_conflict (struct http_call *call)
{
  struct platform_http_reply parsed = { 0 };
  if (call->http->dialect->read_object (&parsed, call->object_kind,
                                        call->response_body,
                                        call->response_bytes)
          != STATUS_OK
      || !platform_http_era_apply (call, &parsed))
    parsed.count = 0;
  complete_refused (call, &parsed);
  platform_http_reply_release (&parsed);
}

void
platform_http_end_error_status (struct http_call *call, long code)
{
  char message[160];
  snprintf (message, sizeof message,
            "the platform sent status %ld for %s; check that it implements "
            "the same API version",
            code, call->path);
  switch (code)
    {
    case HTTP_NOT_FOUND:
      if (call->is_refused_write)
        {
          complete_refused (call, &(struct platform_http_reply){ 0 });
          return;
        }
      platform_http_end_failed (call, STATUS_NOT_FOUND,
                                "the platform has no such object");
      return;
    case HTTP_CONFLICT:
    case HTTP_PRECONDITION_FAILED:
      complete_conflict (call);
      return;
    case HTTP_GONE:
      platform_http_end_failed (
          call, STATUS_REFUSED,
          "the platform no longer has that revision; list again");
      return;
    case HTTP_TOO_MANY_REQUESTS:
      platform_http_end_failed (
          call, STATUS_LIMIT,
          "the platform limits the rate of calls; try again later");
      return;
    default:
      platform_http_end_failed (call, STATUS_INVALID, message);
    }
}

void
platform_http_end_ok (struct http_call *call)
{
  switch (call->kind)
    {
    case CALL_PUT:
      complete_write (call);
      return;
    case CALL_LIST:
      add_page (call);
      return;
    case CALL_GET:
    case CALL_WATCH:
      complete_read (call);
    }
}
