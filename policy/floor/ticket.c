#include "policy/floor/ticket.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum
{
  NUMBER_COUNT = 4,
  NUMBER_DIGITS_MAX = 16,
};

void
ticket_format (const struct ticket *ticket, char text[TICKET_TEXT_SIZE])
{
  snprintf (text, TICKET_TEXT_SIZE,
            "%s:%" PRIx64 ":%" PRIx64 ":%" PRIx64 ":%" PRIx64, ticket->host,
            ticket->incarnation, ticket->sequence,
            (uint64_t)ticket->expires_ms, ticket->mac);
}

/* Each ticket has only one text form: two forms would be harmless for
   at-most-once, but a search of logs or a cache would miss one of them. */
static bool
parse_number (const char *text, uint64_t *number)
{
  const size_t length = strspn (text, "0123456789abcdef");
  if (length == 0 || length > NUMBER_DIGITS_MAX || text[length] != '\0')
    return false;
  if (text[0] == '0' && length > 1)
    return false;
  *number = strtoull (text, NULL, 16);
  return true;
}

/* Host names may contain colons, so the numbers are parsed from the end. */
static bool
parse_numbers (char *text, uint64_t numbers[NUMBER_COUNT])
{
  for (int i = NUMBER_COUNT - 1; i >= 0; i--)
    {
      char *colon = strrchr (text, ':');
      if (colon == NULL || !parse_number (colon + 1, &numbers[i]))
        return false;
      *colon = '\0';
    }
  return true;
}

bool
ticket_parse (const char *text, struct ticket *ticket)
{
  char copy[TICKET_TEXT_SIZE];
  const size_t length = strnlen (text, sizeof copy);
  if (length >= sizeof copy)
    return false;
  memcpy (copy, text, length + 1);
  uint64_t numbers[NUMBER_COUNT];
  if (!parse_numbers (copy, numbers))
    return false;
  const size_t host_length = strlen (copy);
  if (host_length == 0 || host_length >= TICKET_HOST_SIZE
      || numbers[2] > INT64_MAX)
    return false;
  *ticket = (struct ticket){ .incarnation = numbers[0],
                             .sequence = numbers[1],
                             .expires_ms = (int64_t)numbers[2],
                             .mac = numbers[3] };
  memcpy (ticket->host, copy, host_length + 1);
  return true;
}
