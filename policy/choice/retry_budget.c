#include "policy/choice/retry_budget.h"

#include <math.h>
#include <string.h>

enum
{
  SLOTS = RETRY_STEPS + 1, /* the step under way and the whole window */
};

void
retry_budget_init (struct retry_budget *budget)
{
  *budget = (struct retry_budget){ 0 };
}

static void
forget_all (struct retry_budget *budget)
{
  memset (budget->requests, 0, sizeof budget->requests);
  memset (budget->retries, 0, sizeof budget->retries);
  budget->request_sum = 0;
  budget->retry_sum = 0;
}

static void
forget_slot (struct retry_budget *budget, int64_t slot)
{
  budget->request_sum -= budget->requests[slot];
  budget->retry_sum -= budget->retries[slot];
  budget->requests[slot] = 0;
  budget->retries[slot] = 0;
}

/* Go on to the step of NOW_US; what leaves the window is forgotten. */
static void
advance (struct retry_budget *budget, const struct retry_bound *bound,
         int64_t now_us)
{
  const int64_t step = now_us / (bound->window_us / RETRY_STEPS);
  if (step - budget->step >= SLOTS)
    forget_all (budget);
  else
    for (int64_t s = budget->step + 1; s <= step; s++)
      forget_slot (budget, s % SLOTS);
  if (step > budget->step)
    budget->step = step;
}

void
retry_budget_request (struct retry_budget *budget,
                      const struct retry_bound *bound, int64_t now_us)
{
  advance (budget, bound, now_us);
  budget->requests[budget->step % SLOTS]++;
  budget->request_sum++;
}

/* Half of it is there at once, so that a host that has just started can make
   up for targets that refuse; two lives within a window then spend no more
   than the whole. */
static double
reserve_now (const struct retry_bound *bound, int64_t now_us)
{
  const double held = (double)(now_us - bound->since_us);
  const double share = 0.5 + 0.5 * held / (double)bound->window_us;
  return bound->reserve * fmin (share, 1);
}

bool
retry_budget_has (struct retry_budget *budget, const struct retry_bound *bound,
                  int64_t now_us)
{
  advance (budget, bound, now_us);
  const double share = (double)budget->request_sum * bound->percent / 100;
  return budget->retry_sum + 1 <= reserve_now (bound, now_us) + share;
}

bool
retry_budget_take (struct retry_budget *budget,
                   const struct retry_bound *bound, int64_t now_us)
{
  if (!retry_budget_has (budget, bound, now_us))
    return false;
  budget->retries[budget->step % SLOTS]++;
  budget->retry_sum++;
  return true;
}
