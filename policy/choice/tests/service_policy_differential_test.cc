/* Compares the service's policy with the reference model, event by event. */
#include <gtest/gtest.h>

#include <map>

#include "policy/choice/tests/reference_checker.h"

extern "C"
{
#include "base/rng.h"
}

namespace
{

enum
{
  SEQUENCES = 1000,
  EVENTS = 2000,
  REASONS = POLICY_REASON_ATTEMPTS + 1,
  MIN_SEEN = 300, /* of each reason, so that all kinds of decisions are
                       covered */
};

struct attempt
{
  policy_request r;
  uint64_t key;
  int64_t sent;
};

/* Simulates the requests; each one must end exactly once. */
struct simulation
{
  rng random;
  service_policy *policy;
  reference_checker model;
  std::vector<attempt> attempts;
  std::map<uint64_t, policy_request> waiting;
  uint64_t seen[REASONS] = {};
  uint64_t next_id = 1;
  uint64_t next_key = 1;
  uint64_t unhealthy_key = 0;
  int unhealthy_percent = 0;

  explicit simulation (uint64_t seed)
  {
    rng_seed (&random, seed);
    model.options = options (seed);
    policy = service_policy_create (&model.options);
    model.now = 1000000;
    replace_targets ();
  }
  ~simulation ()
  {
    service_policy_destroy (policy);
  }

  uint64_t
  below (uint64_t n)
  {
    return rng_below (&random, n);
  }
  service_policy_options
  options (uint64_t seed)
  {
    return { .seed = seed,
             .queue_requests = (uint32_t)below (12),
             .queue_bytes = (uint32_t)below (4000),
             .retries = { (uint32_t)below (40), 3, 0.1 * (double)below (5),
                          (double)below (2) },
             .attempts = (uint32_t)below (4),
             .prefer_faster_detection = below (2) == 0,
             .backup_cost_percent = (uint32_t)below (3) * 50,
             .used_percent = 0,
             .set_hosts = 0,
             .modes = {} };
  }
  /* Sometimes a target that left before comes back. */
  uint64_t
  new_key (const std::vector<policy_target> &to)
  {
    uint64_t n = below (3) == 0 ? 1 + below (next_key) : next_key;
    const auto has = [&] (uint64_t key) {
      return std::any_of (to.begin (), to.end (),
                          [=] (auto &t) { return t.key == key; });
    };
    if (n == next_key || has (n * 0x9e3779b97f4a7c15u))
      n = next_key++;
    return n * 0x9e3779b97f4a7c15u;
  }
  void
  replace_targets ()
  {
    std::vector<policy_target> to;
    for (auto &t : model.targets)
      if (below (8) != 0)
        to.push_back (t.config);
    while (to.size () < 2 + below (9))
      {
        policy_target added = {};
        added.key = new_key (to);
        to.push_back (added);
      }
    for (auto &c : to)
      {
        c.slots = 1 + (uint32_t)below (4);
        c.distance_us = below (3) == 0 ? 1500 : 0;
        c.is_backup = below (3) == 0;
        c.fair_slots = (uint32_t)below (c.slots + 1);
        c.accepts_work = below (10) != 0;
        c.warm_up_us = below (2) == 0 ? -1 : (int64_t)below (4000000);
      }
    for (size_t i = to.size (); i > 1; i--)
      std::swap (to[i - 1], to[below (i)]);
    service_policy_set_targets (policy, model.now, to.data (), to.size ());
    model.replace (to);
    unhealthy_key = to[below (to.size ())].key;
    unhealthy_percent = below (2) ? 100 : 40;
  }

  std::string
  track (const policy_request &r, const policy_decision &d)
  {
    seen[d.reason]++;
    if (d.verdict == POLICY_QUEUE)
      return waiting.emplace (r.id, r).second ? "" : "queued twice";
    if (d.verdict == POLICY_SEND)
      attempts.push_back (
          { r, model.targets[d.target].config.key, model.now });
    return "";
  }
  std::string
  admit (policy_request r)
  {
    const policy_decision d = service_policy_admit (policy, model.now, &r);
    const std::string wrong = model.admit (r, d);
    return wrong.empty () ? track (r, d) : wrong;
  }
  std::string
  admit_new ()
  {
    policy_request r = {};
    r.id = next_id++;
    r.deadline_us = model.now + (int64_t)below (60000);
    r.queued_bytes = (uint32_t)below (1000);
    r.repeatable = below (3) != 0;
    r.attempt = 1;
    return admit (r);
  }
  std::string
  drain_queue ()
  {
    for (;;)
      {
        policy_decision d = {};
        const bool has_decision = service_policy_next (policy, model.now, &d);
        std::string wrong = model.next (has_decision, d);
        if (!wrong.empty () || !has_decision)
          return wrong;
        const auto at = waiting.find (d.request_id);
        if (at == waiting.end ())
          return "decided twice";
        const policy_request r = at->second;
        waiting.erase (at);
        wrong = track (r, d);
        if (!wrong.empty ())
          return wrong;
      }
  }

  attempt_end
  end_of (uint64_t key)
  {
    const uint64_t roll = below (100);
    if (key == unhealthy_key && roll < (uint64_t)unhealthy_percent)
      return (attempt_end)(1 + below (6));
    return roll < 3 ? (attempt_end)(1 + below (6)) : ATTEMPT_ANSWERED;
  }
  std::string
  finish ()
  {
    if (attempts.empty ())
      return "";
    const size_t i = below (attempts.size ());
    attempt a = attempts[i];
    attempts.erase (attempts.begin () + i);
    const uint32_t target = service_policy_find (policy, a.key);
    const attempt_end end = end_of (a.key);
    const policy_outcome o = { .target = target,
                               .end = end,
                               .latency_us = model.now - a.sent,
                               .repeatable = a.r.repeatable };
    service_policy_outcome (policy, model.now, &o);
    if (target != POLICY_NO_TARGET)
      model.outcome (o);
    std::string wrong = drain_queue ();
    if (wrong.empty () && service_policy_may_retry (end, a.r.repeatable)
        && below (4) != 0)
      {
        a.r.after_unsent = end == ATTEMPT_NOT_SENT;
        a.r.unsent += (uint32_t)a.r.after_unsent;
        wrong = retry (a.r, target);
      }
    return wrong;
  }
  std::string
  retry (policy_request r, uint32_t target)
  {
    r.tried_count = 0;
    if (target != POLICY_NO_TARGET)
      r.tried[r.tried_count++] = target;
    while (r.tried_count > 0 && r.tried_count < 4 && below (3) == 0)
      r.tried[r.tried_count++] = (uint32_t)below (model.targets.size ());
    r.attempt++;
    return admit (r);
  }
  std::string
  cancel_queued ()
  {
    if (waiting.empty ())
      return "";
    auto at = waiting.begin ();
    std::advance (at, below (waiting.size ()));
    const uint64_t id = at->first;
    waiting.erase (at);
    service_policy_cancel_queued (policy, id);
    auto &q = model.queue;
    q.erase (std::find_if (q.begin (), q.end (),
                           [&] (auto &w) { return w.r.id == id; }));
    return "";
  }
  std::string
  reconfigure ()
  {
    model.options = options (1);
    service_policy_configure (policy, &model.options);
    return "";
  }
  std::string
  change ()
  {
    const uint64_t kind = below (20);
    if (kind < 4)
      replace_targets ();
    else if (kind == 4)
      return reconfigure ();
    else
      {
        const auto target = (uint32_t)below (model.targets.size ());
        const bool ejected = below (3) == 0;
        service_policy_set_ejected (policy, model.now, target, ejected);
        model.eject (target, ejected);
      }
    return drain_queue ();
  }
  void
  pass_time ()
  {
    const uint64_t roll = below (1000);
    model.now += (int64_t)(roll < 995   ? below (700)
                           : roll < 999 ? below (400000)
                                        : below (12000000));
  }

  std::string
  event ()
  {
    pass_time ();
    if (service_policy_wake_us (policy) <= model.now)
      {
        const std::string wrong = drain_queue ();
        if (!wrong.empty ())
          return wrong;
      }
    const uint64_t roll = below (100);
    std::string wrong;
    if (roll < 48)
      wrong = admit_new ();
    else if (roll < 95)
      wrong = finish ();
    else if (roll < 96)
      wrong = cancel_queued ();
    else
      wrong = roll < 99 ? change () : drain_queue ();
    return wrong.empty () ? invariants () : wrong;
  }

  std::string
  invariants ()
  {
    if (service_policy_queued (policy) != waiting.size ()
        || model.queue.size () != waiting.size ())
      return "a queued request is lost or duplicated";
    if (!waiting.empty () && service_policy_wake_us (policy) == INT64_MAX)
      return "no wake-up time although requests are queued";
    for (uint32_t i = 0; i < model.targets.size (); i++)
      {
        const reference_target &t = model.targets[i];
        const policy_target_status b
            = service_policy_target_status (policy, i);
        if (b.in_flight != t.in_flight)
          return "wrong number of used slots";
        if (b.suspect != (t.suspect () && model.avoids ()))
          return "suspect status differs";
        if (b.failure_permille != (uint32_t)lround (t.failure_rate * 1000)
            || b.latency_us != (int64_t)t.latency)
          return "estimates differ";
      }
    return "";
  }
};

/* A sequence stops at its first wrong event, so the number printed is the
   length of the shortest prefix that fails. */
TEST (service_policy_differential, every_decision_is_allowed)
{
  uint64_t seen[REASONS] = {};
  for (uint64_t seed = 1; seed <= SEQUENCES; seed++)
    {
      simulation w (seed);
      for (int i = 1; i <= EVENTS; i++)
        {
          const std::string wrong = w.event ();
          ASSERT_EQ (wrong, "") << "seed " << seed << ", shortest failing "
                                << "prefix " << i << " events";
        }
      for (int i = 0; i < REASONS; i++)
        seen[i] += w.seen[i];
      for (int i = 0; i < REASONS; i++)
        seen[i] += w.seen[i];
    }
  for (int i = 0; i < REASONS; i++)
    {
      const char *name = policy_reason_name ((policy_reason)i);
      RecordProperty (name, (int)seen[i]);
      EXPECT_GE (seen[i], MIN_SEEN) << name;
    }
}

}
