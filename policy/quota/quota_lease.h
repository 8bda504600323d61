/** @file
 * To whom this host's own share of all quotas is lent.  See quota_limit.h.
 */
#ifndef POLICY_QUOTA_QUOTA_LEASE_H
#define POLICY_QUOTA_QUOTA_LEASE_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/quota/quota_limit.h"

struct quota_lease
{
  uint64_t coordinator; /**< lent to last; 0: to nobody yet */
  int64_t expires_ms;   /**< the share isn't this host's own to use or lend to
                         another before */
};

/** At the start of the process: the share may still be lent by the life
 * before it. */
void quota_lease_init (struct quota_lease *lending, int64_t now_ms,
                       const struct quota_tolerance *terms);

/** Lend the share to KEEPER from NOW_MS on.
 * @return false when it is lent to another yet */
bool quota_lease_renew (struct quota_lease *lending, int64_t now_ms,
                        uint64_t coordinator);

#endif
