/** @file
 * What this host knows about one target, and its status among its peers.
 */
#ifndef POLICY_CHOICE_TARGET_STATE_H
#define POLICY_CHOICE_TARGET_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/choice/latency_histogram.h"
#include "policy/choice/open_attempts.h"
#include "policy/choice/slot_limit.h"
#include "policy/choice/target_estimate.h"
#include "policy/choice/target_outlier.h"
#include "policy/choice/usual_latency.h"
#include "policy/cost/target_work.h"
#include "policy/service_policy.h"

enum
{
  TARGET_WARM_UP_US = 10000000, /**< slow start of a new or returned target
                                     that doesn't report its own */
  /** Until the other host reports its next attempt: it tries again each 1.5 s,
   * and learns after a connect timeout that nothing could be sent. */
  TARGET_UNREACHABLE_TTL_US = 2000000,
  /** Time from a failure until a target counts as healthy again. */
  TARGET_FAILURE_REST_US = 2000000,
  /** How long this host doesn't take the place of another one at a target that
   * it couldn't reach itself. */
  TARGET_UNSENT_REST_US = 6000000,
};

/** List of an eligible target with a free slot. */
enum target_tier
{
  TIER_HEALTHY, /**< not a suspect */
  TIER_WARMING, /**< at its slow start limit, though it has slots */
  TIER_SUSPECT, /**< an outlier among its peers, or its path is faulty */
  TIER_COUNT,
  TIER_NONE = TIER_COUNT, /**< not eligible, or no free slot */
};

/** Targets are divided among the hosts of a set.  Each host keeps lists of
 * its own subset, which it uses, and of the other targets. */
enum target_part
{
  PART_SUBSET,
  PART_BACKUP,
  PART_COUNT,
};

/** One target. */
struct target_state
{
  struct policy_target config;
  struct target_estimate estimate; /**< from attempts that ended */
  struct open_attempts open;
  struct target_work work; /**< only with `by_cost` */
  double remote_work_us;   /**< last report of the work left by other hosts */
  int64_t remote_work_at_us;
  double p_unhealthy;  /**< probability that it is unhealthy, including open
                            attempts */
  double failure_rate; /**< expected share of failed attempts, including
                            open ones */
  uint32_t in_flight;
  struct slot_limit slot_limit;
  uint32_t rate_millis; /**< thousandths of a request a second; 0: no limit */
  double tokens;        /**< of the token bucket that enforces the rate */
  int64_t refilled_us;  /**< last refill of the bucket */
  bool ejected;
  int64_t rest_end_us;      /**< it wants no requests until then; 0: it does */
  bool failing;             /**< its failure rate is an outlier */
  bool slow;                /**< its latency is an outlier */
  bool avoided;             /**< other hosts report that the path to it is
                                 faulty */
  int64_t warm_up_start_us; /**< start of its warm-up; INT64_MIN: warm */
  bool is_new;              /**< it joined, and has no outcome yet */
  int64_t last_used_us;     /**< last known use by any host */
  int64_t joined_us;        /**< when this host first knew of it */
  int64_t failed_us;        /**< last failure of an attempt by any host */
  int64_t unsent_us;        /**< last attempt of this host that wasn't sent */
  int64_t unreachable_us; /**< last report that another host can't reach it */
  uint64_t requests;
  uint64_t failures;
  enum target_tier tier;
  uint32_t tier_index; /**< index in the tier's list */
};

/** What is known about all targets of the service, to compare one with. */
struct target_peers
{
  const struct peer_baseline *baseline;
  const struct latency_histogram *latencies;
  double hang_share; /**< share of failed attempts that hung */
  bool prefer_faster_detection;
};

/** A target without outcomes; targets are unhealthy P_UNHEALTHY of the
 * time.  WARM_UP_START_US is when it joined; INT64_MIN: it existed before
 * this host. */
struct target_state target_state_initial (const struct policy_target *config,
                                          int64_t warm_up_start_us,
                                          int64_t now_us, double p_unhealthy);

/** OLD with another CONFIG.  A target that accepts work again after it was
 * drained starts slowly. */
struct target_state
target_state_with_config (const struct target_state *old,
                          const struct policy_target *config, int64_t now_us);

bool target_state_is_eligible (const struct target_state *t);
bool target_state_is_suspect (const struct target_state *t);
enum target_part target_state_part (const struct target_state *t);

/** How many requests T may have from this host at the same time. */
uint32_t target_state_slots (const struct target_state *t);

/** This host's fair share of the slots of T. */
uint32_t target_state_fair_slots (const struct target_state *t);

/** RESPONSE of T has arrived; its latency includes the network distance. */
void target_state_adapt_slots (struct target_state *t,
                               const struct slot_response *response);

/** The tier of T at NOW_US.  Ends its warm-up when that is over. */
enum target_tier target_state_tier (struct target_state *t, int64_t now_us);

/** Limit the rate of requests to T; RATE_MILLIS of 0: no limit.  A new
 * limit starts without tokens. */
void target_state_set_rate (struct target_state *t, int64_t now_us,
                            uint32_t rate_millis);

/** Consume a token for a request to T, whose tier isn't TIER_NONE. */
void target_state_consume_token (struct target_state *t);

/** From 0.1 when cold to 1 when warm. */
double target_state_warm_up_factor (const struct target_state *t,
                                    int64_t now_us);

/** Decay what is known about T until NOW_US. */
void target_state_advance (struct target_state *t,
                           const struct peer_baseline *baseline,
                           int64_t now_us);

/** Determine whether T is an outlier among its PEERS at NOW_US. */
void target_state_evaluate (struct target_state *t,
                            const struct target_peers *peers, int64_t now_us);

/** Update the last known use of T: an attempt of another host ended now as
 * END, and responses take USUAL_US.  Attempts that hang are reported
 * seconds after they were sent; if their ends counted as use, T would seem
 * to be in use while nothing is sent to it.  The symptom is that targets
 * get no requests although it is their turn, while the ends of
 * old attempts arrive. */
void target_state_note_remote_use (struct target_state *t, int64_t now_us,
                                   enum attempt_end end, int64_t usual_us);

/** An attempt of any host at T, which began at START_US, ended as END. */
void target_state_note_end (struct target_state *t, int64_t start_us,
                            enum attempt_end end);

/** Does T need this host as a backup for now?  It does if the host whose
 * subset it is in can't reach it; otherwise it would get no requests, as
 * the other hosts leave it to that host.  It doesn't if it is in this
 * host's subset anyway, if this host can't reach it either, or if it has
 * just failed.  A failure some seconds ago doesn't matter: all other hosts
 * know of it too, so none would use T again. */
bool target_state_needs_backup (const struct target_state *t, int64_t now_us);

#endif
