/** @file
 * The cost model of a service's policy; private to its sources.
 */
#ifndef POLICY_CHOICE_SERVICE_COST_H
#define POLICY_CHOICE_SERVICE_COST_H

#include "policy/choice/service_state.h"

/** Create or destroy the model as the options demand. */
void service_cost_configure (struct service_policy *policy);

/** Store the expected work of R in D and at the target, if D sends R. */
void service_cost_note_sent (struct service_policy *policy,
                             const struct policy_request *r,
                             struct policy_decision *d);

#endif
