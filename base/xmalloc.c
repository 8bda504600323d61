#include "base/xmalloc.h"

#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

static void *
abort_if_null (void *block, size_t size)
{
  if (block == NULL && size != 0)
    {
      fputs ("jaystair: out of memory\n", stderr);
      abort ();
    }
  return block;
}

void *
xmalloc (size_t size)
{
  return abort_if_null (malloc (size), size);
}

void *
xcalloc (size_t count, size_t size)
{
  return abort_if_null (calloc (count, size), count * size);
}

void *
xreallocarray (void *block, size_t count, size_t size)
{
  return abort_if_null (reallocarray (block, count, size), count * size);
}

char *
xstrdup (const char *text)
{
  if (text == NULL)
    return NULL;
  return abort_if_null (strdup (text), 1);
}

char *
xmemdup0 (const void *data, size_t size)
{
  char *copy = xmalloc (size + 1);
  if (size > 0)
    memcpy (copy, data, size);
  copy[size] = '\0';
  return copy;
}

char *
xasprintf (const char *format, ...)
{
  char *text = NULL;
  va_list args;
  va_start (args, format);
  const int length = vasprintf (&text, format, args);
  va_end (args);
  return abort_if_null (length < 0 ? NULL : text, 1);
}
