/** @file
 * State of the policy of one service; private to its sources.
 */
#ifndef POLICY_CHOICE_SERVICE_STATE_H
#define POLICY_CHOICE_SERVICE_STATE_H

#include <stdint.h>

#include "base/rng.h"
#include "policy/choice/precedence.h"
#include "policy/choice/precedence_levels.h"
#include "policy/choice/retry_budget.h"
#include "policy/choice/service_rate.h"
#include "policy/choice/target_set.h"
#include "policy/choice/wait_queue.h"
#include "policy/service_policy.h"

struct service_policy
{
  struct service_policy_options options;
  struct rng rng;
  struct target_set set;
  struct wait_queue queue;
  struct service_rate rate;
  struct retry_budget budget;
  struct precedence_levels levels;
  struct displaced_requests displaced;
  uint32_t late_cursor; /**< entry to check next for lateness */
  double probe_tokens;  /**< probe budget: requests that may be sent to
                             suspects and idle targets */
  int64_t now_us;       /**< time of the last event */
  int64_t polled_us;    /**< when no queued request could be decided; reset to
                             INT64_MIN by events that may change that */
};

/** Mean time between two ends of attempts while requests wait. */
double service_state_mean_interval_us (const struct service_policy *policy);

/** Maximum number of attempts of R, including the first; those of which no
 * byte was sent don't count. */
uint32_t service_state_attempts_max (const struct service_policy *policy,
                                     const struct policy_request *r);

#endif
