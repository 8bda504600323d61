#include "policy/choice/service_cost.h"

#include <math.h>

#include "policy/choice/target_cost.h"

void
service_cost_configure (struct service_policy *policy)
{
  struct cost_model **model = &policy->set.cost;
  const bool by_cost = policy->options.modes.by_cost;
  if (by_cost && *model == NULL)
    *model = cost_model_create ();
  if (by_cost || *model == NULL)
    return;
  cost_model_destroy (*model);
  *model = NULL;
}

void
service_cost_note_sent (struct service_policy *policy,
                        const struct policy_request *r,
                        struct policy_decision *d)
{
  if (policy->set.cost == NULL || d->verdict != POLICY_SEND)
    return;
  const double work_us
      = cost_model_expected_us (policy->set.cost, r->cost_keys);
  open_attempts_set_work (&policy->set.targets[d->target].open, policy->now_us,
                          work_us);
  d->expected_cost_us = (uint32_t)fmin (work_us, UINT32_MAX);
}

void
service_policy_learn_work (struct service_policy *policy, int64_t now_us,
                           const struct policy_outcome *outcome,
                           const uint64_t cost_keys[POLICY_COST_KEYS])
{
  if (policy->set.cost == NULL || outcome->target >= policy->set.count)
    return;
  target_cost_learn (&policy->set, &policy->set.targets[outcome->target],
                     now_us, outcome, cost_keys);
}

void
service_policy_note_remote_work (struct service_policy *policy, int64_t now_us,
                                 uint32_t target, int64_t work_us)
{
  if (policy->set.cost == NULL || target >= policy->set.count)
    return;
  struct target_state *t = &policy->set.targets[target];
  t->remote_work_us = work_us > 0 ? (double)work_us : 0;
  t->remote_work_at_us = now_us;
}

int64_t
service_policy_open_work_us (const struct service_policy *policy,
                             int64_t now_us, uint32_t target)
{
  if (policy->set.cost == NULL || target >= policy->set.count)
    return 0;
  const struct target_state *t = &policy->set.targets[target];
  return (int64_t)target_cost_own_work_us (&policy->set, t, now_us,
                                           policy->set.baseline.latency_us);
}
