/** @file
 * Requests that go to targets which the comparison of targets wouldn't choose:
 * suspects, unused targets and those with a rate limit.
 *
 * Each function returns false and changes nothing if no such request is due.
 */
#ifndef POLICY_CHOICE_PLACEMENT_PROBE_H
#define POLICY_CHOICE_PLACEMENT_PROBE_H

#include <stdbool.h>

#include "policy/service_policy.h"

/** Probe a suspect or an idle target with R. */
bool placement_try_probe (struct service_policy *policy,
                          const struct policy_request *r,
                          struct policy_decision *d);

/** Send R to an unused target if too few targets are in use. */
bool placement_try_unused (struct service_policy *policy,
                           const struct policy_request *r,
                           struct policy_decision *d);

/** Send R to a target whose rate limit allows a request now. */
bool placement_try_rate_limited (struct service_policy *policy,
                                 const struct policy_request *r,
                                 struct policy_decision *d);

#endif
