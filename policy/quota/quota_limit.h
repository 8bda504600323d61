/** @file
 * Enforces the quotas of workspaces over the whole fleet: definitions shared
 * by the parts.
 *
 * Requirement: in any window, the requests of a workspace that run on all
 * hosts together, including partitioned and restarted hosts, are at most
 *
 *     (rate * window + burst) * (1 + overshoot) + slack.
 *
 * Design.  Each token is produced in one place and only moves afterwards, so
 * no consensus is needed.
 *  - The quota of each workspace is divided into equal shares, one for each
 *    host known to the fleet, live or not.  In each window a share produces
 *    1/hosts of the rate and of a fraction of the burst, and its capacity is
 *    1/hosts of the rest of the burst (and of the slack, which is treated as
 *    burst).
 *  - A host may lease its share, for all workspaces at once and for a limited
 *    term, to a coordinator (quota_lease.h).  It doesn't use a leased share
 *    until the term has ended on its own clock; the coordinator counts the
 *    term from a time on its own clock before which the lease can't have been
 *    granted (quota_shares.h).  So no share is used twice, even if messages
 *    are lost or delayed or hosts are suspended.
 *  - A coordinator grants tokens to hosts (quota_pool.h).  Their lifetime is
 *    counted on the holder's clock and starts with its request
 *    (quota_cache.h).  The tokens that a coordinator holds, plus the granted
 *    and possibly unused ones in excess of what the rate produces in a time p,
 *    are at most its share of burst and slack.
 *  - The tokens usable in a window are therefore at most those produced in
 *    window + p, and those held.
 *  - A host that starts doesn't know whether its previous process has leased
 *    its share to another coordinator.  It waits for the lease term less a
 *    time q, so a share may be used twice for a time q, which produces that
 *    many excess tokens.
 *  - The overshoot covers both: p + q = overshoot * window.
 *
 * Division of the burst.  If all of it were capacity, a workspace that
 * constantly requests slightly more than its rate would get only the rate,
 * although it stays below its quota in every window.  If none of it were
 * capacity, a workspace that sends the whole burst at once would wait for a
 * window.  With half of it, the former gets half of the burst in each window,
 * and the latter waits for less than the time in which its rate produces the
 * other half.
 *
 * Assumption: hosts know the number of hosts within the overshoot.  The number
 * comes from the platform's list, and each host uses the highest number
 * reported to it (quota_shares_note_host_count()).
 */
#ifndef POLICY_QUOTA_QUOTA_LIMIT_H
#define POLICY_QUOTA_QUOTA_LIMIT_H

#include <stdint.h>

/** Limits of one workspace. */
struct quota_limit
{
  double rate_per_s;
  double burst;
};

/** Deviation from the limits that operators tolerate. */
struct quota_tolerance
{
  uint32_t window_ms;
  uint32_t overshoot_percent;
  uint32_t slack; /**< requests in each window */
};

enum
{
  /** Term of a lease of a share.  Short, so that the shares of a failed
   * coordinator return soon; long compared to the renewal interval. */
  QUOTA_LEASE_MS = 500,
  /** Interval of renewals, such that one lost or late renewal ends no
   * lease. */
  QUOTA_RENEWAL_INTERVAL_MS = 150,
  /** Lifetime of a granted token, counted from the request, while there are
   * plenty, and while tokens are scarce: unused granted tokens are
   * unavailable elsewhere. */
  QUOTA_TOKEN_LIFETIME_MS = 400,
  QUOTA_TOKEN_LIFETIME_SCARCE_MS = 150,
  /** Percentage of the overshoot that covers tokens granted and not used
   * (p); the rest covers shares used twice after a start (q). */
  QUOTA_TOKEN_OVERSHOOT_PERCENT = 20,
  /** Maximum relative drift between two clocks. */
  QUOTA_CLOCK_DRIFT_PERCENT = 1,
};

/** Fraction of the burst that is produced in each window; the rest is
 * capacity. */
#define QUOTA_BURST_REFILL_FRACTION 0.5

/** Return the number of tokens that all shares together produce in a
 * second. */
static inline double
quota_limit_refill_per_s (const struct quota_limit *limit,
                          const struct quota_tolerance *tolerance)
{
  return limit->rate_per_s
         + QUOTA_BURST_REFILL_FRACTION * limit->burst * 1000
               / tolerance->window_ms;
}

/** Return the number of tokens that all shares together may hold. */
static inline double
quota_limit_capacity (const struct quota_limit *limit,
                      const struct quota_tolerance *tolerance)
{
  const double factor = 1 + tolerance->overshoot_percent / 100.0;
  return (1 - QUOTA_BURST_REFILL_FRACTION) * limit->burst * factor
         + tolerance->slack;
}

/** Return the time p + q covered by the overshoot. */
static inline int64_t
quota_tolerance_overshoot_ms (const struct quota_tolerance *tolerance)
{
  return (int64_t)tolerance->window_ms * tolerance->overshoot_percent / 100;
}

/** Return the time p. */
static inline int64_t
quota_tolerance_token_overshoot_ms (const struct quota_tolerance *tolerance)
{
  return quota_tolerance_overshoot_ms (tolerance)
         * QUOTA_TOKEN_OVERSHOOT_PERCENT / 100;
}

/** Return TERM_MS reduced by the clock drift, as counted by the side that
 * uses what the term limits. */
static inline int64_t
quota_term_less_drift_ms (int64_t term_ms)
{
  return term_ms - term_ms * QUOTA_CLOCK_DRIFT_PERCENT / 100;
}

#endif
