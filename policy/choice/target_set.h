/** @file
 * The targets of one service at this host: their slots, estimates and
 * standing, kept in tiers so that a choice costs the same for ten targets
 * and for a thousand.
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
#include "policy/service_policy.h"

enum
{
  TARGET_REFRESH_US = 100000,   /**< most time between two looks at all */
  TARGET_REFRESH_OUTCOMES = 32, /**< or so many outcomes, or one a target */
  TARGET_IDLE_US = 3000000,     /**< without use, though it has room */
};

/** Numbers of targets in no order. */
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
  uint32_t suspects; /**< among the eligible, with or without room */
  uint32_t idle;     /**< at the refresh, see target_set_idle() */
  uint32_t in_flight;
  bool prefer_faster_detection;
  uint32_t backup_cost_percent; /**< of a target outside the subset */
  struct peer_baseline baseline;
  int64_t refreshed_us;
  int64_t unhealthy_share_learned_us; /**< when baseline.ill was, a refresh
                                         forced or not */
  int64_t unreachable_us;             /**< the latest of the targets' */
  uint32_t outcomes;                  /**< since the refresh */
  struct latency_histogram latencies; /**< of good answers */
  double hang_share; /**< share of failed attempts that hung, as learned */
  struct unserved_share unserved;
  double *scratch;
};

/** A set without targets. */
void target_set_init (struct target_set *set);
void target_set_clear (struct target_set *set);

/** Replace the targets, state following the keys.  RENUMBERED, if not NULL,
 * receives a new array from old to new numbers, for the caller to free. */
void target_set_replace (struct target_set *set, int64_t now_us,
                         const struct policy_target *targets, uint32_t count,
                         uint32_t **renumbered);

void target_set_eject (struct target_set *set, int64_t now_us, uint32_t number,
                       bool ejected);

/** Make the target a suspect on the word of others, or end that. */
void target_set_avoid (struct target_set *set, int64_t now_us, uint32_t number,
                       bool avoided);

/** Limit the rate of requests to the target; RATE_MILLIS is in thousandths of
 * a request a second, 0: no limit. */
void target_set_limit_rate (struct target_set *set, int64_t now_us,
                            uint32_t number, uint32_t rate_millis);

/** Take a free slot of the target. */
void target_set_acquire (struct target_set *set, int64_t now_us,
                         uint32_t number);

/** Give the slot back and learn from the outcome. */
void target_set_release (struct target_set *set, int64_t now_us,
                         const struct policy_outcome *outcome);

/** Another host can't reach a target: see target_state_needs_backup(). */
void target_set_note_unreachable (struct target_set *set, int64_t now_us,
                                  uint32_t number);

/** Learn from an attempt of another host. */
void target_set_observe_remote (struct target_set *set, int64_t now_us,
                                uint32_t number, enum attempt_end end);

/** Judge all targets anew when it is time; cheap otherwise. */
void target_set_refresh (struct target_set *set, int64_t now_us);

/** How likely a target that is ill with ILL never answers an attempt. */
double target_set_hang_probability (const struct target_set *set, double ill);

/** How many targets of TIER have a free slot, in both parts. */
uint32_t target_set_available (const struct target_set *set,
                               enum target_tier tier);

/** Eligible targets, and those of them that were used lately. */
struct target_use
{
  uint32_t eligible;
  uint32_t used;
};

/** The use since SINCE_US of the targets of the subset, or with ALL of those
 * outside it as well. */
struct target_use target_set_count_used (const struct target_set *set,
                                         int64_t since_us, bool all);

/** The N-th of the targets of the subset that aren't avoided, have room and
 * weren't used for TARGET_IDLE_US, or POLICY_NO_TARGET. */
uint32_t target_set_idle (const struct target_set *set, int64_t now_us,
                          uint32_t n);

/** Does any target need this host's visits, see target_state_needs_backup()?
 */
bool target_set_needs_backup (const struct target_set *set, int64_t now_us);

/** Are suspects avoided?  Not when they are most of the eligible. */
bool target_set_avoids_suspects (const struct target_set *set);

#endif
