/** @file
 * Which requests go first at a service with too little capacity.
 *
 * Takes effect only with `modes.by_precedence`, and only while requests of
 * several precedence numbers arrive; otherwise all decisions are those of a
 * first-in, first-out queue.
 */
#ifndef POLICY_CHOICE_PRECEDENCE_H
#define POLICY_CHOICE_PRECEDENCE_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/choice/wait_queue.h"
#include "policy/service_policy.h"

enum
{
  /** Maximum number of displaced requests that service_policy_next() hasn't
   * returned yet.  While there are so many, no request is displaced. */
  DISPLACED_MAX = 64,
};

/** Displaced requests whose refusal service_policy_next() has to return. */
struct displaced_requests
{
  struct policy_decision decisions[DISPLACED_MAX]; /**< oldest first */
  uint32_t count;
};

/** Do precedence numbers matter now? */
bool precedence_is_active (const struct service_policy *policy);

/** Count a request that arrives. */
void precedence_note_arrival (struct service_policy *policy,
                              const struct policy_request *r);

/** Count D, a decision on R. */
void precedence_note_decision (struct service_policy *policy,
                               const struct policy_request *r,
                               const struct policy_decision *d);

/** The number of queued requests that R would wait for if it expires at
 * EXPIRES_US. */
uint32_t precedence_ahead (const struct service_policy *policy,
                           const struct policy_request *r, int64_t expires_us);

/** Is there space for R in the queue, or would there be if others were
 * displaced? */
bool precedence_has_space (const struct service_policy *policy,
                           const struct policy_request *r);

/** Displace requests until there is space for R; precedence_has_space() is
 * true. */
void precedence_make_space (struct service_policy *policy,
                            const struct policy_request *r);

/** Queue R. */
void precedence_push (struct service_policy *policy,
                      const struct policy_request *r, int64_t expires_us,
                      int64_t reuse_tried_us);

/** Take the refusal of a displaced request.
 * @return false if there is none */
bool precedence_next_displaced (struct service_policy *policy,
                                struct policy_decision *d);

/** Drop the refusal of a displaced request whose caller went away. */
void precedence_cancel_displaced (struct service_policy *policy,
                                  uint64_t request_id);

/** Promote the queued requests that have waited for half of their time. */
void precedence_promote (struct service_policy *policy);

/** A queued request that can't be served in time any more, or
 * WAIT_QUEUE_NONE.
 * @param reason why it is to be refused */
uint32_t precedence_next_late (struct service_policy *policy,
                               enum policy_reason *reason);

/** The entry of LANE to try after INDEX others; LAST is the one before. */
uint32_t precedence_entry (const struct service_policy *policy,
                           enum wait_lane lane, uint32_t index, uint32_t last);

/** The lane whose first entry goes first. */
enum wait_lane precedence_first_lane (const struct service_policy *policy);

/** May R have a token for a retry?
 * @param reason why not */
bool precedence_may_retry (struct service_policy *policy,
                           const struct policy_request *r,
                           enum policy_reason *reason);

/** Consume a token for a retry of R, if it may have one. */
bool precedence_take_retry (struct service_policy *policy,
                            const struct policy_request *r,
                            enum policy_reason *reason);

#endif
