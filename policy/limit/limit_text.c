#include "policy/limit/limit_text.h"

#include <stdlib.h>
#include <string.h>

#include "policy/limit/limit_share.h"

static const char digits[] = "0123456789";

bool
limit_text_parse (const char *text, uint32_t *limit_millis)
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
  const double millis = strtod (text, NULL) * LIMIT_MILLIS_PER_REQUEST;
  if (millis < 1)
    return false;
  *limit_millis
      = millis < LIMIT_MILLIS_MAX ? (uint32_t)millis : LIMIT_MILLIS_MAX;
  return true;
}
