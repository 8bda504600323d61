#include "base/options.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

enum
{
  SETTINGS_MAX_BYTES = 8 * 1024 * 1024,
  PARSE_DEPTH_MAX = 32,
};

/* Computes line and column, both starting at 1, of the byte at OFFSET. */
static void
locate_offset (const char *text, size_t offset, unsigned *line,
               unsigned *column)
{
  *line = 1;
  *column = 1;
  for (size_t i = 0; i < offset; i++)
    {
      *column += 1;
      if (text[i] == '\n')
        {
          *line += 1;
          *column = 1;
        }
    }
}

static bool
is_white_space (const char *text, size_t size)
{
  for (size_t i = 0; i < size; i++)
    if (strchr (" \t\r\n", text[i]) == NULL || text[i] == '\0')
      return false;
  return true;
}

/* Checks that TEXT holds a JSON value and nothing after it.  END is the offset
   where the tokener stopped. */
static enum status
check_parsed (const char *file, const char *text, size_t size, size_t end,
              enum json_tokener_error error)
{
  unsigned line;
  unsigned column;
  locate_offset (text, end < size ? end : size, &line, &column);
  if (error != json_tokener_success)
    return status_set (STATUS_INVALID,
                       "%s:%u:%u: invalid JSON (%s); correct the text at or "
                       "before this position",
                       file, line, column,
                       error == json_tokener_continue
                           ? "unexpected end"
                           : json_tokener_error_desc (error));
  if (end < size && !is_white_space (text + end, size - end))
    return status_set (STATUS_INVALID,
                       "%s:%u:%u: text after the end of the settings; "
                       "remove it or correct the braces before it",
                       file, line, column);
  return STATUS_OK;
}

enum status
options_parse (const char *file, const char *text, size_t size,
               struct json_object **tree)
{
  *tree = NULL;
  struct json_tokener *tokener = json_tokener_new_ex (PARSE_DEPTH_MAX);
  if (tokener == NULL)
    abort ();
  if (size > SETTINGS_MAX_BYTES)
    {
      json_tokener_free (tokener);
      return status_set (STATUS_INVALID,
                         "%s: %zu bytes exceed the limit of %d bytes for "
                         "settings; split the file",
                         file, size, SETTINGS_MAX_BYTES);
    }
  /* Passing the final NUL tells the tokener that the text has ended. */
  char *copy = xmemdup0 (text, size);
  struct json_object *node
      = json_tokener_parse_ex (tokener, copy, (int)size + 1);
  const enum json_tokener_error error = json_tokener_get_error (tokener);
  const size_t end = json_tokener_get_parse_end (tokener);
  json_tokener_free (tokener);
  const enum status status = check_parsed (file, copy, size, end, error);
  free (copy);
  if (status != STATUS_OK)
    {
      json_object_put (node);
      return status;
    }
  *tree = node;
  return STATUS_OK;
}

static enum status
read_file (const char *path, char **text, size_t *size)
{
  FILE *in = fopen (path, "rbe");
  if (in == NULL)
    return status_errno ("%s: can't be opened; check the path and its "
                         "permissions",
                         path);
  char *buffer = xmalloc (SETTINGS_MAX_BYTES + 1);
  const size_t count = fread (buffer, 1, SETTINGS_MAX_BYTES + 1, in);
  enum status status = STATUS_OK;
  if (ferror (in))
    status = status_errno ("%s: can't be read", path);
  fclose (in);
  if (status != STATUS_OK)
    {
      free (buffer);
      return status;
    }
  *text = buffer;
  *size = count;
  return STATUS_OK;
}

enum status
options_parse_file (const char *path, struct json_object **tree)
{
  char *text = NULL;
  size_t size = 0;
  *tree = NULL;
  const enum status status = read_file (path, &text, &size);
  if (status != STATUS_OK)
    return status;
  const enum status parsed = options_parse (path, text, size, tree);
  free (text);
  return parsed;
}
