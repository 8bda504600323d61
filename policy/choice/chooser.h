/** @file
 * The choice of a target by what a request there is expected to cost.
 *
 * A bounded number of random candidates of the host's subset, and as many of
 * the other targets, costs the same for any number of targets; with few all
 * are compared, since when targets fail in spells the one that answered last
 * is worth finding.  A blur on each cost
 * keeps hosts that don't know each other's choices from all running to the
 * one best target.
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
  /** Candidates that are compared of each part: all of a small service. */
  CHOOSER_CANDIDATES_MAX = 16,
};

/** Tiers from which to choose, as a set of bits. */
enum chooser_tiers
{
  CHOOSE_HEALTHY = 1 << TIER_HEALTHY,
  CHOOSE_WARMING = 1 << TIER_WARMING,
  CHOOSE_SUSPECT = 1 << TIER_SUSPECT,
};

/** What was chosen. */
struct chooser_pick
{
  uint32_t target; /**< POLICY_NO_TARGET: there is no candidate */
  bool is_only;    /**< there was but one candidate */
};

/** The expected cost of the request at target T, in microseconds: latency
 * with what is in flight there, the way, failures, warm-up. */
double chooser_cost_us (const struct target_set *set,
                        const struct target_state *t, int64_t now_us,
                        bool repeatable);

/** Time until an answer, attempts that fail included; INFINITY when T is
 * close to never answering. */
double chooser_expected_response_us (const struct target_set *set,
                                     const struct target_state *t);

/** Choose for R among the targets of TIERS, all of which have a free slot.
 * Those that R has tried are left out. */
struct chooser_pick chooser_choose (const struct target_set *set,
                                    struct rng *rng, unsigned tiers,
                                    const struct policy_request *r,
                                    int64_t now_us);

/** Are all eligible targets among those that R has tried? */
bool chooser_all_tried (const struct target_set *set,
                        const struct policy_request *r);

#endif
