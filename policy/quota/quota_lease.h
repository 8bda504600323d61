/** @file
 * The coordinator to which this host has leased its own share of all quotas.
 * See quota_limit.h.
 */
#ifndef POLICY_QUOTA_QUOTA_LEASE_H
#define POLICY_QUOTA_QUOTA_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/quota/quota_limit.h"

struct quota_lease
{
  uint64_t coordinator; /**< lessee of the last lease; 0: none yet */
  int64_t expires_ms;   /**< until then the share must not be used by this host
                           or leased to another coordinator */
};

/** Initialize at the start of the process.  The share may still be leased by
 * the previous process. */
void quota_lease_init (struct quota_lease *lease, int64_t now_ms,
                       const struct quota_tolerance *tolerance);

/** Lease the share to COORDINATOR from NOW_MS, or renew its lease.
 * @return false if the share is still leased to another coordinator */
bool quota_lease_renew (struct quota_lease *lease, int64_t now_ms,
                        uint64_t coordinator);

#endif
