#include "policy/choice/retry_budget.h"

#include <math.h>

static const double us_per_second = 1e6;

/* A retry is paid when it is decided on and reaches its target after that:
   over a slow link, or from a host that is short of processor time, so late
   that some of one window arrive in the next. */
static const double reserve_used = 0.9;

/* What a host of the set has of PART beyond the one that each host has.  A
   host that is killed may spend what it had saved and, once it is back, what
   it begins with. */
static void
add_part (struct retry_limits *bound, double part, int64_t window_us)
{
  const double window_s = (double)window_us / us_per_second;
  const double saved = bound->initial_tokens > 0 ? 0.4 : 0.5;
  bound->max_tokens += part * saved;
  if (bound->initial_tokens > 0)
    bound->initial_tokens += part * saved;
  bound->tokens_per_second
      = part * (bound->initial_tokens > 0 ? 1 - 2 * saved : 1 - saved)
        / window_s;
}

struct retry_limits
retry_limits_of_host (const struct retry_grant *grant,
                      const struct retry_fleet *fleet)
{
  struct retry_limits bound = { .percent = grant->percent, .max_tokens = 1 };
  const double used = grant->reserve * reserve_used;
  const double hosts = fmax (fleet->hosts, 1);
  bound.initial_tokens = used >= 2 * hosts ? 1 : 0;
  const double spare = used - hosts * (1 + bound.initial_tokens);
  if (fleet->in_set && spare > 0)
    add_part (&bound, spare / fmax (fleet->set_hosts, 1), grant->window_us);
  return bound;
}

void
retry_budget_init (struct retry_budget *budget)
{
  *budget = (struct retry_budget){ .refilled_us = INT64_MIN };
}

static void
add (struct retry_budget *budget, const struct retry_limits *bound,
     double retries)
{
  budget->tokens = fmin (budget->tokens + retries, bound->max_tokens);
}

/* Also brings what was saved under a wider bound down to the one in force. */
static void
add_with_time (struct retry_budget *budget, const struct retry_limits *bound,
               int64_t now_us)
{
  if (budget->refilled_us == INT64_MIN)
    {
      budget->refilled_us = now_us;
      budget->tokens = bound->initial_tokens;
    }
  const double passed_s
      = (double)(now_us - budget->refilled_us) / us_per_second;
  budget->refilled_us = now_us;
  add (budget, bound, passed_s * bound->tokens_per_second);
}

void
retry_budget_add_request (struct retry_budget *budget,
                          const struct retry_limits *bound, int64_t now_us)
{
  add_with_time (budget, bound, now_us);
  add (budget, bound, bound->percent / 100.0);
}

bool
retry_budget_is_available (struct retry_budget *budget,
                           const struct retry_limits *bound, int64_t now_us)
{
  /* Sums of shares such as 0.2 fall short of whole numbers by their rounding:
     five of them are one. */
  static const double rounding = 1e-6;
  add_with_time (budget, bound, now_us);
  return budget->tokens >= 1 - rounding;
}

bool
retry_budget_take (struct retry_budget *budget,
                   const struct retry_limits *bound, int64_t now_us)
{
  if (!retry_budget_is_available (budget, bound, now_us))
    return false;
  budget->tokens -= 1;
  return true;
}
