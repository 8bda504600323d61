#include "wire/platform_http_dialect.h"

#include <inttypes.h>
#include <string.h>

#include <curl/curl.h>

#include "base/xmalloc.h"

/* Formats `/PREFIX/KIND` or `/PREFIX/KIND/NAME` in new memory. */
static char *
make_path (const char *prefix, const char *kind, const char *name)
{
  char *kind_escaped = curl_easy_escape (NULL, kind, 0);
  char *name_escaped = curl_easy_escape (NULL, name == NULL ? "" : name, 0);
  char *path = xasprintf ("/%s/%s%s%s", prefix, kind_escaped,
                          name == NULL ? "" : "/", name_escaped);
  curl_free (kind_escaped);
  curl_free (name_escaped);
  return path;
}

static char *
get_path (const char *kind, const char *name)
{
  return make_path ("objects", kind, name);
}

/* Lists have a single page and all reads are consistent, so AFTER and the read
   mode are ignored. */
static char *
list_path (const char *kind, const char *after, enum platform_read_mode mode)
{
  return make_path ("objects", kind, NULL);
}

static char *
watch_path (const char *kind, uint64_t revision, uint32_t timeout_ms,
            enum platform_read_mode mode)
{
  char *base = make_path ("watch", kind, NULL);
  char *path = xasprintf ("%s?since=%" PRIu64 "&timeout_ms=%" PRIu32, base,
                          revision, timeout_ms);
  free (base);
  return path;
}

static void
write_object (const char *kind, const char *name, uint64_t expected_version,
              const char *value, struct platform_http_write *write)
{
  write->method = value == NULL ? "DELETE" : "PUT";
  write->path = make_path ("objects", kind, name);
  write->body = xstrdup (value);
  write->condition
      = expected_version == PLATFORM_VERSION_NONE
            ? xstrdup ("If-None-Match: *")
            : xasprintf ("If-Match: \"%" PRIu64 "\"", expected_version);
}

static enum status
read_object (struct platform_http_reply *reply, const char *kind,
             const char *text, size_t size)
{
  return platform_http_reply_object (reply, text, size);
}

static enum status
read_list (struct platform_http_reply *reply, const char *kind,
           const char *text, size_t size)
{
  return platform_http_reply_list (reply, text, size);
}

const struct platform_http_dialect platform_http_dialect_native = {
  .get_path = get_path,
  .list_path = list_path,
  .watch_path = watch_path,
  .write = write_object,
  .read_object = read_object,
  .read_list = read_list,
  .read_changes = read_list,
  .era_field = "Store-Era",
};
