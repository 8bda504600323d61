/** @file
 * Retries as a share of recent requests.
 *
 * When everything fails, retries would multiply the load just when the
 * targets can't take it.  Within any window a host may make as many as a
 * share of its own requests of that window, and a reserve that lets a quiet
 * service retry at all.  The bound holds for all hosts together if their
 * reserves add up to that of the service: no host needs to hear another.
 */
#ifndef POLICY_CHOICE_RETRY_BUDGET_H
#define POLICY_CHOICE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  /** Steps of a window.  What is a step old at most may count too long, so
   * the bound also holds for windows that begin within a step. */
  RETRY_STEPS = 20,
};

/** What a budget grants. */
struct retry_bound
{
  int64_t window_us;
  uint32_t percent; /**< of the requests within the window */
  double reserve;   /**< retries beyond that share */
  /** Since when the reserve is this host's.  Another may have spent it before,
   * or this one in an earlier life, so half of it comes over one window. */
  int64_t since_us;
};

/** Counts of the steps of the window that ends now. */
struct retry_budget
{
  int64_t step; /**< number of the step that is counted now */
  uint32_t requests[RETRY_STEPS + 1];
  uint32_t retries[RETRY_STEPS + 1];
  uint32_t request_sum;
  uint32_t retry_sum;
};

void retry_budget_init (struct retry_budget *budget);
void retry_budget_request (struct retry_budget *budget,
                           const struct retry_bound *bound, int64_t now_us);

/** Is there a retry to take? */
bool retry_budget_has (struct retry_budget *budget,
                       const struct retry_bound *bound, int64_t now_us);

/** Take one retry from the budget.
 * @return false when it is used up. */
bool retry_budget_take (struct retry_budget *budget,
                        const struct retry_bound *bound, int64_t now_us);

#endif
