/** @file
 * Retries as a share of recent requests.
 *
 * When everything fails, retries would multiply the load just when the
 * targets can't take it.  The budget grows with first attempts and fades, so
 * retries never exceed their share of what was asked lately, but for a small
 * reserve that lets a quiet service retry at all.
 */
#ifndef POLICY_CHOICE_RETRY_BUDGET_H
#define POLICY_CHOICE_RETRY_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  RETRY_RESERVE = 3,
  RETRY_HALF_LIFE_US = 10000000,
  RETRY_STEP_US = 100000, /**< fading is worked out once a step */
};

/** Fading counts of first attempts and of retries. */
struct retry_budget
{
  double requests;
  double retries;
  int64_t faded_us;
};

void retry_budget_init (struct retry_budget *budget);
void retry_budget_request (struct retry_budget *budget, int64_t now_us);

/** Is there a retry to take? */
bool retry_budget_has (struct retry_budget *budget, int64_t now_us,
                       uint32_t percent);

/** Take one retry from the budget.
 * @return false when PERCENT of recent requests is used up. */
bool retry_budget_take (struct retry_budget *budget, int64_t now_us,
                        uint32_t percent);

#endif
