#include <ctype.h>
#include <string.h>

#include "node/caller/route_table.h"

/* The value of two hexadecimal digits at TEXT, or -1. */
static int
hex_pair (const char *text)
{
  int value = 0;
  for (int i = 0; i < 2; i++)
    {
      const int c = (unsigned char)text[i];
      if (!isxdigit (c))
        return -1;
      const int digit = isdigit (c) ? c - '0' : tolower (c) - 'a' + 10;
      value = value * 16 + digit;
    }
  return value;
}

static bool
is_unreserved (int c)
{
  return isalnum (c) || (c != '\0' && strchr ("-._~", c) != NULL);
}

static enum status
invalid_path (const char *problem)
{
  return status_set (STATUS_INVALID, "the path %s: send it in plain form",
                     problem);
}

/* Decode the next character of the path at *URI.
   *KEEP_ESCAPED is set if it must stay percent-encoded.
   @return -1 for a percent-encoding whose meaning depends on the target */
static int
next_char (const char **uri, bool *keep_escaped)
{
  *keep_escaped = false;
  if (**uri != '%')
    return (unsigned char)*(*uri)++;
  const int c = hex_pair (*uri + 1);
  if (c < 0 || c == '/' || c == '\\' || c == '\0')
    return -1;
  *uri += 3;
  *keep_escaped = !is_unreserved (c);
  return c;
}

static bool
is_dot_segment (const char *path, size_t start, size_t end)
{
  const size_t size = end - start;
  if (size == 1)
    return path[start] == '.';
  return size == 2 && path[start] == '.' && path[start + 1] == '.';
}

enum status
route_path_normalise (const char *uri, char *path, size_t size)
{
  static const char digits[] = "0123456789ABCDEF";
  if (uri[0] != '/')
    return invalid_path ("does not begin with \"/\"");
  size_t used = 0;
  size_t segment = 0;
  while (*uri != '\0' && *uri != '?' && *uri != '#')
    {
      bool keep_escaped;
      const int c = next_char (&uri, &keep_escaped);
      if (c < 0)
        return invalid_path (
            "holds an escape that targets may read as another "
            "path");
      if (c == '\\')
        return invalid_path ("holds a backslash");
      if (used + 4 > size)
        return invalid_path ("is too long");
      if (c == '/' && !keep_escaped)
        {
          if (used > 0 && is_dot_segment (path, segment, used))
            return invalid_path ("holds a dot segment");
          if (used > 0 && path[used - 1] == '/')
            continue;
          path[used++] = '/';
          segment = used;
          continue;
        }
      if (keep_escaped)
        {
          path[used++] = '%';
          path[used++] = digits[c >> 4];
          path[used++] = digits[c & 15];
        }
      else
        path[used++] = (char)c;
    }
  if (is_dot_segment (path, segment, used))
    return invalid_path ("holds a dot segment");
  path[used] = '\0';
  return STATUS_OK;
}
