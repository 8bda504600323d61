#include "policy/choice/placement_probe.h"

#include <math.h>

#include "policy/choice/placement.h"
#include "policy/choice/service_state.h"
#include "policy/choice/working_set.h"

enum
{
  PROBE_DIVISOR = 20,   /* a suspect gets a 20th of its fair share */
  PROBE_TOKENS_MAX = 2, /* maximum probe budget */
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
  /* Beyond the operator's share.  With 6 %, less than the share was in use at
     some moment in one of 20 simulated fleets (working_set_test), since it is
     taken of an expected number and other hosts' requests are known late. */
  UNREPEATABLE_MARGIN_PERCENT = 8,
  REPEATABLE_MARGIN_PERCENT = 12,
};

/* A lower failure rate is explained by random errors of healthy targets. */
static const double high_failure_share = 0.09;

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
bool
placement_try_probe (struct service_policy *policy,
                     const struct policy_request *r, struct policy_decision *d)
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
  *d = placement_send (policy, r, target, POLICY_REASON_TRICKLE);
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

/* Can a failure of this attempt of R be recovered by another attempt? */
static bool
can_be_retried (struct service_policy *policy, const struct policy_request *r)
{
  enum policy_reason reason;
  return r->repeatable && r->attempt == 1
         && service_state_attempts_max (policy, r) > 1
         && precedence_may_retry (policy, r, &reason);
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

/* Repeatable requests keep more targets in use than the operator wants, since
   a failure costs them a retry, while an unrepeatable one is lost. */
static bool
try_working_set (struct service_policy *policy, const struct policy_request *r,
                 struct policy_decision *d)
{
  const uint32_t percent = policy->options.used_percent;
  if (percent == 0 || (r->repeatable && !can_be_retried (policy, r)))
    return false;
  const uint32_t margin = r->repeatable ? REPEATABLE_MARGIN_PERCENT
                                        : UNREPEATABLE_MARGIN_PERCENT;
  const struct working_set_requirement requirement = {
    .percent = percent + margin < 100 ? percent + margin : 100,
    .host_seed = policy->options.seed,
  };
  const uint32_t target
      = working_set_find_due (&policy->set, &requirement, r, policy->now_us);
  if (target == POLICY_NO_TARGET)
    return false;
  *d = placement_send (policy, r, target, POLICY_REASON_WORKING_SET);
  return true;
}

/* Prevents a service from using only a few targets that responded last and
   finding no others when these fail too: without outcomes the others always
   look worse.  The symptom is that most healthy targets are idle while one
   request in ten fails.  The best unused targets get requests in turn until
   the share that the operator configured is in use; so do those for which
   this host is a backup. */
bool
placement_try_unused (struct service_policy *policy,
                      const struct policy_request *r,
                      struct policy_decision *d)
{
  const struct target_set *set = &policy->set;
  if (policy->options.modes.working_set)
    return try_working_set (policy, r, d);
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
  *d = placement_send (policy, r, best, POLICY_REASON_TRICKLE);
  return true;
}

/* A target with a rate limit gets what it allows, even if the others respond
   sooner: they would be chosen every time, and what this one can still take
   would be lost. */
bool
placement_try_rate_limited (struct service_policy *policy,
                            const struct policy_request *r,
                            struct policy_decision *d)
{
  const struct target_set *set = &policy->set;
  if (r->attempt > 1)
    return false;
  for (uint32_t t = 0; set->rate_limited > 0 && t < set->count; t++)
    if (set->targets[t].rate_millis > 0
        && set->targets[t].tier == TIER_HEALTHY)
      {
        *d = placement_send (policy, r, t, POLICY_REASON_TRICKLE);
        return true;
      }
  return false;
}
