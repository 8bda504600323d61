#include "policy/service_policy.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>

#include "base/rng.h"
#include "base/xmalloc.h"
#include "policy/choice/attempt_rules.h"
#include "policy/choice/chooser.h"
#include "policy/choice/retry_budget.h"
#include "policy/choice/service_rate.h"
#include "policy/choice/target_set.h"
#include "policy/choice/wait_queue.h"

enum
{
  TRICKLE_DIVISOR = 20, /* a suspect gets a 20th of its fair share */
  TRICKLE_MOST = 2,     /* chances kept for later */
  POLL_US = 20000,      /* a suspect may clear, or become worth its cost */
  LOOK_PAST = 4,        /* entries held back for another target */
  RETRY_AFTER_MOST_MS = 60000,
};

struct service_policy
{
  struct service_policy_options options;
  struct rng rng;
  struct target_set set;
  struct wait_queue queue;
  struct service_rate rate;
  struct retry_budget budget;
  double trickle;
  int64_t now_us;   /* of the last event */
  int64_t asked_us; /* when nothing queued could be decided, until an event
                       that may change that; INT64_MIN: ask */
};

/* What waiting would mean for a request that joins the queue's end. */
struct wait_outlook
{
  double wait_us;
  int64_t give_up_us;
  bool fits;
};

const char *
policy_reason_name (enum policy_reason reason)
{
  static const char *const names[] = {
    [POLICY_REASON_BEST_OF_TWO] = "best-of-two",
    [POLICY_REASON_ONLY_CHOICE] = "only-choice",
    [POLICY_REASON_TRICKLE] = "trickle",
    [POLICY_REASON_NO_FREE_SLOT] = "no-free-slot",
    [POLICY_REASON_WAIT_FOR_GOOD] = "wait-for-good",
    [POLICY_REASON_QUEUE_FULL] = "queue-full",
    [POLICY_REASON_TOO_LATE] = "too-late",
    [POLICY_REASON_NO_TARGET] = "no-target",
    [POLICY_REASON_RETRY_BUDGET] = "retry-budget",
    [POLICY_REASON_ATTEMPTS] = "attempts",
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
  policy->asked_us = INT64_MIN;
  service_policy_configure (policy, options);
  return policy;
}

void
service_policy_destroy (struct service_policy *policy)
{
  if (policy == NULL)
    return;
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
  wait_queue_bound (&policy->queue, options->queue_requests,
                    options->queue_bytes);
}

void
service_policy_set_targets (struct service_policy *policy, int64_t now_us,
                            const struct policy_target *targets, size_t count)
{
  policy->now_us = now_us;
  policy->asked_us = INT64_MIN;
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
  policy->asked_us = INT64_MIN;
  if (target < policy->set.count)
    target_set_eject (&policy->set, now_us, target, ejected);
}

static double
interval_us (const struct service_policy *policy)
{
  return service_rate_interval_us (&policy->rate, policy->now_us,
                                   policy->set.in_flight,
                                   policy->set.baseline.latency_us);
}

static struct policy_decision
refuse (const struct service_policy *policy, const struct policy_request *r,
        enum policy_reason reason)
{
  struct policy_decision d = {
    .verdict = POLICY_REFUSE,
    .reason = reason,
    .target = POLICY_NO_TARGET,
    .request_id = r->id,
  };
  if (reason == POLICY_REASON_NO_TARGET)
    return d;
  const double wait_us = (policy->queue.count + 1) * interval_us (policy);
  const double wait_ms = ceil (wait_us / 1000);
  d.expected_wait_us = (int64_t)wait_us;
  d.retry_after_ms = (uint32_t)fmin (fmax (wait_ms, 1), RETRY_AFTER_MOST_MS);
  return d;
}

static struct policy_decision
send_to (struct service_policy *policy, const struct policy_request *r,
         uint32_t target, enum policy_reason reason)
{
  target_set_take (&policy->set, policy->now_us, target);
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
                pick.only ? POLICY_REASON_ONLY_CHOICE
                          : POLICY_REASON_BEST_OF_TWO);
  return true;
}

/* Targets in good standing; when most look bad, standing says nothing. */
static unsigned
good_tiers (const struct service_policy *policy)
{
  return target_set_avoids_suspects (&policy->set)
             ? CHOOSE_CLEAR
             : CHOOSE_CLEAR | CHOOSE_SUSPECT;
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
  const double answer_us = chooser_answer_us (&policy->set, t);
  if (!r->repeatable)
    return !outlook->fits && !t->failing && 2 * answer_us <= left_us;
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
                pick.only ? POLICY_REASON_ONLY_CHOICE
                          : POLICY_REASON_BEST_OF_TWO);
  return true;
}

/* A bounded trickle of repeatable requests shows whether a suspect is good
 * again; without it, one that gets no work could never clear itself. */
static bool
try_trickle (struct service_policy *policy, const struct policy_request *r,
             struct policy_decision *d)
{
  const struct target_set *set = &policy->set;
  if (!r->repeatable || r->attempt > 1 || set->suspects == 0
      || !target_set_avoids_suspects (set))
    return false;
  policy->trickle += (double)set->suspects / set->eligible / TRICKLE_DIVISOR;
  policy->trickle = fmin (policy->trickle, TRICKLE_MOST);
  if (policy->trickle < 1 || set->listed_count[TIER_SUSPECT] == 0)
    return false;
  const uint32_t n
      = (uint32_t)rng_below (&policy->rng, set->listed_count[TIER_SUSPECT]);
  const uint32_t target = set->listed[TIER_SUSPECT][n];
  if (set->targets[target].in_flight > 0)
    return false;
  policy->trickle -= 1;
  *d = send_to (policy, r, target, POLICY_REASON_TRICKLE);
  return true;
}

static struct wait_outlook
outlook_of (const struct service_policy *policy,
            const struct policy_request *r)
{
  const double left_us = (double)(r->deadline_us - policy->now_us);
  const double wait_us = (policy->queue.count + 1) * interval_us (policy);
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
  return policy->set.listed_count[TIER_CLEAR] > 0
         || policy->set.listed_count[TIER_WARMING] > 0;
}

static struct policy_decision
wait_or_refuse (struct service_policy *policy, const struct policy_request *r,
                const struct wait_outlook *outlook)
{
  if (!wait_queue_has_room (&policy->queue, r->queued_bytes))
    return refuse (policy, r, POLICY_REASON_QUEUE_FULL);
  if (!outlook->fits)
    return refuse (policy, r, POLICY_REASON_TOO_LATE);
  const int64_t left_us = outlook->give_up_us - policy->now_us;
  wait_queue_push (&policy->queue, r, outlook->give_up_us,
                   policy->now_us + left_us / 2);
  if (has_free_good_slot (policy))
    policy->asked_us = INT64_MIN;
  const bool avoids = !r->repeatable
                      && target_set_avoids_suspects (&policy->set)
                      && policy->set.listed_count[TIER_SUSPECT] > 0;
  return (struct policy_decision){
    .verdict = POLICY_QUEUE,
    .reason
    = avoids ? POLICY_REASON_WAIT_FOR_GOOD : POLICY_REASON_NO_FREE_SLOT,
    .target = POLICY_NO_TARGET,
    .request_id = r->id,
    .expected_wait_us = (int64_t)outlook->wait_us,
  };
}

static struct policy_decision
place_request (struct service_policy *policy, const struct policy_request *r)
{
  struct policy_decision d;
  if (try_trickle (policy, r, &d))
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

struct policy_decision
service_policy_admit (struct service_policy *policy, int64_t now_us,
                      const struct policy_request *r)
{
  policy->now_us = now_us;
  target_set_refresh (&policy->set, now_us);
  if (r->attempt <= 1)
    retry_budget_request (&policy->budget, now_us);
  if (policy->set.eligible == 0)
    return refuse (policy, r, POLICY_REASON_NO_TARGET);
  if (r->deadline_us <= now_us)
    return refuse (policy, r, POLICY_REASON_TOO_LATE);
  if (r->attempt > 1 && r->attempt > policy->options.attempts)
    return refuse (policy, r, POLICY_REASON_ATTEMPTS);
  if (r->attempt > 1
      && !retry_budget_take (&policy->budget, now_us,
                             policy->options.retry_percent))
    return refuse (policy, r, POLICY_REASON_RETRY_BUDGET);
  return place_request (policy, r);
}

void
service_policy_outcome (struct service_policy *policy, int64_t now_us,
                        const struct policy_outcome *outcome)
{
  policy->now_us = now_us;
  policy->asked_us = INT64_MIN;
  if (outcome->target >= policy->set.count)
    return;
  target_set_release (&policy->set, now_us, outcome);
  target_set_refresh (&policy->set, now_us);
  service_rate_end (&policy->rate, now_us, policy->queue.count > 0);
}

/* Entry E of the queue can't be served: answer it now. */
static struct policy_decision
give_up (struct service_policy *policy, uint32_t e, enum policy_reason reason)
{
  const struct policy_request r = policy->queue.entries[e].request;
  wait_queue_remove (&policy->queue, e);
  return refuse (policy, &r, reason);
}

/* Guards a retry against the target that just failed it: for half of its time
 * it waits for another, unless there is none. */
static bool
may_try_again (const struct service_policy *policy, const struct wait_entry *e)
{
  return policy->now_us >= e->again_us
         || chooser_all_tried (&policy->set, &e->request);
}

static bool
try_entry (struct service_policy *policy, const struct wait_entry *e,
           struct policy_decision *d)
{
  const struct wait_outlook outlook = {
    .wait_us = interval_us (policy),
    .give_up_us = e->give_up_us,
    .fits = true,
  };
  return try_good (policy, &e->request, d)
         || try_suspects (policy, &e->request, &outlook, d)
         || (may_try_again (policy, e) && try_again (policy, &e->request, d));
}

/* The oldest of LANE goes first; past those that are held back for another
 * target, so that they don't keep free slots from the rest. */
static bool
try_lane (struct service_policy *policy, enum wait_lane lane,
          struct policy_decision *d)
{
  uint32_t at = wait_queue_oldest (&policy->queue, lane);
  for (int i = 0; i < LOOK_PAST && at != WAIT_QUEUE_NONE; i++)
    {
      const struct wait_entry *e = &policy->queue.entries[at];
      if (try_entry (policy, e, d))
        {
          wait_queue_remove (&policy->queue, at);
          return true;
        }
      if (e->request.tried_count == 0)
        return false;
      at = e->newer;
    }
  return false;
}

static enum wait_lane
older_lane (const struct wait_queue *queue)
{
  const uint32_t a = wait_queue_oldest (queue, LANE_REPEATABLE);
  const uint32_t b = wait_queue_oldest (queue, LANE_UNREPEATABLE);
  if (a == WAIT_QUEUE_NONE)
    return LANE_UNREPEATABLE;
  if (b == WAIT_QUEUE_NONE)
    return LANE_REPEATABLE;
  return queue->entries[a].order < queue->entries[b].order ? LANE_REPEATABLE
                                                           : LANE_UNREPEATABLE;
}

bool
service_policy_next (struct service_policy *policy, int64_t now_us,
                     struct policy_decision *decision)
{
  policy->now_us = now_us;
  target_set_refresh (&policy->set, now_us);
  const uint32_t first = wait_queue_first_given_up (&policy->queue);
  if (first == WAIT_QUEUE_NONE)
    return false;
  if (policy->set.eligible == 0)
    {
      *decision = give_up (policy, first, POLICY_REASON_NO_TARGET);
      return true;
    }
  if (policy->queue.entries[first].give_up_us <= now_us)
    {
      *decision = give_up (policy, first, POLICY_REASON_TOO_LATE);
      return true;
    }
  const enum wait_lane older = older_lane (&policy->queue);
  const enum wait_lane other
      = older == LANE_REPEATABLE ? LANE_UNREPEATABLE : LANE_REPEATABLE;
  if (try_lane (policy, older, decision) || try_lane (policy, other, decision))
    return true;
  policy->asked_us = now_us;
  return false;
}

int64_t
service_policy_wake_us (const struct service_policy *policy)
{
  const uint32_t first = wait_queue_first_given_up (&policy->queue);
  if (first == WAIT_QUEUE_NONE)
    return INT64_MAX;
  if (policy->asked_us == INT64_MIN)
    return policy->now_us;
  const int64_t give_up_us = policy->queue.entries[first].give_up_us;
  const int64_t poll_us = policy->asked_us + POLL_US;
  for (int tier = 0; tier < TIER_COUNT; tier++)
    if (policy->set.listed_count[tier] > 0 && poll_us < give_up_us)
      return poll_us;
  return give_up_us;
}

void
service_policy_forget (struct service_policy *policy, uint64_t request_id)
{
  const uint32_t e = wait_queue_find (&policy->queue, request_id);
  if (e != WAIT_QUEUE_NONE)
    wait_queue_remove (&policy->queue, e);
}

bool
service_policy_may_retry (enum attempt_end end, bool repeatable)
{
  return attempt_may_retry (end, repeatable);
}

struct policy_belief
service_policy_belief (const struct service_policy *policy, uint32_t target)
{
  if (target >= policy->set.count)
    return (struct policy_belief){ 0 };
  const struct target_state *t = &policy->set.targets[target];
  return (struct policy_belief){
    .in_flight = t->in_flight,
    .latency_us = (int64_t)t->estimate.latency_us,
    .failure_permille = (uint32_t)lround (t->estimate.failure * 1000),
    .suspect
    = target_state_is_suspect (t) && target_set_avoids_suspects (&policy->set),
    .ejected = t->ejected,
    .warming = target_state_warmth (t, policy->now_us) < 1,
    .requests = t->requests,
    .failures = t->failures,
  };
}

uint32_t
service_policy_queued (const struct service_policy *policy)
{
  return policy->queue.count;
}
