#include "policy/choice/retry_budget.h"

#include <math.h>

void
retry_budget_init (struct retry_budget *budget)
{
  *budget = (struct retry_budget){ 0 };
}

static void
fade (struct retry_budget *budget, int64_t now_us)
{
  const int64_t passed_us = now_us - budget->faded_us;
  if (passed_us < RETRY_STEP_US)
    return;
  const double kept = exp2 (-(double)passed_us / RETRY_HALF_LIFE_US);
  budget->requests *= kept;
  budget->retries *= kept;
  budget->faded_us = now_us;
}

void
retry_budget_request (struct retry_budget *budget, int64_t now_us)
{
  fade (budget, now_us);
  budget->requests += 1;
}

bool
retry_budget_has (struct retry_budget *budget, int64_t now_us,
                  uint32_t percent)
{
  fade (budget, now_us);
  const double allowed = RETRY_RESERVE + budget->requests * percent / 100;
  return budget->retries + 1 <= allowed;
}

bool
retry_budget_take (struct retry_budget *budget, int64_t now_us,
                   uint32_t percent)
{
  if (!retry_budget_has (budget, now_us, percent))
    return false;
  budget->retries += 1;
  return true;
}
