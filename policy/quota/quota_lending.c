#include "policy/quota/quota_lending.h"

void
quota_lending_init (struct quota_lending *lending, int64_t now_ms,
                    const struct quota_terms *terms)
{
  const int64_t paid_ms
      = quota_terms_paid_ms (terms) - quota_terms_paid_tokens_ms (terms);
  const int64_t wait_ms = QUOTA_LEND_MS - paid_ms;
  *lending = (struct quota_lending){ .until_ms
                                     = now_ms + (wait_ms > 0 ? wait_ms : 0) };
}

bool
quota_lending_lend (struct quota_lending *lending, int64_t now_ms,
                    uint64_t keeper)
{
  if (lending->keeper != keeper && now_ms < lending->until_ms)
    return false;
  lending->keeper = keeper;
  lending->until_ms = now_ms + QUOTA_LEND_MS;
  return true;
}
