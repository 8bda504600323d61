/** @file
 * Where a request goes now: to a target, into the queue, or back to its
 * caller.
 */
#ifndef POLICY_CHOICE_PLACEMENT_H
#define POLICY_CHOICE_PLACEMENT_H

#include <stdbool.h>

#include "policy/choice/wait_queue.h"
#include "policy/service_policy.h"

/** Place a request that just came; a slot is taken or the queue joined
 * accordingly. */
struct policy_decision placement_admit (struct service_policy *policy,
                                        const struct policy_request *r);

/** Send R to a target that it hasn't tried, if one in good standing has a free
 * slot that nobody waits for.
 * @return false: there is none, and nothing is changed */
bool placement_failover (struct service_policy *policy,
                         const struct policy_request *r,
                         struct policy_decision *d);

/** Send a request that waits, if it can be sent now; the entry stays.
 * @return false: it has to wait on. */
bool placement_send_queued (struct service_policy *policy,
                            const struct wait_entry *e,
                            struct policy_decision *d);

/** The refusal of R, with a time to come back from the queue and the rate. */
struct policy_decision placement_refuse (const struct service_policy *policy,
                                         const struct policy_request *r,
                                         enum policy_reason reason);

#endif
