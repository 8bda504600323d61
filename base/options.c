#include "base/options.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include <arpa/inet.h>

#include "base/duration.h"

enum
{
  VALUE_TEXT_SIZE = 64,
};

static const char *
describe_value (struct json_object *node, char text[VALUE_TEXT_SIZE])
{
  switch (json_object_get_type (node))
    {
    case json_type_object:
      return "an object";
    case json_type_array:
      return "an array";
    case json_type_null:
      return "null";
    default:
      snprintf (text, VALUE_TEXT_SIZE, "%.60s",
                json_object_to_json_string_ext (node, JSON_C_TO_STRING_PLAIN));
      return text;
    }
}

static void
join_path (char *path, size_t size, const char *parent, const char *key)
{
  if (parent[0] == '\0')
    snprintf (path, size, "%s", key);
  else
    snprintf (path, size, "%s.%s", parent, key);
}

void
options_begin (struct options *options, const char *file, const char *path,
               struct json_object *node)
{
  *options = (struct options){ .file = file, .node = node };
  snprintf (options->path, sizeof options->path, "%s", path);
  if (json_object_is_type (node, json_type_object))
    return;
  char found[VALUE_TEXT_SIZE];
  options->status = status_set (
      STATUS_INVALID,
      "%s: %s: expected an object { ... }, found %s; write the "
      "options as members of an object",
      file, path[0] == '\0' ? "top" : path, describe_value (node, found));
  options->node = NULL;
}

void
options_fail (struct options *options, const char *key, const char *format,
              ...)
{
  if (options->status != STATUS_OK)
    return;
  char message[256];
  va_list args;
  va_start (args, format);
  vsnprintf (message, sizeof message, format, args);
  va_end (args);
  char path[sizeof options->path];
  join_path (path, sizeof path, options->path, key);
  options->status = status_set (STATUS_INVALID, "%s: %s: %s", options->file,
                                path, message);
}

/* Finds member KEY and records it as known. */
static struct json_object *
member (struct options *options, const char *key)
{
  if (options->status != STATUS_OK)
    return NULL;
  if (options->known_count < OPTIONS_MEMBERS_MAX)
    options->known_keys[options->known_count++] = key;
  struct json_object *node = NULL;
  json_object_object_get_ex (options->node, key, &node);
  return node;
}

/* Tests whether the object has a member KEY, even if it is null. */
static bool
is_present (const struct options *options, const char *key)
{
  return options->status == STATUS_OK
         && json_object_object_get_ex (options->node, key, NULL);
}

static void
fail_value (struct options *options, const char *key, const char *expected,
            struct json_object *node)
{
  char found[VALUE_TEXT_SIZE];
  options_fail (options, key,
                "expected %s, found %s; correct it or leave it "
                "out",
                expected, describe_value (node, found));
}

/* Tests whether KEY is present; fails if it is absent but REQUIRED. */
static bool
check_present (struct options *options, const char *key, bool required,
               const char *expected)
{
  if (is_present (options, key))
    return true;
  if (required)
    options_fail (options, key, "expected %s, found nothing; add it",
                  expected);
  return false;
}

bool
options_object (struct options *parent, const char *key, bool required,
                struct options *child)
{
  struct json_object *node = member (parent, key);
  if (!check_present (parent, key, required, "an object"))
    return false;
  if (!json_object_is_type (node, json_type_object))
    {
      fail_value (parent, key, "an object { ... }", node);
      return false;
    }
  char path[sizeof parent->path];
  join_path (path, sizeof path, parent->path, key);
  options_begin (child, parent->file, path, node);
  return true;
}

struct json_object *
options_array (struct options *options, const char *key, size_t max)
{
  struct json_object *node = member (options, key);
  if (!is_present (options, key))
    return NULL;
  if (!json_object_is_type (node, json_type_array))
    {
      fail_value (options, key, "an array [ ... ]", node);
      return NULL;
    }
  if (json_object_array_length (node) > max)
    {
      options_fail (options, key,
                    "expected at most %zu elements, found %zu; split them",
                    max, json_object_array_length (node));
      return NULL;
    }
  return node;
}

void
options_element (struct options *parent, const char *key,
                 struct json_object *array, size_t index,
                 struct options *child)
{
  char name[sizeof parent->path];
  char path[sizeof parent->path];
  snprintf (name, sizeof name, "%s[%zu]", key, index);
  join_path (path, sizeof path, parent->path, name);
  options_begin (child, parent->file, path,
                 json_object_array_get_idx (array, index));
}

void
options_int (struct options *options, const char *key, int64_t min,
             int64_t max, int64_t *value)
{
  struct json_object *node = member (options, key);
  if (!is_present (options, key))
    return;
  errno = 0;
  const int64_t number = json_object_get_int64 (node);
  char expected[96];
  snprintf (expected, sizeof expected, "a whole number from %lld to %lld",
            (long long)min, (long long)max);
  if (!json_object_is_type (node, json_type_int) || number < min
      || number > max)
    fail_value (options, key, expected, node);
  else
    *value = number;
}

void
options_uint32 (struct options *options, const char *key, uint32_t min,
                uint32_t max, uint32_t *value)
{
  int64_t number = *value;
  options_int (options, key, min, max, &number);
  *value = (uint32_t)number;
}

void
options_double (struct options *options, const char *key, double min,
                double max, double *value)
{
  struct json_object *node = member (options, key);
  if (!is_present (options, key))
    return;
  const bool is_number = json_object_is_type (node, json_type_int)
                         || json_object_is_type (node, json_type_double);
  const double number = is_number ? json_object_get_double (node) : 0;
  char expected[96];
  snprintf (expected, sizeof expected, "a number from %g to %g", min, max);
  if (!is_number || !(number >= min && number <= max))
    fail_value (options, key, expected, node);
  else
    *value = number;
}

/* Whether the string NODE ends at its first NUL, as C functions read it. */
static bool
is_whole_text (struct json_object *node)
{
  return strlen (json_object_get_string (node))
         == (size_t)json_object_get_string_len (node);
}

void
options_duration (struct options *options, const char *key, int64_t min_ms,
                  int64_t max_ms, int64_t *value_ms)
{
  struct json_object *node = member (options, key);
  if (!is_present (options, key))
    return;
  if (!json_object_is_type (node, json_type_string))
    {
      options_int (options, key, min_ms, max_ms, value_ms);
      return;
    }
  int64_t found_ms = 0;
  char expected[96];
  snprintf (expected, sizeof expected,
            "a duration from %lldms to %lldms, as 1500 (ms), "
            "\"1500ms\" or \"1.5s\"",
            (long long)min_ms, (long long)max_ms);
  if (!is_whole_text (node)
      || !duration_parse (json_object_get_string (node), &found_ms)
      || found_ms < min_ms || found_ms > max_ms)
    fail_value (options, key, expected, node);
  else
    *value_ms = found_ms;
}

void
options_bool (struct options *options, const char *key, bool *value)
{
  struct json_object *node = member (options, key);
  if (!is_present (options, key))
    return;
  if (!json_object_is_type (node, json_type_boolean))
    fail_value (options, key, "true or false", node);
  else
    *value = json_object_get_boolean (node);
}

void
options_string (struct options *options, const char *key, bool required,
                char *value, size_t size)
{
  struct json_object *node = member (options, key);
  if (!check_present (options, key, required, "a string"))
    return;
  char expected[96];
  snprintf (expected, sizeof expected, "a string of %s%zu bytes",
            required ? "1 to " : "at most ", size - 1);
  if (!json_object_is_type (node, json_type_string))
    {
      fail_value (options, key, expected, node);
      return;
    }
  const char *text = json_object_get_string (node);
  const size_t length = (size_t)json_object_get_string_len (node);
  if (length >= size || strlen (text) != length || (required && length == 0))
    {
      fail_value (options, key, expected, node);
      return;
    }
  memcpy (value, text, length + 1);
}

void
options_enum (struct options *options, const char *key,
              const char *const *names, size_t count, int *value)
{
  struct json_object *node = member (options, key);
  if (!is_present (options, key))
    return;
  char expected[160] = "one of";
  size_t used = strlen (expected);
  for (size_t i = 0; i < count; i++)
    {
      const char *text = json_object_get_string (node);
      if (json_object_is_type (node, json_type_string) && is_whole_text (node)
          && strcmp (text, names[i]) == 0)
        {
          *value = (int)i;
          return;
        }
      if (used < sizeof expected)
        used += (size_t)snprintf (expected + used, sizeof expected - used,
                                  "%s \"%s\"", i > 0 ? "," : "", names[i]);
    }
  fail_value (options, key, expected, node);
}

static bool
is_port (const char *text)
{
  char *end;
  if (*text < '0' || *text > '9')
    return false;
  const unsigned long port = strtoul (text, &end, 10);
  return *end == '\0' && port <= 65535;
}

static bool
is_address (const char *text)
{
  char ip[64];
  unsigned char parsed[sizeof (struct in6_addr)];
  const char *colon = strrchr (text, ':');
  if (colon == NULL || (size_t)(colon - text) >= sizeof ip)
    return false;
  const size_t length = (size_t)(colon - text);
  memcpy (ip, text, length);
  ip[length] = '\0';
  if (!is_port (colon + 1))
    return false;
  if (ip[0] == '[' && length > 2 && ip[length - 1] == ']')
    {
      ip[length - 1] = '\0';
      return inet_pton (AF_INET6, ip + 1, parsed) == 1;
    }
  return inet_pton (AF_INET, ip, parsed) == 1;
}

void
options_address (struct options *options, const char *key, bool required,
                 char *value, size_t size)
{
  const bool given = is_present (options, key);
  options_string (options, key, required, value, size);
  if (!given || options->status != STATUS_OK)
    return;
  if (!required && value[0] == '\0')
    return;
  if (!is_address (value))
    options_fail (options, key,
                  "expected IP:PORT with a numeric IP (127.0.0.1:8080 or "
                  "[::1]:8080), found \"%s\"; host names aren't resolved",
                  value);
}

static bool
is_known (const struct options *options, const char *key)
{
  for (size_t i = 0; i < options->known_count; i++)
    if (strcmp (options->known_keys[i], key) == 0)
      return true;
  return false;
}

enum status
options_end (struct options *options)
{
  if (options->status != STATUS_OK)
    return options->status;
  json_object_object_foreach (options->node, key, node)
  {
    (void)node;
    if (is_known (options, key))
      continue;
    char known[256] = "";
    size_t used = 0;
    for (size_t i = 0; i < options->known_count && used < sizeof known; i++)
      used += (size_t)snprintf (known + used, sizeof known - used, "%s%s",
                                i > 0 ? ", " : "", options->known_keys[i]);
    options_fail (options, key, "no such option; known here: %s", known);
    break;
  }
  return options->status;
}

void
options_end_child (struct options *parent, struct options *child)
{
  const enum status status = options_end (child);
  if (parent->status == STATUS_OK)
    parent->status = status;
}
