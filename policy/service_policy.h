/** @file
 * All routing decisions of one service at one host, as a deterministic state
 * machine.
 *
 * It takes events (a request arrives, an attempt ends, an ejection takes
 * effect) and returns decisions.  It uses no sockets, clocks or hidden
 * randomness: the time is passed in as microseconds since boot, and
 * randomness comes from the seed.  Requests and targets are identified by
 * small integers, so the hot path allocates no memory.
 *
 * A target is eligible unless it is drained, leaving or ejected.  Avoidance
 * of suspects (slow or failing targets) only affects the choice among
 * eligible targets, so it can't violate a floor.
 */
#ifndef POLICY_SERVICE_POLICY_H
#define POLICY_SERVICE_POLICY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/choice/retry_budget.h"

/** Maximum number of targets that a request can have tried. */
#define POLICY_TRIED_MAX 8
/** Maximum number of attempts of a request of which no byte is sent.  They
 * add no load, but each takes time. */
#define POLICY_UNSENT_MAX 3
#define POLICY_NO_TARGET UINT32_MAX
/** A time that never passes. */
#define ATTEMPT_NO_TIMEOUT INT64_MAX

/** A target as seen by the policy; its index in the set is its number. */
struct policy_target
{
  uint64_t key;         /**< hash of service and target name; stable across
                             changes */
  uint32_t slots;       /**< this host's share of its slots, at least 1 */
  uint32_t fair_slots;  /**< to which `slots` is reduced while all targets are
                             overloaded; 0: it isn't */
  uint32_t distance_us; /**< additional one-way delay if it is in another dc */
  bool is_backup;       /**< outside this host's subset: another host of the
                             set uses it, and this one if its own targets are
                             worse */
  bool accepts_work;    /**< false: drained or leaving */
  int64_t warm_up_us;   /**< remaining warm-up time that it reports; -1: it
                             doesn't, and starts slowly if it is new */
};

/** Decisions that a deployment's settings turn on; all false: none. */
struct policy_modes
{
  /** Requests of a lower `precedence` go first where there is too little
   * room. */
  bool by_precedence;
  /** Targets are chosen by the expected work of requests. */
  bool by_cost;
  /** Unused targets are used by how likely they are healthy, and the pauses
   * after failures grow. */
  bool working_set;
};

/** Limits and preferences of the service. */
struct service_policy_options
{
  uint64_t seed;
  uint32_t queue_requests;
  uint32_t queue_bytes;
  struct retry_limits retries; /**< limits of this host */
  uint32_t attempts; /**< maximum attempts per request, including the first */
  bool prefer_faster_detection;
  /** Additional cost of a backup target, beyond the network distance. */
  uint32_t backup_cost_percent;
  /** Share of the eligible targets that gets work within any two seconds.
   * It grows while many attempts fail, and for repeatable requests.  0: no
   * minimum. */
  uint32_t used_percent;
  /** Hosts that divide the targets into subsets, including this one; 0:
   * this host has no subset, or the number isn't known. */
  uint32_t set_hosts;
  struct policy_modes modes;
};

/** Keys by which the cost of a request is learned, from the most specific. */
#define POLICY_COST_KEYS 3

/** A request that needs a decision. */
struct policy_request
{
  uint64_t id; /**< unique at this host */
  int64_t deadline_us;
  int64_t goal_us;       /**< a response after this is late; 0: the deadline */
  uint32_t queued_bytes; /**< memory that it uses while queued */
  bool repeatable;
  uint32_t attempt;      /**< 1 for the first attempt */
  uint32_t unsent;       /**< earlier attempts of which no byte was sent */
  bool after_unsent;     /**< the last attempt was one of these */
  uint32_t attempts_max; /**< 0: as in the service's options */
  uint32_t tried[POLICY_TRIED_MAX];
  uint32_t tried_count;
  bool keeps_queue;    /**< displaces no queued request, since it won't wait */
  bool is_counted;     /**< in another host's retry budget */
  uint32_t precedence; /**< 0 goes first; only with `by_precedence` */
  uint64_t cost_keys[POLICY_COST_KEYS]; /**< 0: unknown */
};

enum policy_verdict
{
  POLICY_SEND,   /**< to `target`; its slot is taken until the outcome */
  POLICY_QUEUE,  /**< wait; service_policy_next() will return it */
  POLICY_REFUSE, /**< refuse immediately: not run */
};

/** Reason of a decision, also logged by name. */
enum policy_reason
{
  POLICY_REASON_BEST_OF_TWO, /**< lowest cost of the compared targets */
  POLICY_REASON_ONLY_CHOICE,
  POLICY_REASON_TRICKLE, /**< probe of a target that would get no requests */
  POLICY_REASON_NO_FREE_SLOT,
  POLICY_REASON_WAIT_FOR_GOOD, /**< unrepeatable: waits to avoid a suspect */
  POLICY_REASON_QUEUE_FULL,
  POLICY_REASON_TOO_LATE,  /**< can't finish within the deadline */
  POLICY_REASON_NO_TARGET, /**< none accepts work */
  POLICY_REASON_RETRY_BUDGET,
  POLICY_REASON_ATTEMPTS,
  POLICY_REASON_DISPLACED, /**< requests of a lower precedence took its room */
  POLICY_REASON_RETRY_RESERVED, /**< the last retries are for requests of a
                                     lower precedence */
  POLICY_REASON_WORKING_SET,    /**< a target that was due to come into use */
};

const char *policy_reason_name (enum policy_reason reason);

struct policy_decision
{
  enum policy_verdict verdict;
  enum policy_reason reason;
  uint32_t target; /**< with POLICY_SEND */
  uint64_t request_id;
  int64_t expected_wait_us;  /**< in the queue; 0 with POLICY_SEND */
  uint32_t retry_after_ms;   /**< with POLICY_REFUSE: retry delay computed
                                  from the queue length and the service rate;
                                  0: unknown */
  uint32_t expected_cost_us; /**< work of the request; 0: unknown */
};

/** How an attempt ended. */
enum attempt_end
{
  ATTEMPT_ANSWERED,  /**< a complete, successful response */
  ATTEMPT_FAILED,    /**< a complete response with an error status (5xx) */
  ATTEMPT_SHED,      /**< the target's explicit "not run" refusal */
  ATTEMPT_NOT_SENT,  /**< no byte of the request left this host */
  ATTEMPT_CUT,       /**< may have been sent; no complete response arrived */
  ATTEMPT_TIMED_OUT, /**< may have been sent; no response before the timeout */
  ATTEMPT_CANCELLED, /**< the caller went away: says nothing about the
                          target */
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

/** Replace the options; queued requests stay. */
void service_policy_configure (struct service_policy *policy,
                               const struct service_policy_options *options);

/** Replace the set of targets at NOW_US.  State is carried over by key.
 * New targets start cold, except those of the first set, which existed
 * before this host.  The numbers of targets that stay may change, so after
 * a change callers look up the target of an outcome by its key (see
 * service_policy_find()).  An attempt at a target that left needs no
 * outcome. */
void service_policy_set_targets (struct service_policy *policy, int64_t now_us,
                                 const struct policy_target *targets,
                                 size_t count);

/** The number of the target with KEY, or POLICY_NO_TARGET. */
uint32_t service_policy_find (const struct service_policy *policy,
                              uint64_t key);

/** Apply or end the ejection of TARGET; a target that returns starts
 * slowly. */
void service_policy_set_ejected (struct service_policy *policy, int64_t now_us,
                                 uint32_t target, bool ejected);

/** Record whether the path from here to TARGET is reported as faulty.  If
 * so, the target is avoided like a suspect, but stays eligible. */
void service_policy_set_avoided (struct service_policy *policy, int64_t now_us,
                                 uint32_t target, bool avoided);

/** Limit the rate of requests from here to TARGET to RATE_MILLIS
 * thousandths of a request a second; 0: no limit. */
void service_policy_set_rate (struct service_policy *policy, int64_t now_us,
                              uint32_t target, uint32_t rate_millis);

/** TARGET wants no requests from this host until END_US.  An earlier end than
 * the one in force is ignored. */
void service_policy_set_rest (struct service_policy *policy, int64_t now_us,
                              uint32_t target, int64_t end_us);

/** Decide on a new request or on another attempt of one. */
struct policy_decision service_policy_admit (struct service_policy *policy,
                                             int64_t now_us,
                                             const struct policy_request *r);

/** Take a slot of TARGET for an attempt that another host chose.  Its outcome
 * has to be recorded like any other.
 * @return false if the target isn't eligible or has no free slot */
bool service_policy_acquire (struct service_policy *policy, int64_t now_us,
                             uint32_t target);

/** Record that a request of the service was refused here for a reason
 * outside the policy, such as a workspace's quota. */
void service_policy_note_refusal (struct service_policy *policy,
                                  int64_t now_us);

/** How long an attempt of R, which is repeatable, at TARGET from NOW_US on
 * may go without response headers before service_policy_admit_failover() is
 * called; ATTEMPT_NO_TIMEOUT: until its deadline. */
int64_t service_policy_attempt_timeout_us (const struct service_policy *policy,
                                           int64_t now_us,
                                           const struct policy_request *r,
                                           uint32_t target);

/** Decide on another attempt of R while the previous one is still in
 * flight.  Only a healthy target that R hasn't tried and that has a free
 * slot is used; if there is none, the retry budget isn't charged.
 * @return false: keep waiting for the current attempt, for the reason in
 * DECISION; else DECISION is POLICY_SEND */
bool service_policy_admit_failover (struct service_policy *policy,
                                    int64_t now_us,
                                    const struct policy_request *r,
                                    struct policy_decision *decision);

/** Whether this host has no token for a retry. */
bool service_policy_lacks_retry (struct service_policy *policy,
                                 int64_t now_us);

/** Withdraw up to WANTED retries for another host.
 * @return how many */
uint32_t service_policy_withdraw_retries (struct service_policy *policy,
                                          int64_t now_us, uint32_t wanted);

/** Add COUNT retries withdrawn at another host. */
void service_policy_deposit_retries (struct service_policy *policy,
                                     int64_t now_us, uint32_t count);

/** Learn the work of a request with COST_KEYS (see struct policy_request) from
 * OUTCOME.  Call it before service_policy_outcome(); no effect without
 * `modes.by_cost`. */
void service_policy_learn_work (struct service_policy *policy, int64_t now_us,
                                const struct policy_outcome *outcome,
                                const uint64_t cost_keys[POLICY_COST_KEYS]);

/** WORK_US is the work that the other hosts of the set, all together, have
 * left at TARGET.  It replaces the previous report and is ignored once it is a
 * second old, so that lost, late and repeated reports do no lasting harm.  No
 * effect without `modes.by_cost`. */
void service_policy_note_remote_work (struct service_policy *policy,
                                      int64_t now_us, uint32_t target,
                                      int64_t work_us);

/** The expected work that this host has left at TARGET, for a report to other
 * hosts; 0 without `modes.by_cost`. */
int64_t service_policy_open_work_us (const struct service_policy *policy,
                                     int64_t now_us, uint32_t target);

/** An attempt ended: release its slot and learn from the outcome.  Call
 * service_policy_next() afterwards until it returns false. */
void service_policy_outcome (struct service_policy *policy, int64_t now_us,
                             const struct policy_outcome *outcome);

/** An attempt of another host at TARGET ended with END.  Call
 * service_policy_next() afterwards. */
void service_policy_remote_outcome (struct service_policy *policy,
                                    int64_t now_us, uint32_t target,
                                    enum attempt_end end);

/** The next queued request that can be decided now: it is sent, or refused
 * because it can no longer finish in time or others displaced it.
 * @return false if there is none. */
bool service_policy_next (struct service_policy *policy, int64_t now_us,
                          struct policy_decision *decision);

/** When to call service_policy_next() again even if no attempt ends: the
 * time of the last event if that may have changed something (targets
 * replaced or ejected), INT64_MAX if nothing is queued. */
int64_t service_policy_wake_us (const struct service_policy *policy);

/** Remove a queued request whose caller went away. */
void service_policy_cancel_queued (struct service_policy *policy,
                                   uint64_t request_id);

/** May the request be retried after an attempt that ended with END? */
bool service_policy_may_retry (enum attempt_end end, bool repeatable);

/** The policy's view of a target, for operators and for the owner of its
 * service. */
struct policy_target_status
{
  uint32_t in_flight;
  int64_t latency_us; /**< estimate */
  uint32_t failure_permille;
  bool suspect;
  bool ejected;
  bool warming;
  uint64_t requests; /**< outcomes since start */
  uint64_t failures;
};

struct policy_target_status
service_policy_target_status (const struct service_policy *policy,
                              uint32_t target);
/** The latency of a typical response, in microseconds; 0: not known. */
double service_policy_usual_latency_us (const struct service_policy *policy);
uint32_t service_policy_queued (const struct service_policy *policy);
/** Attempts in flight at all targets. */
uint32_t service_policy_in_flight (const struct service_policy *policy);

#endif
