#include "policy/choice/placement.h"

#include <math.h>

#include "policy/choice/chooser.h"
#include "policy/choice/service_state.h"

enum
{
  PROBE_DIVISOR = 20,   /* a suspect gets a 20th of its fair share */
  PROBE_TOKENS_MAX = 2, /* maximum probe budget */
  RETRY_AFTER_MAX_MS = 60000,
  /* In a smaller set, losing one host takes a quarter of all targets or
     more out of use, so the other hosts must use all of them. */
  SMALL_SUBSET_MIN_HOSTS = 5,
  /* Gives each target its turn within two seconds, including the delay of
     reports from other hosts. */
  UNUSED_US = 1500000,
  /* Leaves time for the host whose subset a target is in to use it and to
     report that. */
  UNUSED_BACKUP_US = 2500000,
  /* Repeatable requests keep five sixths of the targets beyond the
     operator's share in use. */
  SPREAD_NUMERATOR = 5,
  SPREAD_DENOMINATOR = 6,
  /* The expected wait may be wrong by this factor.  Requests that can't be
     served must be refused when they arrive, not when their time is over. */
  WAIT_MARGIN = 2,
};

/* A lower failure rate is explained by random errors of healthy targets. */
static const double high_failure_share = 0.09;

/* What waiting would mean for a request that joins the end of the queue. */
struct wait_estimate
{
  double wait_us;
  int64_t expires_us;
  bool fits;
};

double
service_state_mean_interval_us (const struct service_policy *policy)
{
  return service_rate_interval_us (&policy->rate, policy->now_us,
                                   policy->set.in_flight,
                                   policy->set.baseline.latency_us);
}

struct policy_decision
placement_refuse (const struct service_policy *policy,
                  const struct policy_request *r, enum policy_reason reason)
{
  struct policy_decision d = {
    .verdict = POLICY_REFUSE,
    .reason = reason,
    .target = POLICY_NO_TARGET,
    .request_id = r->id,
  };
  if (reason == POLICY_REASON_NO_TARGET)
    return d;
  const double wait_us
      = (policy->queue.count + 1) * service_state_mean_interval_us (policy);
  const double wait_ms = ceil (wait_us / 1000);
  d.expected_wait_us = (int64_t)wait_us;
  d.retry_after_ms = (uint32_t)fmin (fmax (wait_ms, 1), RETRY_AFTER_MAX_MS);
  return d;
}

static struct policy_decision
send_to (struct service_policy *policy, const struct policy_request *r,
         uint32_t target, enum policy_reason reason)
{
  target_set_acquire (&policy->set, policy->now_us, target);
  return (struct policy_decision){
    .verdict = POLICY_SEND,
    .reason = reason,
    .target = target,
    .request_id = r->id,
  };
}

static bool
try_tiers (struct service_policy *policy, const struct policy_request *r,
           unsigned tiers, struct policy_decision *d)
{
  const struct chooser_pick pick
      = chooser_choose (&policy->set, &policy->rng, tiers, r, policy->now_us);
  if (pick.target == POLICY_NO_TARGET)
    return false;
  *d = send_to (policy, r, pick.target,
                pick.is_only ? POLICY_REASON_ONLY_CHOICE
                             : POLICY_REASON_BEST_OF_TWO);
  return true;
}

/* Tiers of healthy targets.  If most targets are suspects, suspects are
   included. */
static unsigned
healthy_tiers (const struct service_policy *policy)
{
  return target_set_avoids_suspects (&policy->set)
             ? CHOOSE_HEALTHY
             : CHOOSE_HEALTHY | CHOOSE_SUSPECT;
}

static bool
try_healthy (struct service_policy *policy, const struct policy_request *r,
             struct policy_decision *d)
{
  return try_tiers (policy, r, healthy_tiers (policy), d)
         || try_tiers (policy, r, CHOOSE_WARMING, d);
}

/* Choose among targets that R already tried, once there is no other target. */
static bool
try_already_tried (struct service_policy *policy,
                   const struct policy_request *r, struct policy_decision *d)
{
  if (r->tried_count == 0)
    return false;
  struct policy_request untried = *r;
  untried.tried_count = 0;
  return try_healthy (policy, &untried, d);
}

/* Prevents sending an unrepeatable request to a target that fails, since
   the attempt couldn't be retried.  A target that is only slow is
   acceptable if waiting for another one would miss the deadline. */
static bool
is_acceptable_suspect (const struct service_policy *policy,
                       const struct policy_request *r,
                       const struct target_state *t,
                       const struct wait_estimate *estimate)
{
  const double remaining_us = (double)(r->deadline_us - policy->now_us);
  const double response_us = chooser_expected_response_us (&policy->set, t);
  if (!r->repeatable)
    return !estimate->fits && !t->failing && !t->avoided
           && 2 * response_us <= remaining_us;
  if (!estimate->fits)
    return response_us <= remaining_us;
  return response_us <= estimate->wait_us + policy->set.baseline.latency_us;
}

/* Send real work to suspects when no other target has a free slot. */
static bool
try_suspects (struct service_policy *policy, const struct policy_request *r,
              const struct wait_estimate *estimate, struct policy_decision *d)
{
  if (!target_set_avoids_suspects (&policy->set))
    return false;
  const struct chooser_pick pick = chooser_choose (
      &policy->set, &policy->rng, CHOOSE_SUSPECT, r, policy->now_us);
  if (pick.target == POLICY_NO_TARGET)
    return false;
  const struct target_state *t = &policy->set.targets[pick.target];
  if (!is_acceptable_suspect (policy, r, t, estimate))
    return false;
  *d = send_to (policy, r, pick.target,
                pick.is_only ? POLICY_REASON_ONLY_CHOICE
                             : POLICY_REASON_BEST_OF_TWO);
  return true;
}

/* The list of the subset; if that is empty, of the targets outside it. */
static const struct target_list *
subset_or_backup (const struct target_set *set, enum target_tier tier)
{
  const struct target_list *own = &set->tiers[tier][PART_SUBSET];
  return own->count > 0 ? own : &set->tiers[tier][PART_BACKUP];
}

/* A random choice among suspects and idle targets.  POLICY_NO_TARGET if a
   suspect with open attempts is drawn, or no target is found. */
static uint32_t
draw_probe_target (struct service_policy *policy, uint32_t suspects,
                   uint32_t idle)
{
  const struct target_set *set = &policy->set;
  const uint64_t n = rng_below (&policy->rng, suspects + idle);
  if (n >= suspects)
    return target_set_idle (set, policy->now_us, (uint32_t)n - suspects);
  const struct target_list *list = subset_or_backup (set, TIER_SUSPECT);
  const uint32_t target = list->numbers[n];
  return set->targets[target].in_flight > 0 ? POLICY_NO_TARGET : target;
}

/* Probes suspects with a limited number of repeatable requests to find out
 * whether they have recovered.  A suspect that gets no requests could never be
 * cleared.
 *
 * It also probes idle targets.  A target that starts to fail while it is
 * slightly slower than the others, or while most are suspects, is never
 * chosen, so the failures would go unnoticed. */
static bool
try_probe (struct service_policy *policy, const struct policy_request *r,
           struct policy_decision *d)
{
  const struct target_set *set = &policy->set;
  const bool avoids = target_set_avoids_suspects (set);
  const uint32_t probe_count = (avoids ? set->suspects : 0) + set->idle;
  if (!r->repeatable || r->attempt > 1 || probe_count == 0)
    return false;
  policy->probe_tokens += (double)probe_count / set->eligible / PROBE_DIVISOR;
  policy->probe_tokens = fmin (policy->probe_tokens, PROBE_TOKENS_MAX);
  if (policy->probe_tokens < 1)
    return false;
  const uint32_t suspects
      = avoids ? subset_or_backup (set, TIER_SUSPECT)->count : 0;
  if (suspects + set->idle == 0)
    return false;
  const uint32_t target = draw_probe_target (policy, suspects, set->idle);
  if (target == POLICY_NO_TARGET)
    return false;
  policy->probe_tokens -= 1;
  *d = send_to (policy, r, target, POLICY_REASON_TRICKLE);
  return true;
}

/** How many targets should be in use, and which. */
struct use_requirement
{
  uint32_t percent;         /**< 0: no requirement */
  bool all;                 /**< of all targets, not just the subset */
  int64_t backup_unused_us; /**< until one outside the subset is unused */
};

/* Is T the better choice: unused for long enough, with a free slot, and
   less likely unhealthy? */
static bool
is_better_unused (const struct service_policy *policy,
                  const struct policy_request *r,
                  const struct use_requirement *required, uint32_t t,
                  uint32_t best)
{
  const struct target_set *set = &policy->set;
  const struct target_state *state = &set->targets[t];
  const bool is_backup = state->config.is_backup
                         && !target_state_needs_backup (state, policy->now_us);
  const int64_t unused_us = is_backup ? required->backup_unused_us : UNUSED_US;
  if (state->tier == TIER_NONE || (is_backup && !required->all)
      || state->last_used_us >= policy->now_us - unused_us)
    return false;
  for (uint32_t i = 0; i < r->tried_count; i++)
    if (r->tried[i] == t)
      return false;
  return best == POLICY_NO_TARGET
         || state->p_unhealthy < set->targets[best].p_unhealthy;
}

/* Is a subset such a small part of all targets that enough of them remain
   in use by the other hosts when one host of the set is lost? */
static bool
subsets_are_small (const struct service_policy *policy)
{
  const uint32_t hosts = policy->options.set_hosts;
  return hosts >= SMALL_SUBSET_MIN_HOSTS
         && (hosts - 1) * 100 / hosts > policy->options.used_percent;
}

/* The percentage of each subset needed for PERCENT of all targets to be in
   use when one host of the set is lost. */
static uint32_t
percent_of_subset (const struct service_policy *policy, uint32_t percent)
{
  const uint32_t hosts = policy->options.set_hosts;
  const uint32_t required = (percent * hosts + hosts - 2) / (hosts - 1);
  return required < 100 ? required : 100;
}

uint32_t
service_state_attempts_max (const struct service_policy *policy,
                            const struct policy_request *r)
{
  return r->attempts_max > 0 ? r->attempts_max : policy->options.attempts;
}

/* Can a failure of this attempt of R be recovered by another attempt? */
static bool
can_be_retried (struct service_policy *policy, const struct policy_request *r)
{
  return r->repeatable && r->attempt == 1
         && service_state_attempts_max (policy, r) > 1
         && retry_budget_is_available (
             &policy->budget, &policy->options.retries, policy->now_us);
}

static struct use_requirement
require_percent (const struct service_policy *policy, uint32_t percent)
{
  const bool all = !subsets_are_small (policy);
  return (struct use_requirement){
    .percent = all ? percent : percent_of_subset (policy, percent),
    .all = all,
    .backup_unused_us = UNUSED_US,
  };
}

/* The share of targets that must be in use for R not to choose an unused one.
 *
 * Prevents targets from staying idle while the hosts see no failures.  When
 * many hosts lose power, the requests in flight at the other targets fail, and
 * no host is left to spread the load afterwards.  So the share is kept at all
 * times, not only while many requests fail.  An unrepeatable request that is
 * sent to an unhealthy target is lost, so such requests keep just the share
 * that the operator configured.  A repeatable request only costs a retry, so
 * those keep nearly all targets in use.  While many requests fail, the share
 * grows by at least half of the remaining targets: some of the used ones are
 * unhealthy, and the share is meant to consist of healthy ones.
 *
 * In a large set each host is responsible for its subset, so that a target
 * is probed once rather than by every host.  In a small set the loss of one
 * host would leave too many targets idle, so every host uses all of them;
 * while few requests fail, it probes those in other hosts' subsets later. */
static struct use_requirement
required_use (struct service_policy *policy, const struct policy_request *r)
{
  const uint32_t percent = policy->options.used_percent;
  if (percent == 0)
    return (struct use_requirement){ 0 };
  const uint32_t remainder = 100 - percent;
  const uint32_t spread
      = percent + remainder * SPREAD_NUMERATOR / SPREAD_DENOMINATOR;
  const bool fails_often
      = unserved_share_value (&policy->set.unserved, policy->options.set_hosts)
        >= high_failure_share;
  if (can_be_retried (policy, r))
    {
      struct use_requirement required = require_percent (policy, spread);
      if (!fails_often)
        required.backup_unused_us = UNUSED_BACKUP_US;
      return required;
    }
  if (fails_often)
    return require_percent (policy, percent + remainder / 2);
  if (r->repeatable)
    return (struct use_requirement){ 0 };
  return (struct use_requirement){ .percent = percent,
                                   .all = !subsets_are_small (policy),
                                   .backup_unused_us = UNUSED_US };
}

static bool
is_below_requirement (const struct service_policy *policy,
                      const struct use_requirement *required)
{
  if (required->percent == 0)
    return false;
  const struct target_use use = target_set_count_used (
      &policy->set, policy->now_us - UNUSED_US, required->all);
  return use.used < (use.eligible * required->percent + 99) / 100;
}

/* Prevents a service from using only a few targets that responded last and
   finding no others when these fail too: without outcomes the others always
   look worse.  The symptom is that most healthy targets are idle while one
   request in ten fails.  The best unused targets get requests in turn until
   the share that the operator configured is in use; so do those for which
   this host is a backup. */
static bool
try_unused (struct service_policy *policy, const struct policy_request *r,
            struct policy_decision *d)
{
  const struct target_set *set = &policy->set;
  const struct use_requirement required = required_use (policy, r);
  const bool needs_backup
      = required.percent > 0 && target_set_needs_backup (set, policy->now_us);
  const bool too_few = is_below_requirement (policy, &required);
  if (!too_few && !needs_backup)
    return false;
  uint32_t best = POLICY_NO_TARGET;
  for (uint32_t t = 0; t < set->count; t++)
    if ((too_few
         || target_state_needs_backup (&set->targets[t], policy->now_us))
        && is_better_unused (policy, r, &required, t, best))
      best = t;
  if (best == POLICY_NO_TARGET)
    return false;
  *d = send_to (policy, r, best, POLICY_REASON_TRICKLE);
  return true;
}

/* A target with a rate limit gets what it allows, even if the others respond
   sooner: they would be chosen every time, and what this one can still take
   would be lost. */
static bool
try_rate_limited (struct service_policy *policy,
                  const struct policy_request *r, struct policy_decision *d)
{
  const struct target_set *set = &policy->set;
  if (r->attempt > 1)
    return false;
  for (uint32_t t = 0; set->rate_limited > 0 && t < set->count; t++)
    if (set->targets[t].rate_millis > 0
        && set->targets[t].tier == TIER_HEALTHY)
      {
        *d = send_to (policy, r, t, POLICY_REASON_TRICKLE);
        return true;
      }
  return false;
}

static struct wait_estimate
estimate_wait (const struct service_policy *policy,
               const struct policy_request *r)
{
  const double remaining_us = (double)(r->deadline_us - policy->now_us);
  const double wait_us
      = (policy->queue.count + 1) * service_state_mean_interval_us (policy);
  /* Reserve at most half of the time for the response.  With a wrong
     estimate all requests would be refused, so it would never be corrected. */
  const double response_us
      = fmin (policy->set.baseline.latency_us, remaining_us / 2);
  return (struct wait_estimate){
    .wait_us = wait_us,
    .expires_us = r->deadline_us - (int64_t)response_us,
    .fits = wait_us * WAIT_MARGIN <= remaining_us - response_us
            && wait_queue_has_space (&policy->queue, r->queued_bytes),
  };
}

/* Is a slot free that a new request might use?  The requests queued before it
   may be held back from such a slot. */
static bool
has_healthy_slot (const struct service_policy *policy)
{
  return target_set_available (&policy->set, TIER_HEALTHY) > 0
         || target_set_available (&policy->set, TIER_WARMING) > 0;
}

static struct policy_decision
wait_or_refuse (struct service_policy *policy, const struct policy_request *r,
                const struct wait_estimate *estimate)
{
  if (!wait_queue_has_space (&policy->queue, r->queued_bytes))
    return placement_refuse (policy, r, POLICY_REASON_QUEUE_FULL);
  if (!estimate->fits)
    return placement_refuse (policy, r, POLICY_REASON_TOO_LATE);
  const int64_t remaining_us = estimate->expires_us - policy->now_us;
  wait_queue_push (&policy->queue, r, estimate->expires_us,
                   policy->now_us + remaining_us / 2);
  if (has_healthy_slot (policy))
    policy->polled_us = INT64_MIN;
  const bool avoids = !r->repeatable
                      && target_set_avoids_suspects (&policy->set)
                      && target_set_available (&policy->set, TIER_SUSPECT) > 0;
  return (struct policy_decision){
    .verdict = POLICY_QUEUE,
    .reason
    = avoids ? POLICY_REASON_WAIT_FOR_GOOD : POLICY_REASON_NO_FREE_SLOT,
    .target = POLICY_NO_TARGET,
    .request_id = r->id,
    .expected_wait_us = (int64_t)estimate->wait_us,
  };
}

struct policy_decision
placement_admit (struct service_policy *policy, const struct policy_request *r)
{
  struct policy_decision d;
  if (try_probe (policy, r, &d))
    return d;
  if (try_unused (policy, r, &d))
    return d;
  const bool is_first = policy->queue.count == 0;
  if (is_first && try_rate_limited (policy, r, &d))
    return d;
  if (is_first && try_healthy (policy, r, &d))
    return d;
  const struct wait_estimate estimate = estimate_wait (policy, r);
  if (try_suspects (policy, r, &estimate, &d))
    return d;
  const bool no_other = !estimate.fits || chooser_all_tried (&policy->set, r);
  if (is_first && no_other && try_already_tried (policy, r, &d))
    return d;
  return wait_or_refuse (policy, r, &estimate);
}

bool
placement_failover (struct service_policy *policy,
                    const struct policy_request *r, struct policy_decision *d)
{
  return policy->queue.count == 0 && try_healthy (policy, r, d);
}

/* A retry waits half of its time for another target than the one that just
   failed, unless there is none. */
static bool
may_reuse_tried (const struct service_policy *policy,
                 const struct wait_entry *e)
{
  return policy->now_us >= e->reuse_tried_us
         || chooser_all_tried (&policy->set, &e->request);
}

bool
placement_send_queued (struct service_policy *policy,
                       const struct wait_entry *e, struct policy_decision *d)
{
  const struct wait_estimate estimate = {
    .wait_us = service_state_mean_interval_us (policy),
    .expires_us = e->expires_us,
    .fits = true,
  };
  return try_healthy (policy, &e->request, d)
         || try_suspects (policy, &e->request, &estimate, d)
         || (may_reuse_tried (policy, e)
             && try_already_tried (policy, &e->request, d));
}
