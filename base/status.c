#include "base/status.h"

#include <errno.h>
#include <stdarg.h>
#include <stdio.h>
#include <string.h>

enum
{
  MESSAGE_SIZE = 512
};

static _Thread_local char last_message[MESSAGE_SIZE];

enum status
status_set (enum status code, const char *format, ...)
{
  /* The arguments may include the last message itself. */
  char text[MESSAGE_SIZE];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  memcpy (last_message, text, sizeof text);
  return code;
}

enum status
status_errno (const char *format, ...)
{
  const int error = errno;
  char text[MESSAGE_SIZE];
  va_list args;
  va_start (args, format);
  vsnprintf (text, sizeof text, format, args);
  va_end (args);
  return status_set (STATUS_SYSTEM, "%.380s: %s", text, strerror (error));
}

const char *
status_message (void)
{
  return last_message;
}

const char *
status_name (enum status code)
{
  switch (code)
    {
    case STATUS_OK:
      return "ok";
    case STATUS_INVALID:
      return "invalid";
    case STATUS_NOT_FOUND:
      return "not-found";
    case STATUS_REFUSED:
      return "refused";
    case STATUS_LOST_ANSWER:
      return "lost-answer";
    case STATUS_UNREACHABLE:
      return "unreachable";
    case STATUS_TIMEOUT:
      return "timeout";
    case STATUS_LIMIT:
      return "limit";
    case STATUS_CANCELLED:
      return "cancelled";
    case STATUS_SYSTEM:
      return "system";
    }
  return "unknown";
}
