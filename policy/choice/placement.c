#include "policy/choice/placement.h"

#include <math.h>

#include "policy/choice/chooser.h"
#include "policy/choice/placement_probe.h"
#include "policy/choice/precedence.h"
#include "policy/choice/service_state.h"

enum
{
  RETRY_AFTER_MAX_MS = 60000,
  /* The expected wait may be wrong by this factor.  Requests that can't be
     served must be refused when they arrive, not when their time is over. */
  WAIT_MARGIN = 2,
};

/* What waiting would mean for a request that joins the queue. */
struct wait_estimate
{
  uint32_t ahead; /* queued requests that it would wait for */
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
    {
      const int64_t rest_us = policy->set.rest_end_us - policy->now_us;
      if (rest_us > 0)
        d.retry_after_ms = (uint32_t)(rest_us / 1000 + 1);
      return d;
    }
  /* Sent again, it comes after all that are queued now and go before it. */
  const uint32_t ahead = precedence_ahead (policy, r, ATTEMPT_NO_TIMEOUT);
  const double wait_us = (ahead + 1) * service_state_mean_interval_us (policy);
  const double wait_ms = ceil (wait_us / 1000);
  d.expected_wait_us = (int64_t)wait_us;
  d.retry_after_ms = (uint32_t)fmin (fmax (wait_ms, 1), RETRY_AFTER_MAX_MS);
  return d;
}

struct policy_decision
placement_send (struct service_policy *policy, const struct policy_request *r,
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
  *d = placement_send (policy, r, pick.target,
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
  *d = placement_send (policy, r, pick.target,
                       pick.is_only ? POLICY_REASON_ONLY_CHOICE
                                    : POLICY_REASON_BEST_OF_TWO);
  return true;
}

uint32_t
service_state_attempts_max (const struct service_policy *policy,
                            const struct policy_request *r)
{
  return r->attempts_max > 0 ? r->attempts_max : policy->options.attempts;
}

static struct wait_estimate
estimate_wait (const struct service_policy *policy,
               const struct policy_request *r)
{
  const double remaining_us = (double)(r->deadline_us - policy->now_us);
  /* Reserve at most half of the time for the response.  With a wrong
     estimate all requests would be refused, so it would never be corrected. */
  const double response_us
      = fmin (policy->set.baseline.latency_us, remaining_us / 2);
  const int64_t expires_us = r->deadline_us - (int64_t)response_us;
  const uint32_t ahead = precedence_ahead (policy, r, expires_us);
  const double wait_us = (ahead + 1) * service_state_mean_interval_us (policy);
  return (struct wait_estimate){
    .ahead = ahead,
    .wait_us = wait_us,
    .expires_us = expires_us,
    .fits = wait_us * WAIT_MARGIN <= remaining_us - response_us
            && precedence_has_space (policy, r),
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
  if (!precedence_has_space (policy, r))
    return placement_refuse (policy, r, POLICY_REASON_QUEUE_FULL);
  if (!estimate->fits)
    return placement_refuse (policy, r, POLICY_REASON_TOO_LATE);
  const int64_t remaining_us = estimate->expires_us - policy->now_us;
  precedence_make_space (policy, r);
  precedence_push (policy, r, estimate->expires_us,
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
  if (placement_try_probe (policy, r, &d))
    return d;
  if (placement_try_unused (policy, r, &d))
    return d;
  const struct wait_estimate estimate = estimate_wait (policy, r);
  const bool is_first = estimate.ahead == 0;
  if (is_first && placement_try_rate_limited (policy, r, &d))
    return d;
  if (is_first && try_healthy (policy, r, &d))
    return d;
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
  return precedence_ahead (policy, r, r->deadline_us) == 0
         && try_healthy (policy, r, d);
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
