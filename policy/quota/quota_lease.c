#include "policy/quota/quota_lease.h"

void
quota_lease_init (struct quota_lease *lease, int64_t now_ms,
                  const struct quota_tolerance *tolerance)
{
  const int64_t start_overshoot_ms
      = quota_tolerance_overshoot_ms (tolerance)
        - quota_tolerance_token_overshoot_ms (tolerance);
  const int64_t wait_ms = QUOTA_LEASE_MS - start_overshoot_ms;
  *lease = (struct quota_lease){ .expires_ms
                                 = now_ms + (wait_ms > 0 ? wait_ms : 0) };
}

bool
quota_lease_renew (struct quota_lease *lease, int64_t now_ms,
                   uint64_t coordinator)
{
  if (lease->coordinator != coordinator && now_ms < lease->expires_ms)
    return false;
  lease->coordinator = coordinator;
  lease->expires_ms = now_ms + QUOTA_LEASE_MS;
  return true;
}
