/** @file
 * Simulation of a service with too little capacity: kinds of requests with
 * their rates, work, deadlines and precedence, and targets with slots that
 * serve one request at a time in each, or shed it.
 */
#ifndef POLICY_CHOICE_TESTS_PRECEDENCE_SIMULATION_H
#define POLICY_CHOICE_TESTS_PRECEDENCE_SIMULATION_H

#include <gtest/gtest.h>

#include <cmath>
#include <map>
#include <queue>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/service_policy.h"
}

struct simulated_kind
{
  uint32_t precedence;
  double per_s;
  int64_t work_us;
  int64_t deadline_us;
  bool repeatable;
  double burst = 1; /* factor of the rate in the middle third of the time */
};

struct simulated_result
{
  double arrived = 0, served = 0, displaced = 0, retries = 0, reserved = 0;
  int64_t longest_refusal_us = 0; /* from arrival to a refusal */

  double
  share () const
  {
    return served / arrived;
  }
};

class precedence_simulation
{
public:
  std::vector<simulated_kind> kinds;
  std::vector<simulated_result> results;
  service_policy_options options
      = { 1, 100, 1000000, { 20, 20, 2, 3 }, 3, false, 0, 0, 0, {} };
  uint32_t targets = 4, slots = 2;
  double shed_share = 0;

  void
  run (int64_t duration_us)
  {
    rng_seed (&random, 7);
    results.assign (kinds.size (), {});
    policy = service_policy_create (&options);
    std::vector<policy_target> set;
    for (uint32_t i = 0; i < targets; i++)
      set.push_back ({ i + 1, slots, 0, 0, false, true, -1 });
    service_policy_set_targets (policy, now, set.data (), set.size ());
    const int64_t start_us = now;
    for (size_t k = 0; k < kinds.size (); k++)
      schedule_arrival (k, start_us, duration_us);
    while (!events.empty ())
      step (start_us, duration_us);
    EXPECT_TRUE (requests.empty ()) << "a request has no outcome";
    service_policy_destroy (policy);
  }

private:
  struct event
  {
    int64_t at;
    uint64_t seq;
    size_t kind;
    uint64_t request; /* 0: arrival of KIND */
    uint32_t target;
    bool
    operator<(const event &other) const
    {
      return at != other.at ? at > other.at : seq > other.seq;
    }
  };
  struct request
  {
    policy_request r;
    size_t kind;
    int64_t arrived;
  };
  rng random;
  service_policy *policy = nullptr;
  int64_t now = 1000000;
  uint64_t next_id = 1, next_seq = 0;
  std::priority_queue<event> events;
  std::map<uint64_t, request> requests;

  double
  uniform ()
  {
    return (double)(1 + rng_below (&random, 1000000)) / 1000001;
  }
  void
  schedule_arrival (size_t k, int64_t start_us, int64_t duration_us)
  {
    const int64_t third = (now - start_us) * 3 / duration_us;
    const double per_s = kinds[k].per_s * (third == 1 ? kinds[k].burst : 1);
    const int64_t at = now + (int64_t)(-std::log (uniform ()) / per_s * 1e6);
    if (at < start_us + duration_us)
      events.push ({ at, next_seq++, k, 0, 0 });
  }
  void
  step (int64_t start_us, int64_t duration_us)
  {
    const event e = events.top ();
    const int64_t wake = service_policy_wake_us (policy);
    if (wake < e.at)
      {
        now = std::max (now, wake);
        drain ();
        return;
      }
    events.pop ();
    now = e.at;
    if (e.request == 0)
      {
        arrive (e.kind);
        schedule_arrival (e.kind, start_us, duration_us);
      }
    else
      end_attempt (e);
    drain ();
  }
  void
  arrive (size_t k)
  {
    policy_request r = {};
    r.id = next_id++;
    r.deadline_us = now + kinds[k].deadline_us;
    r.repeatable = kinds[k].repeatable;
    r.precedence = kinds[k].precedence;
    r.attempt = 1;
    results[k].arrived++;
    requests[r.id] = { r, k, now };
    apply (service_policy_admit (policy, now, &r));
  }
  void
  apply (const policy_decision &d)
  {
    ASSERT_EQ (requests.count (d.request_id), 1u) << "decided twice";
    const request q = requests[d.request_id];
    simulated_result &result = results[q.kind];
    if (d.verdict == POLICY_SEND)
      {
        const double work = (double)kinds[q.kind].work_us;
        const bool shed = uniform () < shed_share;
        const int64_t took
            = shed ? 1000 : (int64_t)(work * (0.5 + uniform ()));
        events.push ({ now + took, next_seq++, q.kind,
                       shed ? d.request_id | shed_bit : d.request_id,
                       d.target });
      }
    if (d.verdict != POLICY_REFUSE)
      return;
    result.displaced += d.reason == POLICY_REASON_DISPLACED;
    result.reserved += d.reason == POLICY_REASON_RETRY_RESERVED;
    result.longest_refusal_us
        = std::max (result.longest_refusal_us, now - q.arrived);
    requests.erase (d.request_id);
  }
  void
  end_attempt (const event &e)
  {
    const uint64_t id = e.request & ~shed_bit;
    const bool shed = e.request != id;
    request &q = requests[id];
    const policy_outcome o
        = { e.target, shed ? ATTEMPT_SHED : ATTEMPT_ANSWERED,
            shed ? 1000 : kinds[e.kind].work_us, q.r.repeatable };
    service_policy_outcome (policy, now, &o);
    if (!shed)
      {
        results[e.kind].served += now <= q.r.deadline_us;
        requests.erase (id);
        return;
      }
    q.r.attempt++;
    if (q.r.tried_count < POLICY_TRIED_MAX)
      q.r.tried[q.r.tried_count++] = e.target;
    const policy_decision d = service_policy_admit (policy, now, &q.r);
    results[e.kind].retries += d.verdict != POLICY_REFUSE;
    apply (d);
  }
  void
  drain ()
  {
    policy_decision d;
    while (service_policy_next (policy, now, &d))
      apply (d);
  }

  static constexpr uint64_t shed_bit = 1ull << 62;
};

#endif
