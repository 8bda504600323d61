#include "base/json_depth.h"

#include <stdbool.h>

#include "base/xmalloc.h"

/* Position in JSON text, as far as nesting depends on it. */
struct scanner
{
  size_t depth;
  bool is_string;
  bool is_escaped; /* the next byte of the string */
};

static void
scan_string (struct scanner *scanner, char c)
{
  if (scanner->is_escaped)
    scanner->is_escaped = false;
  else if (c == '\\')
    scanner->is_escaped = true;
  else if (c == '"')
    scanner->is_string = false;
}

static void
scan (struct scanner *scanner, char c)
{
  if (scanner->is_string)
    scan_string (scanner, c);
  else if (c == '"')
    scanner->is_string = true;
  else if (c == '[' || c == '{')
    scanner->depth++;
  else if ((c == ']' || c == '}') && scanner->depth > 0)
    scanner->depth--;
}

static bool
is_deeper (const char *text, size_t size, size_t depth_max)
{
  struct scanner scanner = { 0 };
  for (size_t i = 0; i < size; i++)
    {
      scan (&scanner, text[i]);
      if (scanner.depth > depth_max)
        return true;
    }
  return false;
}

char *
json_depth_limit (const char *text, size_t size, size_t depth_max)
{
  if (!is_deeper (text, size, depth_max))
    return NULL;
  char *copy = xmemdup0 (text, size);
  struct scanner scanner = { 0 };
  for (size_t i = 0; i < size; i++)
    {
      const size_t before = scanner.depth;
      scan (&scanner, text[i]);
      if (scanner.depth > depth_max || before > depth_max)
        copy[i] = before == depth_max ? '0' : ' ';
    }
  return copy;
}
