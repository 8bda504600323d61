#include "base/json_text.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

enum
{
  ESCAPE_SIZE = 8
};

static const char *
escape_char (unsigned char c, char buffer[ESCAPE_SIZE])
{
  if (c == '"' || c == '\\')
    snprintf (buffer, ESCAPE_SIZE, "\\%c", c);
  else if (c < 0x20 || c == 0x7f)
    snprintf (buffer, ESCAPE_SIZE, "\\u%04x", c);
  else
    snprintf (buffer, ESCAPE_SIZE, "%c", c);
  return buffer;
}

size_t
json_text_quote (char *buffer, size_t size, const char *text)
{
  assert (size >= 3);
  size_t used = 0;
  buffer[used++] = '"';
  for (; *text != '\0'; text++)
    {
      char escaped[ESCAPE_SIZE];
      const size_t length
          = strlen (escape_char ((unsigned char)*text, escaped));
      if (used + length + 2 > size)
        break;
      memcpy (buffer + used, escaped, length);
      used += length;
    }
  buffer[used++] = '"';
  buffer[used] = '\0';
  return used;
}
