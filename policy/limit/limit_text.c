#include "policy/limit/limit_text.h"

#include "base/decimal.h"
#include "policy/limit/limit_share.h"

bool
limit_text_parse (const char *text, uint32_t *limit_millis)
{
  return decimal_parse_millis (text, LIMIT_MILLIS_MAX, limit_millis);
}
