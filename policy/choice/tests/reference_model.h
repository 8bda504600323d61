/** @file
 * The decisions of a service written as plainly as possible: every question
 * is answered by going through all targets and the whole queue.
 *
 * It makes no choice of its own.  It says of each decision whether it was
 * allowed, since which two targets are drawn is chance.
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

struct naive_target
{
  policy_target config = {};
  uint32_t in_flight = 0;
  bool ejected = false, failing = false, slow = false, fresh = false;
  /* ILL and FAILURE count attempts without an answer, KNOWN doesn't. */
  double latency = 0, failure = 0, ill = 0, known = 0;
  std::vector<int64_t> open;
  uint32_t latencies = 0, samples = 0;
  int64_t updated = 0;
  int64_t warm_from = INT64_MIN;
  int64_t placed = 0; /* when its slow start was last looked at */
  int64_t used = 0;

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
  bool
  room () const
  {
    return eligible () && in_flight < config.slots;
  }
  double
  own_latency () const
  {
    return std::max (latency - 2.0 * config.distance_us, 0.0);
  }
  double
  warmth (int64_t now) const
  {
    const int64_t told = config.warm_up_us;
    const int64_t length = told < 0 ? 10000000 : told;
    if (warm_from == INT64_MIN || now - warm_from >= length)
      return 1;
    return std::max ((double)(now - warm_from) / length, told < 0 ? 0.1 : 0.5);
  }
};

struct naive_waiting
{
  policy_request r;
  int64_t give_up, again;
};

/* A request, a retry or a look at the retries that are left. */
struct naive_budget_event
{
  int64_t at;
  double change;
  retry_limits bound;
};

struct naive_choice
{
  service_policy_options options;
  std::vector<naive_target> targets;
  std::vector<naive_waiting> queue;
  double base_latency = 0, base_ill = 0.05, hung = 0.5;
  latency_histogram times;
  int64_t refreshed = INT64_MIN / 2, learned = 0, now = 0;
  uint32_t outcomes = 0;
  double trickle = 0;
  uint32_t neglected = 0; /* at the refresh */
  double interval = 0;
  int64_t last_end = 0;
  uint32_t intervals = 0;
  bool busy = false;
  std::vector<naive_budget_event> budget_events;

  /* Standing. */
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
  naive_choice ()
  {
    latency_histogram_init (&times);
  }
  static double
  bounded (double ill)
  {
    return std::clamp (ill, 0.02, 0.999);
  }
  static void
  set_known (naive_target &t, double ill)
  {
    t.known = bounded (ill);
  }
  /* Bayes' rule for each attempt that has no answer yet. */
  void
  weigh_open (naive_target &t) const
  {
    const double usual = base_latency + 2.0 * t.config.distance_us;
    const double slower = usual > 0 ? std::max (t.latency / usual, 1.0) : 1.0;
    double odds = 1;
    for (int64_t begun : t.open)
      {
        const double age = now - begun;
        const double late
            = latency_histogram_survival (&times, (int64_t)(age / slower));
        const double ratio
            = (0.75 * hung + 0.25 * late) / (0.01 * hung + 0.99 * late);
        if (ratio > 1)
          odds *= std::pow (ratio, std::exp (-age / 6000000));
      }
    t.ill = bounded (t.known * odds / (t.known * odds + 1 - t.known));
    t.failure = t.ill * 0.75 + (1 - t.ill) * 0.01;
  }
  /* The one that began nearest to BEGUN; only the oldest eight are kept. */
  static void
  close (naive_target &t, int64_t begun)
  {
    const auto off = [&] (int64_t a) { return std::llabs (a - begun); };
    const auto at = std::min_element (
        t.open.begin (), t.open.end (),
        [&] (int64_t a, int64_t b) { return off (a) < off (b); });
    if (at != t.open.end () && (t.open.size () < 8 || off (*at) <= 50000))
      t.open.erase (at);
  }
  void
  advance (naive_target &t)
  {
    if (now <= t.updated)
      return;
    const int64_t before = t.updated;
    const double kept = std::exp2 (-(double)(now - before) / 10000000);
    t.updated = now;
    const double known = std::exp (-(double)(now - before) / 6000000);
    const double share = t.fresh ? 0 : base_ill;
    set_known (t, share + (t.known - share) * known);
    const double peers = base_latency + 2.0 * t.config.distance_us;
    if (t.latencies > 0 && base_latency > 0)
      t.latency = peers + (t.latency - peers) * kept;
  }
  void
  judge (naive_target &t)
  {
    const double enter = options.prefer_faster_detection ? 0.4 : 0.5;
    weigh_open (t);
    t.failing = t.ill > (t.failing ? 0.35 : enter);
    t.slow = t.warmth (now) == 1 && t.latencies >= 4 && base_latency > 0
             && t.own_latency () > (t.slow ? 2.0 : 3.0) * base_latency + 1000;
  }
  void
  refresh ()
  {
    if (outcomes < std::max<size_t> (32, targets.size ())
        && now - refreshed < 100000)
      return;
    const double passed = now - learned;
    learned = now;
    refreshed = now;
    outcomes = 0;
    std::vector<double> ills, latencies;
    for (auto &t : targets)
      {
        advance (t);
        if (t.eligible () && t.samples > 0)
          ills.push_back (t.known);
        if (t.eligible () && t.latencies > 0)
          latencies.push_back (t.own_latency ());
      }
    if (!ills.empty ())
      {
        const double share
            = std::accumulate (ills.begin (), ills.end (), 0.0) / ills.size ();
        const double kept = std::exp (-passed / 10000000);
        base_ill = std::clamp (share + (base_ill - share) * kept, 0.02, 0.4);
      }
    base_latency = median (latencies);
    for (auto &t : targets)
      {
        judge (t);
        t.placed = now;
      }
    neglected = neglected_now ().size ();
  }
  std::vector<uint32_t>
  neglected_now () const
  {
    std::vector<uint32_t> found;
    for (uint32_t i = 0; i < targets.size (); i++)
      {
        const naive_target &t = targets[i];
        const double slots = std::ceil (t.config.slots * t.warmth (t.placed));
        const bool may_be_chosen
            = t.suspect () ? !avoids () : t.in_flight < (uint32_t)slots;
        if (t.room () && may_be_chosen && !t.config.is_backup
            && now - t.used >= 3000000)
          found.push_back (i);
      }
    return found;
  }

  /* Candidates and costs. */
  enum tier
  {
    CLEAR,
    WARMING,
    SUSPECT
  };
  tier
  tier_of (const naive_target &t) const
  {
    if (t.suspect ())
      return avoids () ? SUSPECT : CLEAR;
    const double slots = std::ceil (t.config.slots * t.warmth (t.placed));
    return t.in_flight >= (uint32_t)slots ? WARMING : CLEAR;
  }
  std::vector<uint32_t>
  candidates (tier of, const policy_request &r, bool again = false) const
  {
    std::vector<uint32_t> found;
    for (uint32_t i = 0; i < targets.size (); i++)
      {
        const bool tried
            = std::count (r.tried, r.tried + r.tried_count, i) > 0;
        if (targets[i].room () && tier_of (targets[i]) == of
            && (again || !tried))
          found.push_back (i);
      }
    return found;
  }
  double
  latency_of (const naive_target &t) const
  {
    if (t.latencies > 0)
      return t.latency;
    return (base_latency > 0 ? base_latency : 1000)
           + 2.0 * t.config.distance_us;
  }
  double
  cost (const naive_target &t, bool repeatable) const
  {
    const double f = std::min (t.failure, 0.95);
    return latency_of (t)
           * (1 + (double)t.in_flight / t.config.slots
              + f / (1 - f) * (repeatable ? 2 : 24))
           * (t.config.is_backup ? 1 + options.backup_cost_percent / 100.0 : 1)
           / t.warmth (now);
  }
  /* One that costs more than half as much again as any other can't win:
     with so few targets all are compared. */
  std::vector<uint32_t>
  winners (const std::vector<uint32_t> &of, const policy_request &r) const
  {
    std::vector<uint32_t> found;
    for (uint32_t a : of)
      {
        bool wins = true;
        for (uint32_t b : of)
          wins = wins
                 && cost (targets[a], r.repeatable)
                        <= 1.5 * cost (targets[b], r.repeatable);
        if (wins)
          found.push_back (a);
      }
    return found;
  }
  double
  answer_time (const naive_target &t) const
  {
    return t.failure > 0.9 ? INFINITY : latency_of (t) / (1 - t.failure);
  }

  /* Time and rate. */
  double
  mean_interval () const
  {
    const double since = now - last_end;
    if (intervals >= 8 && since < 5000000)
      return busy ? std::max (since / 8, interval) : interval;
    uint32_t flying = 0;
    for (auto &t : targets)
      flying += t.in_flight;
    return (base_latency > 0 ? base_latency : 10000) / std::max (flying, 1u);
  }
  double
  wait () const
  {
    return (queue.size () + 1) * mean_interval ();
  }
  double
  kept_for_answer (const policy_request &r) const
  {
    return std::min (base_latency, (double)(r.deadline_us - now) / 2);
  }
  bool
  room_in_queue (const policy_request &r) const
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
    return wait () <= r.deadline_us - now - kept_for_answer (r)
           && room_in_queue (r);
  }
  bool
  worth (const policy_request &r, uint32_t i, bool fit, double w) const
  {
    const double left = r.deadline_us - now;
    const double answer = answer_time (targets[i]);
    if (!r.repeatable)
      return !fit && !targets[i].failing && 2 * answer <= left;
    return answer <= (fit ? w + base_latency : left);
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
  /* Savings from the whole history, each event under its own bound. */
  bool
  may_retry ()
  {
    budget_events.push_back ({ now, 0, options.retries });
    double saved = 0;
    int64_t last = INT64_MIN;
    for (const naive_budget_event &e : budget_events)
      {
        saved = last == INT64_MIN
                    ? e.bound.initial_tokens
                    : saved + (e.at - last) / 1e6 * e.bound.tokens_per_second;
        saved = std::min (saved, e.bound.max_tokens);
        saved = std::min (saved + e.change, e.bound.max_tokens);
        last = e.at;
      }
    return saved >= 1 - 1e-6;
  }
};

#endif
