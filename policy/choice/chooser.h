/** @file
 * Selection of the target with the lowest expected cost for a request.
 *
 * Comparing a bounded number of random candidates of the host's subset, and
 * as many other targets, takes the same time for any number of targets.  A
 * service with few targets has all of them compared: when targets have
 * failure episodes, it pays to find the one that responded last.  Random
 * jitter on each cost keeps hosts that don't know each other's choices from
 * all using the same best target.
 */
#ifndef POLICY_CHOICE_CHOOSER_H
#define POLICY_CHOICE_CHOOSER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/rng.h"
#include "policy/choice/target_set.h"
#include "policy/service_policy.h"

enum
{
  /** Candidates compared in each part; covers all targets of a small
   * service. */
  CHOOSER_CANDIDATES_MAX = 16,
};

/** Bit set of the tiers to choose from. */
enum chooser_tiers
{
  CHOOSE_HEALTHY = 1 << TIER_HEALTHY,
  CHOOSE_WARMING = 1 << TIER_WARMING,
  CHOOSE_SUSPECT = 1 << TIER_SUSPECT,
};

/** The chosen target. */
struct chooser_pick
{
  uint32_t target; /**< POLICY_NO_TARGET: there is no candidate */
  bool is_only;    /**< there was only one candidate */
};

/** The expected cost in microseconds of the request at target T.  It
 * accounts for latency, load, network distance, failures and warm-up. */
double chooser_cost_us (const struct target_set *set,
                        const struct target_state *t, int64_t now_us,
                        bool repeatable);

/** What a request would cost at a target, from its expected work. */
struct chooser_work_cost
{
  double cost_us;
  bool is_late; /**< the response is expected after the goal of the request */
};

/** Like chooser_cost_us(), with the time until R's response instead of the
 * latency and load: the remaining work of T, spread over its slots, and the
 * work of R, WORK_US above 0, times T's slowness.  SET has a cost model. */
struct chooser_work_cost chooser_cost_by_work (const struct target_set *set,
                                               const struct target_state *t,
                                               int64_t now_us,
                                               const struct policy_request *r,
                                               double work_us);

/** Expected time until a response, including failed attempts; INFINITY if T
 * almost never responds. */
double chooser_expected_response_us (const struct target_set *set,
                                     const struct target_state *t);

/** Choose a target for R in TIERS, which only list targets with a free
 * slot.  Targets that R has tried are excluded. */
struct chooser_pick chooser_choose (const struct target_set *set,
                                    struct rng *rng, unsigned tiers,
                                    const struct policy_request *r,
                                    int64_t now_us);

/** Has R tried all eligible targets? */
bool chooser_all_tried (const struct target_set *set,
                        const struct policy_request *r);

#endif
