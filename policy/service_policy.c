#include "policy/service_policy.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>

#include "base/xmalloc.h"
#include "policy/choice/attempt_rules.h"
#include "policy/choice/attempt_timeout.h"
#include "policy/choice/placement.h"
#include "policy/choice/service_cost.h"
#include "policy/choice/service_state.h"

enum
{
  /* Interval between two checks of the queue while no attempt ends: targets
     become or cease to be outliers with time, and a stall shows with time. */
  POLL_US = 20000,
  /* Maximum number of entries of a lane tried at once; those held back for
     another target are skipped. */
  LANE_ATTEMPTS_MAX = 4,
  /* Expected number of hosts that probe a target which another host can't
     reach. */
  BACKUP_HOSTS = 3,
};

const char *
policy_reason_name (enum policy_reason reason)
{
  static const char *const names[] = {
    [POLICY_REASON_BEST_OF_TWO] = "best-of-two",
    [POLICY_REASON_ONLY_CHOICE] = "only-choice",
    [POLICY_REASON_TRICKLE] = "trickle",
    [POLICY_REASON_WORKING_SET] = "working-set",
    [POLICY_REASON_NO_FREE_SLOT] = "no-free-slot",
    [POLICY_REASON_WAIT_FOR_GOOD] = "wait-for-good",
    [POLICY_REASON_QUEUE_FULL] = "queue-full",
    [POLICY_REASON_TOO_LATE] = "too-late",
    [POLICY_REASON_NO_TARGET] = "no-target",
    [POLICY_REASON_RETRY_BUDGET] = "retry-budget",
    [POLICY_REASON_ATTEMPTS] = "attempts",
    [POLICY_REASON_DISPLACED] = "displaced",
    [POLICY_REASON_RETRY_RESERVED] = "retry-reserved",
  };
  return names[reason];
}

struct service_policy *
service_policy_create (const struct service_policy_options *options)
{
  struct service_policy *policy = xcalloc (1, sizeof *policy);
  rng_seed (&policy->rng, options->seed);
  target_set_init (&policy->set);
  wait_queue_init (&policy->queue);
  service_rate_init (&policy->rate);
  retry_budget_init (&policy->budget);
  policy->polled_us = INT64_MIN;
  service_policy_configure (policy, options);
  return policy;
}

void
service_policy_destroy (struct service_policy *policy)
{
  if (policy == NULL)
    return;
  cost_model_destroy (policy->set.cost);
  target_set_clear (&policy->set);
  wait_queue_clear (&policy->queue);
  free (policy);
}

void
service_policy_configure (struct service_policy *policy,
                          const struct service_policy_options *options)
{
  policy->options = *options;
  policy->set.prefer_faster_detection = options->prefer_faster_detection;
  policy->set.backup_cost_percent = options->backup_cost_percent;
  service_cost_configure (policy);
  wait_queue_set_limits (&policy->queue, options->queue_requests,
                         options->queue_bytes);
}

void
service_policy_set_targets (struct service_policy *policy, int64_t now_us,
                            const struct policy_target *targets, size_t count)
{
  policy->now_us = now_us;
  policy->polled_us = INT64_MIN;
  const uint32_t old_count = policy->set.count;
  uint32_t *numbers;
  target_set_replace (&policy->set, now_us, targets, (uint32_t)count,
                      &numbers);
  wait_queue_renumber (&policy->queue, numbers, old_count);
  free (numbers);
}

uint32_t
service_policy_find (const struct service_policy *policy, uint64_t key)
{
  return key_index_find (&policy->set.index, key);
}

void
service_policy_set_ejected (struct service_policy *policy, int64_t now_us,
                            uint32_t target, bool ejected)
{
  policy->now_us = now_us;
  policy->polled_us = INT64_MIN;
  if (target < policy->set.count)
    target_set_eject (&policy->set, now_us, target, ejected);
}

void
service_policy_set_avoided (struct service_policy *policy, int64_t now_us,
                            uint32_t target, bool avoided)
{
  policy->now_us = now_us;
  policy->polled_us = INT64_MIN;
  if (target < policy->set.count)
    target_set_avoid (&policy->set, now_us, target, avoided);
}

void
service_policy_set_rate (struct service_policy *policy, int64_t now_us,
                         uint32_t target, uint32_t rate_millis)
{
  policy->now_us = now_us;
  policy->polled_us = INT64_MIN;
  if (target < policy->set.count)
    target_set_limit_rate (&policy->set, now_us, target, rate_millis);
}

void
service_policy_set_rest (struct service_policy *policy, int64_t now_us,
                         uint32_t target, int64_t end_us)
{
  policy->now_us = now_us;
  policy->polled_us = INT64_MIN;
  if (target < policy->set.count)
    target_set_rest (&policy->set, now_us, target, end_us);
}

/* Has R used all of its attempts? */
static bool
is_out_of_attempts (const struct service_policy *policy,
                    const struct policy_request *r)
{
  const uint32_t sent = r->attempt - 1 - r->unsent;
  return r->attempt > 1
         && (sent >= service_state_attempts_max (policy, r)
             || r->unsent > POLICY_UNSENT_MAX);
}

/* An attempt that reached no target adds no load.  So the next attempt
   either still counts as the first, or uses the token that the unsent one
   consumed.  Otherwise callers would be refused because of a network
   partition from some targets, although others could serve the request. */
static bool
costs_retry (const struct policy_request *r)
{
  return r->attempt - r->unsent > 1 && !r->after_unsent;
}

void
service_policy_note_refusal (struct service_policy *policy, int64_t now_us)
{
  policy->now_us = now_us;
  unserved_share_add_refused (&policy->set.unserved, now_us);
}

static struct policy_decision
admit (struct service_policy *policy, int64_t now_us,
       const struct policy_request *r)
{
  enum policy_reason reason;
  if (policy->set.eligible == 0)
    return placement_refuse (policy, r, POLICY_REASON_NO_TARGET);
  if (r->deadline_us <= now_us)
    return placement_refuse (policy, r, POLICY_REASON_TOO_LATE);
  if (is_out_of_attempts (policy, r))
    return placement_refuse (policy, r, POLICY_REASON_ATTEMPTS);
  if (costs_retry (r) && !precedence_take_retry (policy, r, &reason))
    return placement_refuse (policy, r, reason);
  return placement_admit (policy, r);
}

struct policy_decision
service_policy_admit (struct service_policy *policy, int64_t now_us,
                      const struct policy_request *r)
{
  policy->now_us = now_us;
  target_set_refresh (&policy->set, now_us);
  if (r->attempt <= 1 && !r->is_counted)
    retry_budget_add_request (&policy->budget, &policy->options.retries,
                              now_us);
  precedence_note_arrival (policy, r);
  struct policy_decision d = admit (policy, now_us, r);
  precedence_note_decision (policy, r, &d);
  service_cost_note_sent (policy, r, &d);
  return d;
}

int64_t
service_policy_attempt_timeout_us (const struct service_policy *policy,
                                   int64_t now_us,
                                   const struct policy_request *r,
                                   uint32_t target)
{
  const struct target_set *set = &policy->set;
  const uint32_t max_attempts = service_state_attempts_max (policy, r);
  const uint32_t sent = r->attempt - r->unsent;
  const int64_t goal_us = r->goal_us > 0 ? r->goal_us : r->deadline_us;
  if (target >= set->count)
    return ATTEMPT_NO_TIMEOUT;
  const struct attempt_timeout_context context = {
    .remaining_us = r->deadline_us - now_us,
    .goal_us = goal_us - now_us,
    .p_hang
    = target_set_hang_probability (set, set->targets[target].p_unhealthy),
    .p_next_hang
    = target_set_hang_probability (set, set->baseline.unhealthy_share / 2),
    .remaining_attempts = sent < max_attempts ? max_attempts - sent : 0,
  };
  return attempt_timeout_us (&set->latencies, &context);
}

bool
service_policy_admit_failover (struct service_policy *policy, int64_t now_us,
                               const struct policy_request *r,
                               struct policy_decision *decision)
{
  policy->now_us = now_us;
  target_set_refresh (&policy->set, now_us);
  const int64_t remaining_us = r->deadline_us - now_us;
  decision->reason = POLICY_REASON_ATTEMPTS;
  if (!r->repeatable || is_out_of_attempts (policy, r))
    return false;
  decision->reason = POLICY_REASON_TOO_LATE;
  if (remaining_us <= 0
      || attempt_timeout_is_deadline_unlikely (&policy->set.latencies,
                                               remaining_us))
    return false;
  if (costs_retry (r) && !precedence_may_retry (policy, r, &decision->reason))
    return false;
  decision->reason = POLICY_REASON_NO_FREE_SLOT;
  if (!placement_failover (policy, r, decision))
    return false;
  service_cost_note_sent (policy, r, decision);
  if (!costs_retry (r))
    return true;
  const bool taken
      = retry_budget_take (&policy->budget, &policy->options.retries, now_us);
  assert (taken);
  (void)taken;
  return true;
}

bool
service_policy_acquire (struct service_policy *policy, int64_t now_us,
                        uint32_t target)
{
  policy->now_us = now_us;
  const struct target_state *t = &policy->set.targets[target];
  if (!target_state_is_eligible (t) || t->in_flight >= t->config.slots)
    return false;
  target_set_acquire (&policy->set, now_us, target);
  return true;
}

bool
service_policy_lacks_retry (struct service_policy *policy, int64_t now_us)
{
  return !retry_budget_is_available (&policy->budget, &policy->options.retries,
                                     now_us);
}

uint32_t
service_policy_withdraw_retries (struct service_policy *policy, int64_t now_us,
                                 uint32_t wanted)
{
  return retry_budget_withdraw (&policy->budget, &policy->options.retries,
                                now_us, wanted);
}

void
service_policy_deposit_retries (struct service_policy *policy, int64_t now_us,
                                uint32_t count)
{
  retry_budget_deposit (&policy->budget, &policy->options.retries, now_us,
                        count);
}

void
service_policy_outcome (struct service_policy *policy, int64_t now_us,
                        const struct policy_outcome *outcome)
{
  policy->now_us = now_us;
  policy->polled_us = INT64_MIN;
  if (outcome->target >= policy->set.count)
    return;
  target_set_release (&policy->set, now_us, outcome);
  target_set_refresh (&policy->set, now_us);
  service_rate_note_release (&policy->rate, now_us, policy->queue.count > 0);
}

/* Another host can't reach TARGET, so some of the remaining hosts, drawn at
   random, probe it; one probe is enough. */
static void
note_unreachable (struct service_policy *policy, uint32_t target)
{
  const uint32_t others
      = policy->options.set_hosts > 1 ? policy->options.set_hosts - 1 : 1;
  if (rng_below (&policy->rng, others) < BACKUP_HOSTS)
    target_set_note_unreachable (&policy->set, policy->now_us, target);
}

void
service_policy_remote_outcome (struct service_policy *policy, int64_t now_us,
                               uint32_t target, enum attempt_end end)
{
  policy->now_us = now_us;
  policy->polled_us = INT64_MIN;
  if (target >= policy->set.count)
    return;
  if (end == ATTEMPT_NOT_SENT)
    note_unreachable (policy, target);
  else
    target_set_observe_remote (&policy->set, now_us, target, end);
}

/* Entry E of the queue can't be served: refuse it now. */
static struct policy_decision
refuse_queued (struct service_policy *policy, uint32_t e,
               enum policy_reason reason)
{
  const struct policy_request r = policy->queue.entries[e].request;
  wait_queue_remove (&policy->queue, e);
  const struct policy_decision d = placement_refuse (policy, &r, reason);
  precedence_note_decision (policy, &r, &d);
  return d;
}

/* Try the first entry of LANE first.  Entries that are held back for
   another target are skipped, so that they don't block free slots for the
   others. */
static bool
try_lane (struct service_policy *policy, enum wait_lane lane,
          struct policy_decision *d)
{
  uint32_t at = WAIT_QUEUE_NONE;
  for (uint32_t i = 0; i < LANE_ATTEMPTS_MAX; i++)
    {
      at = precedence_entry (policy, lane, i, at);
      if (at == WAIT_QUEUE_NONE)
        return false;
      const struct wait_entry *e = &policy->queue.entries[at];
      if (placement_send_queued (policy, e, d))
        {
          precedence_note_decision (policy, &e->request, d);
          service_cost_note_sent (policy, &e->request, d);
          wait_queue_remove (&policy->queue, at);
          return true;
        }
      if (e->request.tried_count == 0)
        return false;
    }
  return false;
}

bool
service_policy_next (struct service_policy *policy, int64_t now_us,
                     struct policy_decision *decision)
{
  policy->now_us = now_us;
  target_set_refresh (&policy->set, now_us);
  if (precedence_next_displaced (policy, decision))
    return true;
  const uint32_t first = wait_queue_next_expiring (&policy->queue);
  if (first == WAIT_QUEUE_NONE)
    return false;
  if (policy->set.eligible == 0)
    {
      *decision = refuse_queued (policy, first, POLICY_REASON_NO_TARGET);
      return true;
    }
  if (policy->queue.entries[first].expires_us <= now_us)
    {
      *decision = refuse_queued (policy, first, POLICY_REASON_TOO_LATE);
      return true;
    }
  /* Refusing a request that can no longer be served in time, because targets
     were removed or became slow, lets its caller retry in time. */
  enum policy_reason reason;
  const uint32_t late = precedence_next_late (policy, &reason);
  if (late != WAIT_QUEUE_NONE)
    {
      *decision = refuse_queued (policy, late, reason);
      return true;
    }
  precedence_promote (policy);
  const enum wait_lane first_lane = precedence_first_lane (policy);
  const enum wait_lane other
      = first_lane == LANE_REPEATABLE ? LANE_UNREPEATABLE : LANE_REPEATABLE;
  if (try_lane (policy, first_lane, decision)
      || try_lane (policy, other, decision))
    return true;
  policy->polled_us = now_us;
  return false;
}

int64_t
service_policy_wake_us (const struct service_policy *policy)
{
  if (policy->displaced.count > 0)
    return policy->now_us;
  const uint32_t first = wait_queue_next_expiring (&policy->queue);
  if (first == WAIT_QUEUE_NONE)
    return INT64_MAX;
  if (policy->polled_us == INT64_MIN)
    return policy->now_us;
  const int64_t expires_us = policy->queue.entries[first].expires_us;
  const int64_t poll_us = policy->polled_us + POLL_US;
  return poll_us < expires_us ? poll_us : expires_us;
}

void
service_policy_cancel_queued (struct service_policy *policy,
                              uint64_t request_id)
{
  const uint32_t e = wait_queue_find (&policy->queue, request_id);
  if (e != WAIT_QUEUE_NONE)
    wait_queue_remove (&policy->queue, e);
  precedence_cancel_displaced (policy, request_id);
}

bool
service_policy_may_retry (enum attempt_end end, bool repeatable)
{
  return attempt_may_retry (end, repeatable);
}

struct policy_target_status
service_policy_target_status (const struct service_policy *policy,
                              uint32_t target)
{
  if (target >= policy->set.count)
    return (struct policy_target_status){ 0 };
  const struct target_state *t = &policy->set.targets[target];
  return (struct policy_target_status){
    .in_flight = t->in_flight,
    .latency_us = (int64_t)t->estimate.latency_us,
    .failure_permille = (uint32_t)lround (t->failure_rate * 1000),
    .suspect
    = target_state_is_suspect (t) && target_set_avoids_suspects (&policy->set),
    .ejected = t->ejected,
    .warming = target_state_warm_up_factor (t, policy->now_us) < 1,
    .requests = t->requests,
    .failures = t->failures,
  };
}

double
service_policy_usual_latency_us (const struct service_policy *policy)
{
  return policy->set.usual.latency_us;
}

uint32_t
service_policy_queued (const struct service_policy *policy)
{
  return policy->queue.count;
}

uint32_t
service_policy_in_flight (const struct service_policy *policy)
{
  return policy->set.in_flight;
}
