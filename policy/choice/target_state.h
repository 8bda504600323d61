/** @file
 * What this host knows of one target, and how it stands among its peers.
 */
#ifndef POLICY_CHOICE_TARGET_STATE_H
#define POLICY_CHOICE_TARGET_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "policy/choice/latency_histogram.h"
#include "policy/choice/open_attempts.h"
#include "policy/choice/target_estimate.h"
#include "policy/choice/target_outlier.h"
#include "policy/service_policy.h"

enum
{
  TARGET_WARM_UP_US = 10000000, /**< slow start of a new or returned target
                                     that doesn't say how long it needs */
  TARGET_UNREACHABLE_TTL_US
  = 1200000, /**< until the other host tells of its next try */
};

/** Where an eligible target with a free slot is listed. */
enum target_tier
{
  TIER_HEALTHY, /**< in good standing */
  TIER_WARMING, /**< at the bound of its slow start, though it has slots */
  TIER_SUSPECT, /**< stands out from its peers */
  TIER_COUNT,
  TIER_NONE = TIER_COUNT, /**< not eligible, or no free slot */
};

/** Targets are divided among the hosts of a set; each host keeps lists of its
 * own subset, which it uses, and of the rest. */
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
  double p_unhealthy; /**< probability that it is ill, open attempts counted */
  double failure_rate; /**< expected share of attempts that fail, the same */
  uint32_t in_flight;
  uint32_t rate_millis; /**< thousandths of a request a second; 0: no limit */
  double tokens;        /**< of the token bucket that enforces the rate */
  int64_t refilled_us;  /**< when they were last refilled */
  bool ejected;
  bool failing;             /**< its failure share stands out */
  bool slow;                /**< its latency stands out */
  bool avoided;             /**< others know that the path to it is at fault */
  int64_t warm_up_start_us; /**< start of its warm-up; INT64_MIN: warm */
  bool is_new;              /**< it joined, and nothing was heard of it yet */
  int64_t last_used_us;     /**< when any host was known to use it last */
  int64_t unreachable_us; /**< when a host told last that it can't reach it */
  uint64_t requests;
  uint64_t failures;
  enum target_tier tier;
  uint32_t tier_index; /**< index in the tier's list */
};

/** What is known of all targets of the service, to judge one by. */
struct target_peers
{
  const struct peer_baseline *baseline;
  const struct latency_histogram *latencies;
  double hang_share; /**< share of failed attempts that hung */
  bool prefer_faster_detection;
};

/** A target of which nothing is known but that targets are ill for the share
 * ILL of the time.  WARM_FROM_US: when it joined; INT64_MIN: it was there
 * before this host. */
struct target_state target_state_initial (const struct policy_target *config,
                                          int64_t warm_from_us, int64_t now_us,
                                          double ill);

/** OLD with another CONFIG.  A target that takes work again after it refused
 * some starts slowly. */
struct target_state
target_state_with_config (const struct target_state *old,
                          const struct policy_target *config, int64_t now_us);

bool target_state_is_eligible (const struct target_state *t);
bool target_state_is_suspect (const struct target_state *t);
enum target_part target_state_part (const struct target_state *t);

/** Where T belongs at NOW_US.  Ends its warm-up when that is over. */
enum target_tier target_state_tier (struct target_state *t, int64_t now_us);

/** Limit the rate of requests to T; RATE_MILLIS of 0: no limit.  A new limit
 * starts without tokens. */
void target_state_set_rate (struct target_state *t, int64_t now_us,
                            uint32_t rate_millis);

/** Consume a token for a request to T, whose tier isn't TIER_NONE. */
void target_state_consume_token (struct target_state *t);

/** From 0.1 when cold to 1 when warm. */
double target_state_warm_up_factor (const struct target_state *t,
                                    int64_t now_us);

/** Let what is known of T fade until NOW_US. */
void target_state_advance (struct target_state *t,
                           const struct peer_baseline *baseline,
                           int64_t now_us);

/** Does T stand out from its PEERS at NOW_US? */
void target_state_evaluate (struct target_state *t,
                            const struct target_peers *peers, int64_t now_us);

/** An attempt of another host at T ended now as END, where answers take
 * USUAL_US: since when is T known to be in use?  Guards against a target that
 * counts as in use while nothing is sent to it: what hangs is told of seconds
 * after it was sent.  Shows as targets that get nothing for longer than a turn
 * while the ends of old attempts come in. */
void target_state_note_remote_use (struct target_state *t, int64_t now_us,
                                   enum attempt_end end, int64_t usual_us);

/** Guards against a target that gets nothing since the host whose subset it is
 * in can't reach it, while the others leave it to that host.  Does T need this
 * host's visits for now?  It doesn't when it is in its subset anyway, or this
 * host can't reach it either. */
bool target_state_needs_backup (const struct target_state *t, int64_t now_us);

#endif
