/** @file
 * Quotas of workspaces over a whole fleet: the terms that its parts share.
 *
 * What must hold: in any window, the requests of a workspace that run, over
 * all hosts, cut off or not, killed and started again, are at most
 *
 *     (rate * window + burst) * (1 + overshoot) + slack.
 *
 * How it holds.  Tokens are made in one place each and only move afterwards;
 * nobody has to agree with anybody.
 *  - The quota of each workspace is divided into equal shares, one for each
 *    host that the fleet knows, live or not.  A share makes 1/hosts of the
 *    rate and of a part of the burst in each window, and may hold 1/hosts of
 *    the rest of the burst (and of the slack, which is treated as burst).
 *  - A host may lend its share, for all workspaces at once and for a term, to
 *    a keeper (quota_lease.h).  It doesn't use what is lent until the term
 * is over on its own clock; the keeper counts the term from a time on its own
 *    clock before which the host can't have lent (quota_shares.h).  So no
 *    share is used twice, whatever is lost, late or frozen.
 *  - A keeper grants tokens to hosts (quota_pool.h), each for a term on the
 *    holder's clock, counted from its question (quota_cache.h).  What a keeper
 *    holds, and what it has granted and may be unused yet beyond what the rate
 *    makes in a time p, are together at most its part of burst and slack.
 *  - So what can be used in a window is at most what is made in window + p,
 *    and what is held.
 *  - A host that starts doesn't know whether its former life has lent its
 *    share to another keeper.  It waits for the term of a loan less a time q:
 *    a share that is used twice for q makes so much too much.
 *  - The overshoot pays for both: p + q = overshoot * window.
 *
 * How the burst is divided.  All of it held, a workspace that wants a little
 * more than its rate all the time gets no more than the rate, though it stays
 * below its quota in every window; none of it held, one that sends it at once
 * waits for a window.  With half of it, the first gets half of the burst in
 * each window, and the second waits for less than the time in which its rate
 * makes the other half.
 *
 * What it rests on: that hosts know how many they are, within the overshoot.
 * That number comes from the platform's list, and each takes the highest that
 * it is told (quota_shares_note_host_count()).
 */
#ifndef POLICY_QUOTA_QUOTA_LIMIT_H
#define POLICY_QUOTA_QUOTA_LIMIT_H

#include <stdint.h>

/** What one workspace may send. */
struct quota_limit
{
  double rate_per_s;
  double burst;
};

/** What operators tolerate beyond it, and the times that follow. */
struct quota_tolerance
{
  uint32_t window_ms;
  uint32_t overshoot_percent;
  uint32_t slack; /**< requests in each window */
};

enum
{
  /** A share is lent for so long.  Short, so that the shares of a keeper that
   * is lost come back soon; long against the time between two renewals. */
  QUOTA_LEASE_MS = 500,
  /** Time between renewals: one that is lost or late ends no loan. */
  QUOTA_RENEWAL_INTERVAL_MS = 150,
  /** A granted token may be used for so long, from the question on, while
   * there are enough, and for so long while there are few: what is granted and
   * not used is lacking elsewhere. */
  QUOTA_TOKEN_LIFETIME_MS = 400,
  QUOTA_TOKEN_LIFETIME_SCARCE_MS = 150,
  /** Hundredths of what the overshoot pays for that are for tokens that are
   * granted and not used (p); the rest is for shares after a start (q). */
  QUOTA_TOKEN_OVERSHOOT_PERCENT = 20,
  /** Hundredths by which two clocks may run apart. */
  QUOTA_CLOCK_DRIFT_PERCENT = 1,
};

/** What of the burst is made in each window; the rest may be held. */
#define QUOTA_BURST_REFILL_FRACTION 0.5

/** Tokens a second that all shares together make. */
static inline double
quota_limit_refill_per_s (const struct quota_limit *limit,
                          const struct quota_tolerance *terms)
{
  return limit->rate_per_s
         + QUOTA_BURST_REFILL_FRACTION * limit->burst * 1000
               / terms->window_ms;
}

/** Tokens that all shares together may hold. */
static inline double
quota_limit_capacity (const struct quota_limit *limit,
                      const struct quota_tolerance *terms)
{
  const double over = 1 + terms->overshoot_percent / 100.0;
  return (1 - QUOTA_BURST_REFILL_FRACTION) * limit->burst * over
         + terms->slack;
}

/** The time p + q that the overshoot pays for. */
static inline int64_t
quota_tolerance_overshoot_ms (const struct quota_tolerance *terms)
{
  return (int64_t)terms->window_ms * terms->overshoot_percent / 100;
}

/** The time p. */
static inline int64_t
quota_tolerance_token_overshoot_ms (const struct quota_tolerance *terms)
{
  return quota_tolerance_overshoot_ms (terms) * QUOTA_TOKEN_OVERSHOOT_PERCENT
         / 100;
}

/** TERM_MS as counted by who may use what it ends: a little less. */
static inline int64_t
quota_term_less_drift_ms (int64_t term_ms)
{
  return term_ms - term_ms * QUOTA_CLOCK_DRIFT_PERCENT / 100;
}

#endif
