#include "base/decimal.h"

#include <stdlib.h>
#include <string.h>

static const char digits[] = "0123456789";
static const double millis_per_unit = 1000;

bool
decimal_parse_millis (const char *text, uint32_t max_millis, uint32_t *millis)
{
  const size_t whole = strspn (text, digits);
  const char *rest = text + whole;
  size_t decimals = 0;
  if (*rest == '.')
    {
      decimals = strspn (rest + 1, digits);
      rest += 1 + decimals;
    }
  if (whole + decimals == 0 || *rest != '\0')
    return false;
  const double value = strtod (text, NULL) * millis_per_unit;
  if (value < 1)
    return false;
  *millis = value < max_millis ? (uint32_t)value : max_millis;
  return true;
}
