#include "policy/quota/quota_lease.h"

void
quota_lease_init (struct quota_lease *lending, int64_t now_ms,
                  const struct quota_tolerance *terms)
{
  const int64_t paid_ms = quota_tolerance_overshoot_ms (terms)
                          - quota_tolerance_token_overshoot_ms (terms);
  const int64_t wait_ms = QUOTA_LEASE_MS - paid_ms;
  *lending = (struct quota_lease){ .expires_ms
                                   = now_ms + (wait_ms > 0 ? wait_ms : 0) };
}

bool
quota_lease_renew (struct quota_lease *lending, int64_t now_ms,
                   uint64_t coordinator)
{
  if (lending->coordinator != coordinator && now_ms < lending->expires_ms)
    return false;
  lending->coordinator = coordinator;
  lending->expires_ms = now_ms + QUOTA_LEASE_MS;
  return true;
}
