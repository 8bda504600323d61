/** @file
 * Decides where a request goes: to a target, into the queue, or back to its
 * caller as refused.
 */
#ifndef POLICY_CHOICE_PLACEMENT_H
#define POLICY_CHOICE_PLACEMENT_H

#include <stdbool.h>

#include "policy/choice/wait_queue.h"
#include "policy/service_policy.h"

/** Decide on a newly arrived request.  Acquires a slot or joins the queue
 * accordingly. */
struct policy_decision placement_admit (struct service_policy *policy,
                                        const struct policy_request *r);

/** Send R to a healthy target that it hasn't tried, if one has a free slot
 * and no request is queued for it.
 * @return false if there is none; nothing is changed then */
bool placement_failover (struct service_policy *policy,
                         const struct policy_request *r,
                         struct policy_decision *d);

/** Send a queued request if that is possible now.  The entry remains in the
 * queue.
 * @return false if it must keep waiting */
bool placement_send_queued (struct service_policy *policy,
                            const struct wait_entry *e,
                            struct policy_decision *d);

/** Send R to TARGET, which has a free slot, for REASON. */
struct policy_decision placement_send (struct service_policy *policy,
                                       const struct policy_request *r,
                                       uint32_t target,
                                       enum policy_reason reason);

/** The refusal of R, with a retry delay computed from the queue length and
 * the service rate. */
struct policy_decision placement_refuse (const struct service_policy *policy,
                                         const struct policy_request *r,
                                         enum policy_reason reason);

#endif
