/** @file
 * Retries as a share of requests.
 *
 * When everything fails, retries would multiply the load just when the
 * targets can't take it.  So each host saves a share of every request that
 * comes to it, and what a reserve adds with time, and pays each retry with one
 * saved.  What may be saved is bounded.
 *
 * The bound of the whole fleet follows without a word between hosts.  Take any
 * window.  A host's retries within it are paid with what it had saved when the
 * window began, at most retry_limits.most; with the share of the requests that
 * came within the window; and with what the reserve added in it.  The first
 * and the last, over all hosts, are no more than the reserve (see
 * retry_limits_of_host()), and lives that begin within the window bring
 * nothing where the reserve is short.  So the retries are at most the share of
 * the requests and the reserve, also when every host is killed and started
 * again, or takes another one's place.  Where the reserve is ample, a host
 * begins with a part of it, and that bound holds for one start a host and
 * window.
 */
#ifndef POLICY_CHOICE_RETRY_BUDGET_H
#define POLICY_CHOICE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

/** What the operator grants a service, over all hosts. */
struct retry_grant
{
  int64_t window_us;
  uint32_t percent; /**< of the requests of any window */
  double reserve;   /**< retries of any window beyond that */
};

/** Among whom the reserve is divided, as one host sees it. */
struct retry_fleet
{
  uint32_t hosts;     /**< all that callers may come to */
  uint32_t set_hosts; /**< those that callers are sent to */
  bool in_set;        /**< this host is one of them */
};

/** What one host may make. */
struct retry_limits
{
  uint32_t percent;         /**< of a request is saved when it comes */
  double max_tokens;        /**< retries saved at most; 1 or more */
  double tokens_per_second; /**< saved with time */
  double initial_tokens;    /**< saved when the process starts */
};

/** What one host has saved. */
struct retry_budget
{
  double tokens;
  int64_t refilled_us; /**< when time added to it last; INT64_MIN: not begun */
};

/** This host's part of GRANT.  Each host may save one retry, since a part of
 * one can't be made, and has one to begin with if the reserve has two for each
 * host.  What is left is for the hosts of the set: to be saved, to begin with
 * where there is enough, and to be added over a window.  A tenth of the
 * reserve is kept for retries that reach their target later than they were
 * paid for.  With more hosts than reserve, the hosts' number takes the
 * reserve's place in the bound. */
struct retry_limits retry_limits_of_host (const struct retry_grant *grant,
                                          const struct retry_fleet *fleet);

/** Nothing saved. */
void retry_budget_init (struct retry_budget *budget);

/** A request came. */
void retry_budget_add_request (struct retry_budget *budget,
                               const struct retry_limits *bound,
                               int64_t now_us);

/** Is there a retry to take? */
bool retry_budget_is_available (struct retry_budget *budget,
                                const struct retry_limits *bound,
                                int64_t now_us);

/** Take one retry from the budget.
 * @return false when it is used up. */
bool retry_budget_take (struct retry_budget *budget,
                        const struct retry_limits *bound, int64_t now_us);

#endif
