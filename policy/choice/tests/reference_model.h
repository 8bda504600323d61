/** @file
 * Reference model of a service's decisions, as simple as possible: each
 * question is answered by scanning all targets and the whole queue.
 *
 * It makes no choices itself.  It checks whether a decision was allowed, since
 * the targets that are compared are drawn at random.
 */
#ifndef POLICY_CHOICE_TESTS_REFERENCE_MODEL_H
#define POLICY_CHOICE_TESTS_REFERENCE_MODEL_H

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <cstdlib>
#include <numeric>
#include <set>
#include <string>
#include <vector>

extern "C"
{
#include "policy/choice/latency_histogram.h"
#include "policy/service_policy.h"
}

struct reference_target
{
  policy_target config = {};
  uint32_t in_flight = 0;
  double slot_reduction = 0, slot_latency = 0;
  bool ejected = false, failing = false, slow = false, is_new = false;
  /* P_UNHEALTHY and FAILURE_RATE include attempts without a response,
     P_UNHEALTHY_ENDED doesn't. */
  double latency = 0, failure_rate = 0, p_unhealthy = 0, p_unhealthy_ended = 0;
  std::vector<int64_t> open;
  uint32_t latency_samples = 0, samples = 0;
  int64_t updated = 0;
  int64_t warm_up_start = INT64_MIN;
  int64_t tier_updated = 0; /* when its tier was last determined */
  int64_t last_used = 0;

  bool
  eligible () const
  {
    return config.accepts_work && !ejected;
  }
  bool
  suspect () const
  {
    return failing || slow;
  }
  double
  max_reduction () const
  {
    const uint32_t fair = config.fair_slots;
    return fair > 0 && fair < config.slots ? config.slots - fair : 0;
  }
  bool
  has_free_slot () const
  {
    const double reduction = std::min (slot_reduction, max_reduction ());
    return eligible ()
           && in_flight < config.slots - (uint32_t)std::floor (reduction);
  }
  double
  own_latency () const
  {
    return std::max (latency - 2.0 * config.distance_us, 0.0);
  }
  double
  warm_up_factor (int64_t now) const
  {
    const int64_t declared = config.warm_up_us;
    const int64_t duration = declared < 0 ? 10000000 : declared;
    if (warm_up_start == INT64_MIN || now - warm_up_start >= duration)
      return 1;
    return std::max ((double)(now - warm_up_start) / duration,
                     declared < 0 ? 0.1 : 0.5);
  }
};

struct reference_waiting
{
  policy_request r;
  int64_t expires, reuse_tried;
};

/* A request, a retry or a check for remaining retries. */
struct reference_budget_event
{
  int64_t at;
  double change;
  retry_limits limits;
};

struct reference_model
{
  service_policy_options options;
  std::vector<reference_target> targets;
  std::vector<reference_waiting> queue;
  double base_latency = 0, usual_latency = 0;
  double base_unhealthy_share = 0.05, hang_share = 0.5;
  latency_histogram histogram;
  int64_t refreshed = INT64_MIN / 2, learned = 0, now = 0;
  uint32_t outcomes = 0;
  double probe_tokens = 0;
  uint32_t idle_count = 0; /* as of the refresh */
  double fair_slots = 0;   /* of all eligible targets, as of the refresh */
  double interval = 0;
  int64_t last_end = 0;
  uint32_t intervals = 0;
  bool had_waiting = false;
  std::vector<reference_budget_event> budget_events;

  /* Outlier status. */
  static double
  median (std::vector<double> v)
  {
    std::sort (v.begin (), v.end ());
    return v.empty () ? 0 : v[(v.size () - 1) / 2];
  }
  uint32_t
  eligible () const
  {
    return std::count_if (targets.begin (), targets.end (),
                          [] (auto &t) { return t.eligible (); });
  }
  uint32_t
  suspects () const
  {
    return std::count_if (targets.begin (), targets.end (), [] (auto &t) {
      return t.eligible () && t.suspect ();
    });
  }
  bool
  avoids () const
  {
    return suspects () * 2 <= eligible ();
  }
  reference_model ()
  {
    latency_histogram_init (&histogram);
  }
  static double
  clamped (double p_unhealthy)
  {
    return std::clamp (p_unhealthy, 0.02, 0.999);
  }
  static void
  set_p_unhealthy_ended (reference_target &t, double p_unhealthy)
  {
    t.p_unhealthy_ended = clamped (p_unhealthy);
  }
  /* Bayes' rule for each attempt that has no response yet. */
  void
  apply_open_attempts (reference_target &t) const
  {
    const double usual = base_latency + 2.0 * t.config.distance_us;
    const double slowdown
        = usual > 0 ? std::max (t.latency / usual, 1.0) : 1.0;
    double odds = 1;
    for (int64_t started : t.open)
      {
        const double age = now - started;
        const double p_slower = latency_histogram_survival (
            &histogram, (int64_t)(age / slowdown));
        const double ratio = (0.75 * hang_share + 0.25 * p_slower)
                             / (0.01 * hang_share + 0.99 * p_slower);
        if (ratio > 1)
          odds *= std::pow (ratio, std::exp (-age / 6000000));
      }
    t.p_unhealthy
        = clamped (t.p_unhealthy_ended * odds
                   / (t.p_unhealthy_ended * odds + 1 - t.p_unhealthy_ended));
    t.failure_rate = t.p_unhealthy * 0.75 + (1 - t.p_unhealthy) * 0.01;
  }
  /* Removes the attempt that started nearest to STARTED; only the oldest
     eight are kept. */
  static void
  close (reference_target &t, int64_t started)
  {
    const auto distance = [&] (int64_t a) { return std::llabs (a - started); };
    const auto at = std::min_element (
        t.open.begin (), t.open.end (),
        [&] (int64_t a, int64_t b) { return distance (a) < distance (b); });
    if (at != t.open.end () && (t.open.size () < 8 || distance (*at) <= 50000))
      t.open.erase (at);
  }
  void
  advance (reference_target &t)
  {
    if (now <= t.updated)
      return;
    const int64_t before = t.updated;
    const double kept = std::exp2 (-(double)(now - before) / 10000000);
    t.updated = now;
    const double kept_state = std::exp (-(double)(now - before) / 6000000);
    const double share = t.is_new ? 0 : base_unhealthy_share;
    set_p_unhealthy_ended (t,
                           share + (t.p_unhealthy_ended - share) * kept_state);
    const double peers = base_latency + 2.0 * t.config.distance_us;
    if (t.latency_samples > 0 && base_latency > 0)
      t.latency = peers + (t.latency - peers) * kept;
  }
  void
  evaluate (reference_target &t)
  {
    const double enter = options.prefer_faster_detection ? 0.4 : 0.5;
    apply_open_attempts (t);
    t.failing = t.p_unhealthy > (t.failing ? 0.35 : enter);
    t.slow = t.warm_up_factor (now) == 1 && t.latency_samples >= 4
             && base_latency > 0
             && t.own_latency () > (t.slow ? 2.0 : 3.0) * base_latency + 1000;
  }
  void
  refresh ()
  {
    if (outcomes < std::max<size_t> (32, targets.size ())
        && now - refreshed < 100000)
      return;
    const double elapsed = now - learned;
    learned = now;
    refreshed = now;
    outcomes = 0;
    std::vector<double> unhealthy, latencies;
    for (auto &t : targets)
      {
        advance (t);
        if (t.eligible () && t.samples > 0)
          unhealthy.push_back (t.p_unhealthy_ended);
        if (t.eligible () && t.latency_samples > 0)
          latencies.push_back (t.own_latency ());
      }
    if (!unhealthy.empty ())
      {
        const double share
            = std::accumulate (unhealthy.begin (), unhealthy.end (), 0.0)
              / unhealthy.size ();
        const double kept = std::exp (-elapsed / 10000000);
        base_unhealthy_share = std::clamp (
            share + (base_unhealthy_share - share) * kept, 0.02, 0.4);
      }
    base_latency = median (latencies);
    if (usual_latency <= 0)
      usual_latency = base_latency;
    else if (base_latency > 0)
      usual_latency
          += (base_latency - usual_latency)
             * (1
                - std::exp (
                    -elapsed
                    / (base_latency > usual_latency ? 30000000 : 2000000)));
    for (auto &t : targets)
      {
        evaluate (t);
        t.tier_updated = now;
      }
    idle_count = idle_targets ().size ();
    fair_slots = 0;
    for (auto &t : targets)
      if (t.eligible ())
        fair_slots += t.config.slots - t.max_reduction ();
  }
  std::vector<uint32_t>
  idle_targets () const
  {
    std::vector<uint32_t> found;
    for (uint32_t i = 0; i < targets.size (); i++)
      {
        const reference_target &t = targets[i];
        const double slots
            = std::ceil (t.config.slots * t.warm_up_factor (t.tier_updated));
        const bool may_be_chosen
            = t.suspect () ? !avoids () : t.in_flight < (uint32_t)slots;
        if (t.has_free_slot () && may_be_chosen && !t.config.is_backup
            && now - t.last_used >= 3000000)
          found.push_back (i);
      }
    return found;
  }

  /* Candidates and costs. */
  enum tier
  {
    HEALTHY,
    WARMING,
    SUSPECT
  };
  tier
  tier_of (const reference_target &t) const
  {
    if (t.suspect ())
      return avoids () ? SUSPECT : HEALTHY;
    const double slots
        = std::ceil (t.config.slots * t.warm_up_factor (t.tier_updated));
    return t.in_flight >= (uint32_t)slots ? WARMING : HEALTHY;
  }
  std::vector<uint32_t>
  candidates (tier of, const policy_request &r, bool again = false) const
  {
    std::vector<uint32_t> found;
    for (uint32_t i = 0; i < targets.size (); i++)
      {
        const bool tried
            = std::count (r.tried, r.tried + r.tried_count, i) > 0;
        if (targets[i].has_free_slot () && tier_of (targets[i]) == of
            && (again || !tried))
          found.push_back (i);
      }
    return found;
  }
  double
  latency_of (const reference_target &t) const
  {
    if (t.latency_samples > 0)
      return t.latency;
    return (base_latency > 0 ? base_latency : 1000)
           + 2.0 * t.config.distance_us;
  }
  double
  cost (const reference_target &t, bool repeatable) const
  {
    const double failure_rate = std::min (t.failure_rate, 0.95);
    return latency_of (t)
           * (1 + (double)t.in_flight / t.config.slots
              + failure_rate / (1 - failure_rate) * (repeatable ? 2 : 24))
           * (t.config.is_backup ? 1 + options.backup_cost_percent / 100.0 : 1)
           / t.warm_up_factor (now);
  }
  /* All targets are compared, as there are so few.  One that costs more
     than 1.5 times as much as another can't be chosen. */
  std::vector<uint32_t>
  best_targets (const std::vector<uint32_t> &of, const policy_request &r) const
  {
    std::vector<uint32_t> found;
    for (uint32_t a : of)
      {
        bool is_best = true;
        for (uint32_t b : of)
          is_best = is_best
                    && cost (targets[a], r.repeatable)
                           <= 1.5 * cost (targets[b], r.repeatable);
        if (is_best)
          found.push_back (a);
      }
    return found;
  }
  double
  expected_response (const reference_target &t) const
  {
    return t.failure_rate > 0.9 ? INFINITY
                                : latency_of (t) / (1 - t.failure_rate);
  }

  /* Waiting time and service rate. */
  double
  mean_interval () const
  {
    const double since = now - last_end;
    if (intervals >= 8 && since < 5000000)
      return had_waiting ? std::max (since / 8, interval) : interval;
    uint32_t in_flight = 0;
    for (auto &t : targets)
      in_flight += t.in_flight;
    return (base_latency > 0 ? base_latency : 10000)
           / std::max (in_flight, 1u);
  }
  double
  wait () const
  {
    return (queue.size () + 1) * mean_interval ();
  }
  double
  reserved_for_response (const policy_request &r) const
  {
    return std::min (base_latency, (double)(r.deadline_us - now) / 2);
  }
  bool
  queue_has_space (const policy_request &r) const
  {
    uint64_t bytes = r.queued_bytes;
    for (auto &w : queue)
      bytes += w.r.queued_bytes;
    return queue.size () < options.queue_requests
           && bytes <= options.queue_bytes;
  }
  bool
  fits (const policy_request &r) const
  {
    return 2 * wait () <= r.deadline_us - now - reserved_for_response (r)
           && queue_has_space (r);
  }
  bool
  is_acceptable (const policy_request &r, uint32_t i, bool fit, double w) const
  {
    const double remaining = r.deadline_us - now;
    const double response = expected_response (targets[i]);
    if (!r.repeatable)
      return !fit && !targets[i].failing && 2 * response <= remaining;
    return response <= (fit ? w + base_latency : remaining);
  }
  bool
  all_tried (const policy_request &r) const
  {
    for (uint32_t i = 0; i < targets.size (); i++)
      if (targets[i].eligible ()
          && std::count (r.tried, r.tried + r.tried_count, i) == 0)
        return false;
    return true;
  }
  /* Recomputes the tokens from the whole history, each event under its own
     limits. */
  bool
  may_retry ()
  {
    budget_events.push_back ({ now, 0, options.retries });
    double tokens = 0;
    int64_t last = INT64_MIN;
    for (const reference_budget_event &e : budget_events)
      {
        tokens
            = last == INT64_MIN
                  ? e.limits.initial_tokens
                  : tokens + (e.at - last) / 1e6 * e.limits.tokens_per_second;
        tokens = std::min (tokens, e.limits.max_tokens);
        tokens = std::min (tokens + e.change, e.limits.max_tokens);
        last = e.at;
      }
    return tokens >= 1 - 1e-6;
  }
};

#endif
