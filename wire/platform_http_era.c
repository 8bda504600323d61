#include "wire/platform_http_call.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "wire/platform_version.h"

enum
{
  ERA_TEXT_SIZE = 24,
};

static void
read_field (struct http_call *call, const char *line, size_t size)
{
  const char *field = call->http->dialect->era_field;
  const size_t name_size = field != NULL ? strlen (field) : 0;
  char text[ERA_TEXT_SIZE];
  if (name_size == 0 || size <= name_size || line[name_size] != ':'
      || strncasecmp (line, field, name_size) != 0)
    return;
  snprintf (text, sizeof text, "%.*s", (int)(size - name_size - 1),
            line + name_size + 1);
  char *end;
  const unsigned long long era = strtoull (text, &end, 10);
  call->has_era = end != text && era <= PLATFORM_ERA_MAX;
  call->era = call->has_era ? era : 0;
}

bool
platform_http_era_read (void *owner, enum response_line what, const char *line,
                        size_t size)
{
  struct http_call *call = owner;
  if (what == RESPONSE_LINE_STATUS)
    call->has_era = false;
  else if (what == RESPONSE_LINE_FIELD)
    read_field (call, line, size);
  return true;
}

static void
note_restore (struct platform_http *http, uint64_t era)
{
  struct platform *platform = &http->platform;
  const uint64_t before = platform->era;
  platform->era = era;
  if (!http->has_answered)
    return;
  platform->restores++;
  if (platform->restored != NULL)
    platform->restored (platform->restored_owner, before, era);
}

bool
platform_http_era_accept (struct http_call *call)
{
  struct platform_http *http = call->http;
  if (!call->has_era)
    call->era = http->platform.era;
  if (call->era > http->platform.era)
    note_restore (http, call->era);
  http->has_answered = true;
  if (call->era == http->platform.era)
    return true;
  platform_http_end_failed (
      call, STATUS_LOST_ANSWER,
      "the response is from before the platform was restored; read again");
  return false;
}

static bool
is_in_range (const struct http_call *call, uint64_t revision)
{
  if (call->era == 0 || revision <= PLATFORM_REVISION_MAX)
    return true;
  status_set (STATUS_INVALID,
              "the platform's response: expected revisions up to 2^42; check "
              "that its address is that of the object API");
  return false;
}

bool
platform_http_era_apply (const struct http_call *call,
                         struct platform_http_reply *parsed)
{
  if (!is_in_range (call, parsed->revision))
    return false;
  parsed->revision = platform_version_make (call->era, parsed->revision);
  for (size_t i = 0; i < parsed->count; i++)
    {
      struct platform_object *object = &parsed->objects[i];
      if (!is_in_range (call, object->version))
        return false;
      object->version = platform_version_make (call->era, object->version);
    }
  return true;
}
