/** @file
 * The work of requests at the targets of a set; only with a cost model.
 */
#ifndef POLICY_CHOICE_TARGET_COST_H
#define POLICY_CHOICE_TARGET_COST_H

#include <stdint.h>

#include "policy/choice/target_set.h"

enum
{
  /** Work that was left at a report is mostly done after this time. */
  TARGET_COST_REPORT_TTL_US = 1000000,
};

/** Measure the median of the targets' work ratios. */
void target_cost_refresh (struct target_set *set);

/** How many times longer work takes at T than at a target of median speed. */
double target_cost_slowness (const struct target_set *set,
                             const struct target_state *t, int64_t now_us);

/** Expected work left at T: of the open attempts of this host, of which those
 * of unknown work count as UNKNOWN_US. */
double target_cost_own_work_us (const struct target_set *set,
                                const struct target_state *t, int64_t now_us,
                                double unknown_us);

/** The same of other hosts: as reported, less what the slots of T have done
 * since, or 0 if the report is older than TARGET_COST_REPORT_TTL_US.  Without
 * the reduction, reports made every 250 ms worsened the choice: all hosts
 * avoided targets that had become free. */
double target_cost_remote_work_us (const struct target_state *t,
                                   int64_t now_us);

/** Learn from OUTCOME of an attempt at T of a request with KEYS, before its
 * health estimates are updated. */
void target_cost_learn (struct target_set *set, struct target_state *t,
                        int64_t now_us, const struct policy_outcome *outcome,
                        const uint64_t keys[POLICY_COST_KEYS]);

#endif
