#include "policy/choice/retry_budget.h"

#include <math.h>

static const double us_per_second = 1e6;

/* A retry consumes its token when it is decided, but reaches its target
   later.  With a slow link or a host short of CPU time, some retries of one
   window arrive in the next. */
static const double usable_share = 0.9;

/* Add a host's PART of what remains after each host has its first token.  A
   host that is killed may consume all its tokens, and its initial ones
   after the restart. */
static void
add_set_part (struct retry_limits *limits, double part, int64_t window_us)
{
  const double window_s = (double)window_us / us_per_second;
  const double bucket_share = limits->initial_tokens > 0 ? 0.4 : 0.5;
  limits->max_tokens += part * bucket_share;
  if (limits->initial_tokens > 0)
    limits->initial_tokens += part * bucket_share;
  limits->tokens_per_second
      = part
        * (limits->initial_tokens > 0 ? 1 - 2 * bucket_share
                                      : 1 - bucket_share)
        / window_s;
}

struct retry_limits
retry_limits_of_host (const struct retry_grant *grant,
                      const struct retry_fleet *fleet)
{
  struct retry_limits limits = { .percent = grant->percent, .max_tokens = 1 };
  const double usable = grant->reserve * usable_share;
  const double hosts = fmax (fleet->hosts, 1);
  limits.initial_tokens = usable >= 2 * hosts ? 1 : 0;
  const double spare = usable - hosts * (1 + limits.initial_tokens);
  if (fleet->in_set && spare > 0)
    add_set_part (&limits, spare / fmax (fleet->set_hosts, 1),
                  grant->window_us);
  return limits;
}

void
retry_budget_init (struct retry_budget *budget)
{
  *budget = (struct retry_budget){ .refilled_us = INT64_MIN };
}

static void
add_tokens (struct retry_budget *budget, const struct retry_limits *limits,
            double retries)
{
  budget->tokens = fmin (budget->tokens + retries, limits->max_tokens);
}

/* Also drops tokens that exceed the current limit if it was lowered. */
static void
refill (struct retry_budget *budget, const struct retry_limits *limits,
        int64_t now_us)
{
  if (budget->refilled_us == INT64_MIN)
    {
      budget->refilled_us = now_us;
      budget->tokens = limits->initial_tokens;
    }
  const double elapsed_s
      = (double)(now_us - budget->refilled_us) / us_per_second;
  budget->refilled_us = now_us;
  add_tokens (budget, limits, elapsed_s * limits->tokens_per_second);
}

void
retry_budget_add_request (struct retry_budget *budget,
                          const struct retry_limits *limits, int64_t now_us)
{
  refill (budget, limits, now_us);
  add_tokens (budget, limits, limits->percent / 100.0);
}

bool
retry_budget_is_available (struct retry_budget *budget,
                           const struct retry_limits *limits, int64_t now_us)
{
  /* Sums of fractions such as 0.2 fall short of whole numbers because of
     rounding: five of them are one. */
  static const double epsilon = 1e-6;
  refill (budget, limits, now_us);
  return budget->tokens >= 1 - epsilon;
}

bool
retry_budget_exceeds (struct retry_budget *budget,
                      const struct retry_limits *limits, int64_t now_us,
                      double reserved_share)
{
  return retry_budget_is_available (budget, limits, now_us)
         && (reserved_share <= 0
             || budget->tokens > reserved_share * limits->max_tokens);
}

bool
retry_budget_take (struct retry_budget *budget,
                   const struct retry_limits *limits, int64_t now_us)
{
  if (!retry_budget_is_available (budget, limits, now_us))
    return false;
  budget->tokens -= 1;
  return true;
}

uint32_t
retry_budget_withdraw (struct retry_budget *budget,
                       const struct retry_limits *limits, int64_t now_us,
                       uint32_t wanted)
{
  const double kept = (limits->max_tokens - 1) / 2;
  uint32_t withdrawn = 0;
  refill (budget, limits, now_us);
  while (withdrawn < wanted && budget->tokens - 1 >= kept
         && retry_budget_take (budget, limits, now_us))
    withdrawn++;
  return withdrawn;
}

void
retry_budget_deposit (struct retry_budget *budget,
                      const struct retry_limits *limits, int64_t now_us,
                      uint32_t count)
{
  refill (budget, limits, now_us);
  add_tokens (budget, limits, count);
}
