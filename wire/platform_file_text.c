#include "wire/platform_file_text.h"

#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "base/options.h"
#include "base/xmalloc.h"
#include "wire/service_spec.h"

enum
{
  SERVICES_MAX = 10000,
  FILE_MODE = 0644,
};

static enum status
load_service (const char *label, struct json_object *node,
              struct platform_memory *memory)
{
  struct service_spec *spec;
  const char *text
      = json_object_to_json_string_ext (node, JSON_C_TO_STRING_PLAIN);
  enum status status = service_spec_parse (label, text, 0, &spec);
  if (status != STATUS_OK)
    return status;
  if (platform_memory_find (memory, PLATFORM_KIND_SERVICE, spec->name) != NULL)
    status = status_set (STATUS_INVALID,
                         "%s: name: expected a unique name, found \"%s\" "
                         "again; rename or remove one of the two services",
                         label, spec->name);
  else
    platform_memory_put (memory, PLATFORM_KIND_SERVICE, spec->name, text);
  service_spec_destroy (spec);
  return status;
}

enum status
platform_file_text_load (const char *path, struct platform_memory *memory)
{
  struct json_object *tree;
  enum status status = options_parse_file (path, &tree);
  if (status != STATUS_OK)
    return status;
  struct options top;
  options_begin (&top, path, "", tree);
  struct json_object *array = options_array (&top, "services", SERVICES_MAX);
  if (array == NULL)
    options_fail (&top, "services",
                  "expected an array of services, found nothing; add it");
  status = options_end (&top);
  for (size_t i = 0;
       status == STATUS_OK && i < json_object_array_length (array); i++)
    {
      char *label = xasprintf ("%s: services[%zu]", path, i);
      status
          = load_service (label, json_object_array_get_idx (array, i), memory);
      free (label);
    }
  json_object_put (tree);
  return status;
}

enum status
platform_file_text_check (const char *path, const char *name,
                          const char *value)
{
  struct service_spec *spec;
  enum status status = service_spec_parse (path, value, 0, &spec);
  if (status != STATUS_OK)
    return status;
  if (strcmp (spec->name, name) != 0)
    status = status_set (STATUS_INVALID,
                         "%s: name: expected \"%s\", the name of the object, "
                         "found \"%s\"; use the same name for both",
                         path, name, spec->name);
  service_spec_destroy (spec);
  return status;
}

static char *
format_file (const struct platform_memory *memory, const char *name,
             const char *value)
{
  struct platform_object *objects;
  const size_t count
      = platform_memory_list (memory, PLATFORM_KIND_SERVICE, 0, &objects);
  struct json_object *top = json_object_new_object ();
  struct json_object *array = json_object_new_array ();
  bool replaced = false;
  for (size_t i = 0; i < count; i++)
    {
      const bool same = strcmp (objects[i].name, name) == 0;
      const char *text = same ? value : objects[i].value;
      replaced = replaced || same;
      if (text != NULL)
        json_object_array_add (array, json_tokener_parse (text));
    }
  if (!replaced && value != NULL)
    json_object_array_add (array, json_tokener_parse (value));
  json_object_object_add (top, "services", array);
  char *text = xasprintf (
      "%s\n", json_object_to_json_string_ext (
                  top, JSON_C_TO_STRING_PRETTY | JSON_C_TO_STRING_SPACED
                           | JSON_C_TO_STRING_NOSLASHESCAPE));
  json_object_put (top);
  free (objects);
  return text;
}

static enum status
save_failed (const char *path, const char *action)
{
  return status_set (STATUS_REFUSED,
                     "%s: can't be %s (%s), nothing was changed; make it and "
                     "its directory writable or use a platform",
                     path, action, strerror (errno));
}

/* Writes TEXT to PATH and syncs it to disk. */
static bool
write_and_sync (const char *path, const char *text)
{
  const int fd
      = open (path, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
  if (fd < 0)
    return false;
  const size_t size = strlen (text);
  size_t written = 0;
  while (written < size)
    {
      const ssize_t count = write (fd, text + written, size - written);
      if (count < 0 && errno == EINTR)
        continue;
      if (count <= 0)
        break;
      written += (size_t)count;
    }
  const bool complete = written == size && fsync (fd) == 0;
  return close (fd) == 0 && complete;
}

enum status
platform_file_text_save (const char *path,
                         const struct platform_memory *memory,
                         const char *name, const char *value)
{
  enum status status = STATUS_OK;
  char *text = format_file (memory, name, value);
  char *temporary = xasprintf ("%s.new", path);
  if (access (path, W_OK) != 0)
    status = save_failed (path, "written");
  else if (!write_and_sync (temporary, text))
    status = save_failed (temporary, "written");
  else if (rename (temporary, path) != 0)
    status = save_failed (path, "replaced");
  if (status != STATUS_OK)
    unlink (temporary);
  free (temporary);
  free (text);
  return status;
}
