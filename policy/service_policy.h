/** @file
 * All routing decisions of one service at one host, as one pure machine.
 *
 * Events in (a request arrives, an attempt ended, an ejection came into
 * force), decisions out.  No socket, no clock, no hidden randomness: time is
 * passed in as microseconds since boot, randomness comes from the seed.
 * Requests and targets are named by small whole numbers, so the hot path
 * allocates nothing.
 *
 * A target is eligible unless it is drained, leaving or ejected.  Avoidance
 * (suspects, slow or failing targets) only steers among the eligible, so it
 * can't breach a floor.
 */
#ifndef POLICY_SERVICE_POLICY_H
#define POLICY_SERVICE_POLICY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/choice/retry_budget.h"

/** Most targets one request can have tried. */
#define POLICY_TRIED_MAX 8
/** Most tries of a request of which no byte is sent.  They are no load, but
 * each takes its time. */
#define POLICY_UNSENT_MAX 3
#define POLICY_NO_TARGET UINT32_MAX
/** A time that never passes. */
#define ATTEMPT_NO_TIMEOUT INT64_MAX

/** A target as the policy sees it; its index in the set is its number. */
struct policy_target
{
  uint64_t key;   /**< hash of service and target name; stays over changes */
  uint32_t slots; /**< this host's share of its slots, at least 1 */
  uint32_t distance_us; /**< extra one-way time when in another dc */
  bool is_backup;     /**< outside this host's subset: another host of the set
                           uses it, and this one when its own are worse */
  bool accepts_work;  /**< false: drained or leaving */
  int64_t warm_up_us; /**< it says that it is slow for so long yet; -1: it
                           doesn't say, and starts slowly when it is new */
};

/** Bounds and preferences of the service. */
struct service_policy_options
{
  uint64_t seed;
  uint32_t queue_requests;
  uint32_t queue_bytes;
  struct retry_limits retries; /**< what this host may make */
  uint32_t attempts; /**< most tries of one request, the first included */
  bool prefer_faster_detection;
  /** How much more a backup target costs, beyond the way there. */
  uint32_t backup_cost_percent;
  /** This share of the eligible targets gets work within any two seconds, and
   * more while many attempts fail or by requests that may be tried again; 0:
   * however few. */
  uint32_t used_percent;
  /** Hosts that divide the targets into subsets, this one among them; 0: it
   * has no subset, or isn't known. */
  uint32_t set_hosts;
};

/** A request waiting for a decision. */
struct policy_request
{
  uint64_t id; /**< unique at this host */
  int64_t deadline_us;
  int64_t goal_us;       /**< an answer is late after it; 0: at the deadline */
  uint32_t queued_bytes; /**< what it holds while it waits */
  bool repeatable;
  uint32_t attempt;      /**< 1 for the first try */
  uint32_t unsent;       /**< tries before it of which no byte was sent */
  bool after_unsent;     /**< the last one before it is among these */
  uint32_t attempts_max; /**< 0: as the service's options say */
  uint32_t tried[POLICY_TRIED_MAX];
  uint32_t tried_count;
};

enum policy_verdict
{
  POLICY_SEND,   /**< to `target`; its slot is taken until the outcome */
  POLICY_QUEUE,  /**< wait; service_policy_next() will name it */
  POLICY_REFUSE, /**< answer at once: not run */
};

/** Why; also the word in the decision's log line. */
enum policy_reason
{
  POLICY_REASON_BEST_OF_TWO,
  POLICY_REASON_ONLY_CHOICE,
  POLICY_REASON_TRICKLE, /**< chance for one that would get nothing */
  POLICY_REASON_NO_FREE_SLOT,
  POLICY_REASON_WAIT_FOR_GOOD, /**< unrepeatable: waits to avoid a suspect */
  POLICY_REASON_QUEUE_FULL,
  POLICY_REASON_TOO_LATE,  /**< can't finish within the deadline */
  POLICY_REASON_NO_TARGET, /**< none accepts work */
  POLICY_REASON_RETRY_BUDGET,
  POLICY_REASON_ATTEMPTS,
};

const char *policy_reason_name (enum policy_reason reason);

struct policy_decision
{
  enum policy_verdict verdict;
  enum policy_reason reason;
  uint32_t target; /**< with POLICY_SEND */
  uint64_t request_id;
  int64_t expected_wait_us; /**< in the queue; 0 with POLICY_SEND */
  uint32_t retry_after_ms;  /**< with POLICY_REFUSE: when to come back, from
                                 the queue and the service rate; 0: unknown */
};

/** How far an attempt got. */
enum attempt_end
{
  ATTEMPT_ANSWERED,  /**< a whole answer, good */
  ATTEMPT_FAILED,    /**< a whole answer that says failure (5xx) */
  ATTEMPT_SHED,      /**< the target's explicit "not run" refusal */
  ATTEMPT_NOT_SENT,  /**< no byte of the request left this host */
  ATTEMPT_CUT,       /**< perhaps sent; the answer never came whole */
  ATTEMPT_TIMED_OUT, /**< perhaps sent; no answer in the time it had */
  ATTEMPT_CANCELLED, /**< the caller went away: says nothing of the target */
};

struct policy_outcome
{
  uint32_t target;
  enum attempt_end end;
  int64_t latency_us; /**< from send to end */
  bool repeatable;
};

struct service_policy;

struct service_policy *
service_policy_create (const struct service_policy_options *options);
void service_policy_destroy (struct service_policy *policy);

/** Replace the bounds; what is queued stays. */
void service_policy_configure (struct service_policy *policy,
                               const struct service_policy_options *options);

/** Replace the target set at NOW_US.  State follows a target by its key; new
 * keys start cold, but for those of the first set, which were there before
 * this host.  Numbers of targets that stay may change, so callers pass
 * outcomes by key after a change (see service_policy_find()); the end of an
 * attempt at a target that left needs no outcome. */
void service_policy_set_targets (struct service_policy *policy, int64_t now_us,
                                 const struct policy_target *targets,
                                 size_t count);

/** The number of the target with KEY, or POLICY_NO_TARGET. */
uint32_t service_policy_find (const struct service_policy *policy,
                              uint64_t key);

/** Put the ejection of TARGET in or out of force; back in starts slowly. */
void service_policy_set_ejected (struct service_policy *policy, int64_t now_us,
                                 uint32_t target, bool ejected);

/** The path from here to TARGET is said to be at fault, or good again: it is
 * avoided like a suspect, and never made ineligible. */
void service_policy_set_avoided (struct service_policy *policy, int64_t now_us,
                                 uint32_t target, bool avoided);

/** Limit the rate of requests from here to TARGET to RATE_MILLIS thousandths
 * of a request a second; 0: no limit. */
void service_policy_set_rate (struct service_policy *policy, int64_t now_us,
                              uint32_t target, uint32_t rate_millis);

/** Decide on a new request or on a further attempt of one. */
struct policy_decision service_policy_admit (struct service_policy *policy,
                                             int64_t now_us,
                                             const struct policy_request *r);

/** A request of the service was refused here for a reason that the policy
 * doesn't know, as a workspace's quota. */
void service_policy_note_refusal (struct service_policy *policy,
                                  int64_t now_us);

/** How long an attempt at TARGET that begins at NOW_US for R, which is
 * repeatable, may go without an answer's head before
 * service_policy_admit_failover() is asked; ATTEMPT_NO_TIMEOUT: until its
 * deadline. */
int64_t service_policy_attempt_timeout_us (const struct service_policy *policy,
                                           int64_t now_us,
                                           const struct policy_request *r,
                                           uint32_t target);

/** Decide on a further attempt of R while its former one is still under way:
 * only at a target that R hasn't tried, in good standing and with a free
 * slot.  Nothing is taken from the retry budget if there is none.
 * @return false: R goes on waiting; else DECISION is POLICY_SEND */
bool service_policy_admit_failover (struct service_policy *policy,
                                    int64_t now_us,
                                    const struct policy_request *r,
                                    struct policy_decision *decision);

/** An attempt ended: frees its slot and learns.  Call service_policy_next()
 * afterwards until it says false. */
void service_policy_outcome (struct service_policy *policy, int64_t now_us,
                             const struct policy_outcome *outcome);

/** An attempt of another host at TARGET ended so.  Call service_policy_next()
 * afterwards. */
void service_policy_remote_outcome (struct service_policy *policy,
                                    int64_t now_us, uint32_t target,
                                    enum attempt_end end);

/** The next queued request that can be decided now: to be sent, or refused
 * because it can no longer finish in time.
 * @return false when there is none. */
bool service_policy_next (struct service_policy *policy, int64_t now_us,
                          struct policy_decision *decision);

/** When service_policy_next() should be asked again even if no attempt ends:
 * the time of the last event when that may have changed something (targets
 * replaced or ejected), INT64_MAX when nothing waits. */
int64_t service_policy_wake_us (const struct service_policy *policy);

/** Take a queued request out: its caller went away. */
void service_policy_cancel_queued (struct service_policy *policy,
                                   uint64_t request_id);

/** May an attempt that ended so be tried again? */
bool service_policy_may_retry (enum attempt_end end, bool repeatable);

/** What the policy believes of a target, for people and for the owner. */
struct policy_target_status
{
  uint32_t in_flight;
  int64_t latency_us; /**< estimate */
  uint32_t failure_permille;
  bool suspect;
  bool ejected;
  bool warming;
  uint64_t requests; /**< outcomes seen since start */
  uint64_t failures;
};

struct policy_target_status
service_policy_target_status (const struct service_policy *policy,
                              uint32_t target);
uint32_t service_policy_queued (const struct service_policy *policy);
/** Attempts under way at all targets. */
uint32_t service_policy_in_flight (const struct service_policy *policy);

#endif
