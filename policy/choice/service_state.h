/** @file
 * What the policy of one service knows; shared by its own sources only.
 */
#ifndef POLICY_CHOICE_SERVICE_STATE_H
#define POLICY_CHOICE_SERVICE_STATE_H

#include <stdint.h>

#include "base/rng.h"
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
  double probe_tokens; /**< requests that suspects may get */
  int64_t now_us;      /**< of the last event */
  int64_t polled_us; /**< when nothing queued could be decided, until an event
                         that may change that; INT64_MIN: ask */
};

/** Mean time between two ends of attempts while requests wait. */
double service_state_mean_interval_us (const struct service_policy *policy);

/** Most targets that R may be sent to. */
uint32_t service_state_attempts_max (const struct service_policy *policy,
                                     const struct policy_request *r);

#endif
