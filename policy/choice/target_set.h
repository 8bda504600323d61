/** @file
 * The targets of one service at this host, with their slots, estimates and
 * health.  They are kept in tiers, so that a choice takes the same time for
 * ten targets and for a thousand.
 */
#ifndef POLICY_CHOICE_TARGET_SET_H
#define POLICY_CHOICE_TARGET_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/choice/latency_histogram.h"
#include "policy/choice/key_index.h"
#include "policy/choice/unserved_share.h"
#include "policy/choice/target_outlier.h"
#include "policy/choice/target_state.h"
#include "policy/cost/cost_model.h"
#include "policy/service_policy.h"

enum
{
  TARGET_REFRESH_US = 100000,   /**< maximum time between two full refreshes */
  TARGET_REFRESH_OUTCOMES = 32, /**< or after this many outcomes, or one per
                                     target if that is more */
  TARGET_IDLE_US = 3000000,     /**< without use, although it has free slots */
};

/** Unordered target numbers. */
struct target_list
{
  uint32_t *numbers;
  uint32_t count;
};

/** All targets of the service. */
struct target_set
{
  struct target_state *targets;
  uint32_t count;
  struct key_index index;
  struct target_list tiers[TIER_COUNT][PART_COUNT];
  uint32_t eligible;
  uint32_t suspects; /**< eligible targets that are suspects, with or
                          without a free slot */
  uint32_t idle;     /**< as of the refresh, see target_set_idle() */
  uint32_t in_flight;
  uint32_t fair_slots;   /**< of all eligible targets, as of the refresh */
  uint32_t rate_limited; /**< eligible targets with a rate limit, as of the
                              refresh */
  bool prefer_faster_detection;
  uint32_t backup_cost_percent; /**< of a target outside the subset */
  struct peer_baseline baseline;
  struct cost_model *cost;  /**< not owned; NULL: targets aren't chosen by the
                                 work of requests */
  double recent_work_ratio; /**< mean time of the last attempts at all targets,
                                 relative to their expected work; 0: unknown
                                 */
  double median_work_ratio; /**< of the targets, as of the refresh; 0:
                                 unknown */
  int64_t refreshed_us;
  int64_t unhealthy_share_learned_us; /**< when baseline.unhealthy_share was
                                           last updated, by a forced refresh
                                           too */
  int64_t unreachable_us;             /**< latest of the targets' times */
  int64_t rest_end_us; /**< earliest of the targets' times; 0: none rests */
  uint32_t outcomes;   /**< since the refresh */
  struct latency_histogram latencies; /**< of successful responses */
  double hang_share; /**< learned share of failed attempts that hung */
  struct usual_latency usual;
  struct unserved_share unserved;
  double *scratch;
};

/** Initialize a set without targets. */
void target_set_init (struct target_set *set);
void target_set_clear (struct target_set *set);

/** Replace the targets; state is carried over by key.  RENUMBERED, if not
 * NULL, receives a new array that maps old to new numbers, which the caller
 * must free. */
void target_set_replace (struct target_set *set, int64_t now_us,
                         const struct policy_target *targets, uint32_t count,
                         uint32_t **renumbered);

void target_set_eject (struct target_set *set, int64_t now_us, uint32_t number,
                       bool ejected);

/** The target wants no requests from this host until END_US. */
void target_set_rest (struct target_set *set, int64_t now_us, uint32_t number,
                      int64_t end_us);

/** Record whether other hosts report the path from here to the target as
 * faulty. */
void target_set_avoid (struct target_set *set, int64_t now_us, uint32_t number,
                       bool avoided);

/** Limit the rate of requests to the target; RATE_MILLIS is in thousandths
 * of a request a second, 0: no limit. */
void target_set_limit_rate (struct target_set *set, int64_t now_us,
                            uint32_t number, uint32_t rate_millis);

/** Acquire a free slot of the target. */
void target_set_acquire (struct target_set *set, int64_t now_us,
                         uint32_t number);

/** Release the slot and learn from the outcome. */
void target_set_release (struct target_set *set, int64_t now_us,
                         const struct policy_outcome *outcome);

/** Another host can't reach a target: see target_state_needs_backup(). */
void target_set_note_unreachable (struct target_set *set, int64_t now_us,
                                  uint32_t number);

/** Learn from an attempt of another host. */
void target_set_observe_remote (struct target_set *set, int64_t now_us,
                                uint32_t number, enum attempt_end end);

/** Re-evaluate all targets if that is due; cheap otherwise. */
void target_set_refresh (struct target_set *set, int64_t now_us);

/** Probability that an attempt at a target that is unhealthy with
 * P_UNHEALTHY never gets a response. */
double target_set_hang_probability (const struct target_set *set,
                                    double p_unhealthy);

/** The number of targets of TIER with a free slot, in both parts. */
uint32_t target_set_available (const struct target_set *set,
                               enum target_tier tier);

/** Eligible targets, and how many of them were used recently. */
struct target_use
{
  uint32_t eligible;
  uint32_t used;
};

/** Count the targets of the subset used since SINCE_US, with ALL also those
 * outside it. */
struct target_use target_set_count_used (const struct target_set *set,
                                         int64_t since_us, bool all);

/** The N-th target of the subset that isn't avoided, has a free slot and
 * wasn't used for TARGET_IDLE_US, or POLICY_NO_TARGET. */
uint32_t target_set_idle (const struct target_set *set, int64_t now_us,
                          uint32_t n);

/** Does any target need this host as a backup, see
 * target_state_needs_backup()? */
bool target_set_needs_backup (const struct target_set *set, int64_t now_us);

/** Are suspects avoided?  Not if they are most of the eligible targets. */
bool target_set_avoids_suspects (const struct target_set *set);

#endif
