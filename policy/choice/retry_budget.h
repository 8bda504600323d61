/** @file
 * Token bucket that limits retries to a share of requests.
 *
 * When everything fails, retries would multiply the load just when the
 * targets can't handle it.  So each request adds a fraction of a token to its
 * host's bucket, a reserve adds tokens over time, and each retry consumes one
 * token.  The bucket has a maximum size.
 *
 * This bounds the retries of all hosts without any coordination between them.
 * In any window, a host's retries consume the tokens that it had at the start
 * of the window, at most retry_limits.max_tokens; the share of the requests
 * that arrived within the window; and what the reserve added in it.  The
 * first and the last, summed over all hosts, don't exceed the reserve (see
 * retry_limits_of_host()), and processes that start within the window bring
 * no tokens if the reserve is small.  So the retries never exceed the share
 * of the requests plus the reserve, even if every host is killed and
 * restarted or replaces another one.  If the reserve is large, a host starts
 * with a part of it, and the bound holds for one start per host and window.
 *
 * A host outside the set has few requests, so it earns a token only once in
 * many seconds.  Hosts of the set transfer some of theirs.  The bound still
 * holds: a token that moves is not a new one, and the bucket that receives it
 * keeps its size.
 */
#ifndef POLICY_CHOICE_RETRY_BUDGET_H
#define POLICY_CHOICE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** The retries that the operator allows a service, over all hosts. */
struct retry_grant
{
  int64_t window_us;
  uint32_t percent; /**< of the requests in any window */
  double reserve;   /**< additional retries in any window */
};

/** The hosts that share the reserve, as seen by one of them. */
struct retry_fleet
{
  uint32_t hosts;     /**< all hosts that callers may use */
  uint32_t set_hosts; /**< hosts that callers are directed to */
  bool in_set;        /**< this host is one of them */
};

/** The limits of one host. */
struct retry_limits
{
  uint32_t percent;         /**< of a token that each request adds */
  double max_tokens;        /**< bucket size, at least 1 */
  double tokens_per_second; /**< refill rate from the reserve */
  double initial_tokens;    /**< tokens when the process starts */
};

/** The token bucket of one host. */
struct retry_budget
{
  double tokens;
  int64_t refilled_us; /**< last refill; INT64_MIN: not started */
};

/** This host's part of GRANT.  Each host may hold one token, since a retry
 * can't be divided, and starts with one if the reserve has two for each
 * host.  The remainder is divided among the hosts of the set: as bucket
 * size, as initial tokens if there are enough, and as refill over a window.
 * A tenth of the reserve is withheld for retries that reach their target
 * later than they consumed their token.  If there are more hosts than the
 * reserve, the number of hosts takes the place of the reserve in the bound. */
struct retry_limits retry_limits_of_host (const struct retry_grant *grant,
                                          const struct retry_fleet *fleet);

/** Start with an empty bucket. */
void retry_budget_init (struct retry_budget *budget);

/** Add the share of a new request. */
void retry_budget_add_request (struct retry_budget *budget,
                               const struct retry_limits *limits,
                               int64_t now_us);

/** Is there a token for a retry? */
bool retry_budget_is_available (struct retry_budget *budget,
                                const struct retry_limits *limits,
                                int64_t now_us);

/** Is there a token for a retry that has to leave more than RESERVED_SHARE of
 * the bucket to others?  0: nothing is reserved. */
bool retry_budget_exceeds (struct retry_budget *budget,
                           const struct retry_limits *limits, int64_t now_us,
                           double reserved_share);

/** Consume a token for a retry.
 * @return false if there is none */
bool retry_budget_take (struct retry_budget *budget,
                        const struct retry_limits *limits, int64_t now_us);

/** Take up to WANTED tokens out of the bucket for another host.  Half of what
 * the bucket holds beyond its first token stays, for this host's own retries.
 * @return how many were taken */
uint32_t retry_budget_withdraw (struct retry_budget *budget,
                                const struct retry_limits *limits,
                                int64_t now_us, uint32_t wanted);

/** Add COUNT tokens withdrawn at another host.  Those that the bucket can't
 * hold are dropped. */
void retry_budget_deposit (struct retry_budget *budget,
                           const struct retry_limits *limits, int64_t now_us,
                           uint32_t count);

#endif
