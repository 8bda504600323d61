#include "base/duration.h"

#include <ctype.h>
#include <stdlib.h>
#include <string.h>

bool
duration_parse (const char *text, int64_t *value_ms)
{
  char *unit;
  if (!isdigit ((unsigned char)text[0]))
    return false;
  const double number = strtod (text, &unit);
  /* strtod() also reads exponents and hexadecimal numbers. */
  if (strspn (text, "0123456789.") != (size_t)(unit - text))
    return false;
  const bool is_seconds = strcmp (unit, "s") == 0;
  if (!is_seconds && strcmp (unit, "ms") != 0)
    return false;
  const double ms = is_seconds ? number * 1000 : number;
  if (!(ms <= (double)INT32_MAX))
    return false;
  *value_ms = (int64_t)(ms + 0.5);
  return true;
}
