#include "policy/choice/placement.h"

#include <math.h>

#include "policy/choice/chooser.h"
#include "policy/choice/service_state.h"

enum
{
  TRICKLE_DIVISOR = 20, /* a suspect gets a 20th of its fair share */
  TRICKLE_MOST = 2,     /* chances kept for later */
  RETRY_AFTER_MOST_MS = 60000,
  /* With fewer hosts in a set, one that is lost takes a quarter of all targets
     or more out of use, and the others must know all of them. */
  SUBSETS_LEAST = 5,
  /* Within two seconds each gets its turn, whatever the way of news takes. */
  UNUSED_US = 1500000,
  /* Leaves time to the host whose subset a target is in, to use it and to
     tell. */
  UNUSED_ELSEWHERE_US = 2500000,
  /* Of the rest beyond the operator's share, requests that may be tried again
     keep five sixths in use. */
  SPREAD_WANTED = 5,
  SPREAD_PARTS = 6,
};

/* Below it, what fails is no more than random errors of good targets. */
static const double failing_much = 0.09;

/* What waiting would mean for a request that joins the queue's end. */
struct wait_outlook
{
  double wait_us;
  int64_t give_up_us;
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
  d.retry_after_ms = (uint32_t)fmin (fmax (wait_ms, 1), RETRY_AFTER_MOST_MS);
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

/* Targets in good standing; when most look bad, standing says nothing. */
static unsigned
good_tiers (const struct service_policy *policy)
{
  return target_set_avoids_suspects (&policy->set)
             ? CHOOSE_HEALTHY
             : CHOOSE_HEALTHY | CHOOSE_SUSPECT;
}

static bool
try_good (struct service_policy *policy, const struct policy_request *r,
          struct policy_decision *d)
{
  return try_tiers (policy, r, good_tiers (policy), d)
         || try_tiers (policy, r, CHOOSE_WARMING, d);
}

/* Targets tried before, once nothing else is left to R. */
static bool
try_again (struct service_policy *policy, const struct policy_request *r,
           struct policy_decision *d)
{
  if (r->tried_count == 0)
    return false;
  struct policy_request fresh = *r;
  fresh.tried_count = 0;
  return try_good (policy, &fresh, d);
}

/* Guards an unrepeatable request against a target that fails: its attempt
 * there could not be made good.  One that is only slow will do when waiting
 * for another would break the deadline. */
static bool
is_worth_it (const struct service_policy *policy,
             const struct policy_request *r, const struct target_state *t,
             const struct wait_outlook *outlook)
{
  const double left_us = (double)(r->deadline_us - policy->now_us);
  const double answer_us = chooser_expected_response_us (&policy->set, t);
  if (!r->repeatable)
    return !outlook->fits && !t->failing && !t->avoided
           && 2 * answer_us <= left_us;
  if (!outlook->fits)
    return answer_us <= left_us;
  return answer_us <= outlook->wait_us + policy->set.baseline.latency_us;
}

/* Real work for suspects when the others have no room. */
static bool
try_suspects (struct service_policy *policy, const struct policy_request *r,
              const struct wait_outlook *outlook, struct policy_decision *d)
{
  if (!target_set_avoids_suspects (&policy->set))
    return false;
  const struct chooser_pick pick = chooser_choose (
      &policy->set, &policy->rng, CHOOSE_SUSPECT, r, policy->now_us);
  if (pick.target == POLICY_NO_TARGET)
    return false;
  const struct target_state *t = &policy->set.targets[pick.target];
  if (!is_worth_it (policy, r, t, outlook))
    return false;
  *d = send_to (policy, r, pick.target,
                pick.is_only ? POLICY_REASON_ONLY_CHOICE
                             : POLICY_REASON_BEST_OF_TWO);
  return true;
}

/* Those of the subset; where there is none, those outside it. */
static const struct target_list *
own_first (const struct target_set *set, enum target_tier tier)
{
  const struct target_list *own = &set->tiers[tier][PART_SUBSET];
  return own->count > 0 ? own : &set->tiers[tier][PART_BACKUP];
}

/* A suspect without attempts under way, one of those that nobody used for
   long, or POLICY_NO_TARGET. */
static uint32_t
draw_untested (struct service_policy *policy, uint32_t suspects,
               uint32_t neglected)
{
  const struct target_set *set = &policy->set;
  const uint64_t n = rng_below (&policy->rng, suspects + neglected);
  if (n >= suspects)
    return target_set_idle (set, policy->now_us, (uint32_t)n - suspects);
  const struct target_list *listed = own_first (set, TIER_SUSPECT);
  const uint32_t target = listed->numbers[n];
  return set->targets[target].in_flight > 0 ? POLICY_NO_TARGET : target;
}

/* A bounded trickle of repeatable requests shows whether a suspect is good
 * again; without it, one that gets no work could never clear itself.
 *
 * Guards as well against a target that starts to fail while it is a little
 * slower than the others, or while most are suspects: nobody chooses it, so
 * nobody would notice. */
static bool
try_trickle (struct service_policy *policy, const struct policy_request *r,
             struct policy_decision *d)
{
  const struct target_set *set = &policy->set;
  const bool avoids = target_set_avoids_suspects (set);
  const uint32_t untested = (avoids ? set->suspects : 0) + set->idle;
  if (!r->repeatable || r->attempt > 1 || untested == 0)
    return false;
  policy->probe_tokens += (double)untested / set->eligible / TRICKLE_DIVISOR;
  policy->probe_tokens = fmin (policy->probe_tokens, TRICKLE_MOST);
  if (policy->probe_tokens < 1)
    return false;
  const uint32_t suspects = avoids ? own_first (set, TIER_SUSPECT)->count : 0;
  if (suspects + set->idle == 0)
    return false;
  const uint32_t target = draw_untested (policy, suspects, set->idle);
  if (target == POLICY_NO_TARGET)
    return false;
  policy->probe_tokens -= 1;
  *d = send_to (policy, r, target, POLICY_REASON_TRICKLE);
  return true;
}

/** How many targets are to be in use, and of which. */
struct wanted_use
{
  uint32_t percent;     /**< 0: any number will do */
  bool all;             /**< of all targets, not of the subset */
  int64_t elsewhere_us; /**< after which one outside the subset is unused */
};

/* Is T the better chance: unused for long, with room, and cheaper? */
static bool
is_better_chance (const struct service_policy *policy,
                  const struct policy_request *r,
                  const struct wanted_use *wanted, uint32_t t, uint32_t than)
{
  const struct target_set *set = &policy->set;
  const struct target_state *state = &set->targets[t];
  const bool is_elsewhere
      = state->config.is_backup
        && !target_state_needs_backup (state, policy->now_us);
  const int64_t unused_us = is_elsewhere ? wanted->elsewhere_us : UNUSED_US;
  if (state->tier == TIER_NONE || (is_elsewhere && !wanted->all)
      || state->last_used_us >= policy->now_us - unused_us)
    return false;
  for (uint32_t i = 0; i < r->tried_count; i++)
    if (r->tried[i] == t)
      return false;
  return than == POLICY_NO_TARGET
         || state->p_unhealthy < set->targets[than].p_unhealthy;
}

/* Is a subset so small a part of all targets that the others' subsets are
   enough in use when one host of the set is lost? */
static bool
subsets_are_small (const struct service_policy *policy)
{
  const uint32_t hosts = policy->options.set_hosts;
  return hosts >= SUBSETS_LEAST
         && (hosts - 1) * 100 / hosts > policy->options.used_percent;
}

/* The share that is wanted of each subset so that PERCENT of all targets are
   in use with one host of the set lost. */
static uint32_t
percent_of_subset (const struct service_policy *policy, uint32_t percent)
{
  const uint32_t hosts = policy->options.set_hosts;
  const uint32_t wanted = (percent * hosts + hosts - 2) / (hosts - 1);
  return wanted < 100 ? wanted : 100;
}

uint32_t
service_state_attempts_max (const struct service_policy *policy,
                            const struct policy_request *r)
{
  return r->attempts_max > 0 ? r->attempts_max : policy->options.attempts;
}

/* Is a failure of this attempt of R made good by another one? */
static bool
can_fail_once (struct service_policy *policy, const struct policy_request *r)
{
  return r->repeatable && r->attempt == 1
         && service_state_attempts_max (policy, r) > 1
         && retry_budget_is_available (
             &policy->budget, &policy->options.retries, policy->now_us);
}

static struct wanted_use
wanted_percent (const struct service_policy *policy, uint32_t percent)
{
  const bool all = !subsets_are_small (policy);
  return (struct wanted_use){
    .percent = all ? percent : percent_of_subset (policy, percent),
    .all = all,
    .elsewhere_us = UNUSED_US,
  };
}

/* How many targets must be in use, for R not to look for an unused one.

   Guards against targets that stay idle while the hosts believe that all is
   well: a loss of power of many hosts fails what was under way at the others,
   and lets nobody spread the load after it.  So the share is kept at all
   times, and not only while much fails.  What may run once pays for each visit
   to an ill target with a request, and keeps the share that the operator
   wants.  What may be tried again pays with a retry, and keeps nearly all in
   use.  While much fails, half of the rest is wanted at least: some of those
   that are used are ill, and the share is wanted of the good ones.

   Each host of a large set sees to its subset, so that a target is owed one
   visit and not one by each host.  In a set of few hosts the loss of one would
   leave too many targets idle, and every host sees to all of them; while
   little fails, to those of the others' subsets later. */
static struct wanted_use
wanted_in_use (struct service_policy *policy, const struct policy_request *r)
{
  const uint32_t percent = policy->options.used_percent;
  if (percent == 0)
    return (struct wanted_use){ 0 };
  const uint32_t rest = 100 - percent;
  const uint32_t spread = percent + rest * SPREAD_WANTED / SPREAD_PARTS;
  const bool fails_much
      = unserved_share_value (&policy->set.unserved, policy->options.set_hosts)
        >= failing_much;
  if (can_fail_once (policy, r))
    {
      struct wanted_use wanted = wanted_percent (policy, spread);
      if (!fails_much)
        wanted.elsewhere_us = UNUSED_ELSEWHERE_US;
      return wanted;
    }
  if (fails_much)
    return wanted_percent (policy, percent + rest / 2);
  if (r->repeatable)
    return (struct wanted_use){ 0 };
  return (struct wanted_use){ .percent = percent,
                              .all = !subsets_are_small (policy),
                              .elsewhere_us = UNUSED_US };
}

static bool
are_too_few_used (const struct service_policy *policy,
                  const struct wanted_use *wanted)
{
  if (wanted->percent == 0)
    return false;
  const struct target_use use = target_set_count_used (
      &policy->set, policy->now_us - UNUSED_US, wanted->all);
  return use.used < (use.eligible * wanted->percent + 99) / 100;
}

/* Guards against a service that lives on a few targets which answered last
   and finds no others while these fail as well: all others look worse, since
   nothing is heard of them.  Shows as most good targets idle while one request
   in ten fails.  Then the best of the unused ones get work in turn, until the
   share that the operator wants is in use; and so do those that this host
   covers for another one. */
static bool
try_unused (struct service_policy *policy, const struct policy_request *r,
            struct policy_decision *d)
{
  const struct target_set *set = &policy->set;
  const struct wanted_use wanted = wanted_in_use (policy, r);
  const bool needs_cover
      = wanted.percent > 0 && target_set_needs_backup (set, policy->now_us);
  const bool too_few = are_too_few_used (policy, &wanted);
  if (!too_few && !needs_cover)
    return false;
  uint32_t best = POLICY_NO_TARGET;
  for (uint32_t t = 0; t < set->count; t++)
    if ((too_few
         || target_state_needs_backup (&set->targets[t], policy->now_us))
        && is_better_chance (policy, r, &wanted, t, best))
      best = t;
  if (best == POLICY_NO_TARGET)
    return false;
  *d = send_to (policy, r, best, POLICY_REASON_TRICKLE);
  return true;
}

static struct wait_outlook
outlook_of (const struct service_policy *policy,
            const struct policy_request *r)
{
  const double left_us = (double)(r->deadline_us - policy->now_us);
  const double wait_us
      = (policy->queue.count + 1) * service_state_mean_interval_us (policy);
  /* At most half the time is kept for the answer: an estimate gone wrong
   * must not refuse everything and so never be corrected. */
  const double answer_us = fmin (policy->set.baseline.latency_us, left_us / 2);
  return (struct wait_outlook){
    .wait_us = wait_us,
    .give_up_us = r->deadline_us - (int64_t)answer_us,
    .fits = wait_us <= left_us - answer_us
            && wait_queue_has_room (&policy->queue, r->queued_bytes),
  };
}

/* Those who wait may be held back from the free slots; R may be not. */
static bool
has_free_good_slot (const struct service_policy *policy)
{
  return target_set_available (&policy->set, TIER_HEALTHY) > 0
         || target_set_available (&policy->set, TIER_WARMING) > 0;
}

static struct policy_decision
wait_or_refuse (struct service_policy *policy, const struct policy_request *r,
                const struct wait_outlook *outlook)
{
  if (!wait_queue_has_room (&policy->queue, r->queued_bytes))
    return placement_refuse (policy, r, POLICY_REASON_QUEUE_FULL);
  if (!outlook->fits)
    return placement_refuse (policy, r, POLICY_REASON_TOO_LATE);
  const int64_t left_us = outlook->give_up_us - policy->now_us;
  wait_queue_push (&policy->queue, r, outlook->give_up_us,
                   policy->now_us + left_us / 2);
  if (has_free_good_slot (policy))
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
    .expected_wait_us = (int64_t)outlook->wait_us,
  };
}

struct policy_decision
placement_admit (struct service_policy *policy, const struct policy_request *r)
{
  struct policy_decision d;
  if (try_trickle (policy, r, &d))
    return d;
  if (try_unused (policy, r, &d))
    return d;
  const bool may_pass = policy->queue.count == 0;
  if (may_pass && try_good (policy, r, &d))
    return d;
  const struct wait_outlook outlook = outlook_of (policy, r);
  if (try_suspects (policy, r, &outlook, &d))
    return d;
  const bool no_other = !outlook.fits || chooser_all_tried (&policy->set, r);
  if (may_pass && no_other && try_again (policy, r, &d))
    return d;
  return wait_or_refuse (policy, r, &outlook);
}

bool
placement_failover (struct service_policy *policy,
                    const struct policy_request *r, struct policy_decision *d)
{
  return policy->queue.count == 0 && try_good (policy, r, d);
}

/* Guards a retry against the target that just failed it: for half of its time
 * it waits for another, unless there is none. */
static bool
may_try_again (const struct service_policy *policy, const struct wait_entry *e)
{
  return policy->now_us >= e->reuse_tried_us
         || chooser_all_tried (&policy->set, &e->request);
}

bool
placement_send_queued (struct service_policy *policy,
                       const struct wait_entry *e, struct policy_decision *d)
{
  const struct wait_outlook outlook = {
    .wait_us = service_state_mean_interval_us (policy),
    .give_up_us = e->expires_us,
    .fits = true,
  };
  return try_good (policy, &e->request, d)
         || try_suspects (policy, &e->request, &outlook, d)
         || (may_try_again (policy, e) && try_again (policy, &e->request, d));
}
