/** @file
 * Decides when a target that gets no requests is due for one.
 *
 * A service whose requests can't be repeated pays for each request that is
 * sent to an unhealthy target.  Most requests therefore go to the targets
 * that responded last, the working set.  Operators want a share of the
 * healthy targets in use at all times: if all hosts lose power, the requests
 * in flight fail, and no host is left to spread the load afterwards.  Which
 * targets are healthy isn't known, so the share is taken of their expected
 * number.  Others enter the working set at the lowest risk:
 *  - A target that has failed on its own counts as healthy again after
 *    TARGET_FAILURE_REST_US.  A request that it gets earlier can't count.
 *  - The target that is least likely unhealthy goes first, which is the one
 *    whose last failure is oldest.
 *  - The host in whose subset a target is goes first, and the others later, at
 *    different times.  Otherwise all hosts choose the same target at once, and
 *    all of these requests fail.
 */
#ifndef POLICY_CHOICE_WORKING_SET_H
#define POLICY_CHOICE_WORKING_SET_H

#include <stdint.h>

#include "policy/choice/target_set.h"
#include "policy/service_policy.h"

enum
{
  /** A target is in use if it got a request within this time.  Leaves time
   * within two seconds for another host's request and its report. */
  WORKING_SET_USE_US = 1500000,
};

/** What the operator wants in use, as seen by one host. */
struct working_set_requirement
{
  uint32_t percent;   /**< of the expected number of healthy targets */
  uint64_t host_seed; /**< differs between hosts */
};

/** The expected number of healthy targets among those that can count, and
 * among those of them that are in use. */
struct working_set_use
{
  double healthy;
  double used;
};

struct working_set_use working_set_measure (const struct target_set *set,
                                            int64_t now_us);

/** The target that R should be sent to in order to meet REQUIREMENT, or
 * POLICY_NO_TARGET if it is met or no other target is due. */
uint32_t
working_set_find_due (const struct target_set *set,
                      const struct working_set_requirement *requirement,
                      const struct policy_request *r, int64_t now_us);

#endif
