/* How many requests a host may have at a target at the same time. */
#include <gtest/gtest.h>

#include <queue>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/choice/slot_limit.h"
#include "policy/choice/usual_latency.h"
#include "policy/service_policy.h"
}

namespace
{

constexpr int64_t second_us = 1000000;

const slot_response slow = { 2000, 1000, 5, true };
const slot_response usual = { 1000, 1000, 5, true };

TEST (SlotLimit, FallsToTheFairShareAndRisesAgain)
{
  const slot_bounds bounds = { 2, 6 };
  slot_limit limit = {};
  EXPECT_EQ (slot_limit_value (&limit, &bounds), 6u);
  for (int i = 0; i < 100; i++)
    slot_limit_observe (&limit, &bounds, &slow);
  EXPECT_EQ (slot_limit_value (&limit, &bounds), 2u);
  for (int i = 0; i < 100; i++)
    slot_limit_observe (&limit, &bounds, &usual);
  EXPECT_EQ (slot_limit_value (&limit, &bounds), 6u);
}

/* Guards against a target that is slow for another reason than an overload:
   with a lower limit the host would have to use others that may fail. */
TEST (SlotLimit, StaysWhileTheHostKeepsToItsFairShare)
{
  const slot_bounds bounds = { 2, 6 };
  const slot_response few_here = { 5000, 1000, 2, true };
  const slot_response few_in_all = { 5000, 1000, 5, false };
  slot_limit limit = {};
  for (int i = 0; i < 100; i++)
    {
      slot_limit_observe (&limit, &bounds, &few_here);
      slot_limit_observe (&limit, &bounds, &few_in_all);
    }
  EXPECT_EQ (slot_limit_value (&limit, &bounds), 6u);
}

TEST (SlotLimit, StaysWithinBoundsThatChange)
{
  slot_bounds bounds = { 2, 6 };
  slot_limit limit = {};
  for (int i = 0; i < 100; i++)
    slot_limit_observe (&limit, &bounds, &slow);
  bounds = { 3, 4 };
  EXPECT_EQ (slot_limit_value (&limit, &bounds), 3u);
  bounds = { 3, 3 };
  EXPECT_EQ (slot_limit_value (&limit, &bounds), 3u);
}

/* Guards against an overload that is taken for the usual state after a few
   seconds. */
TEST (UsualLatency, OverloadDoesNotBecomeUsual)
{
  usual_latency latency = {};
  for (int i = 0; i < 100; i++)
    usual_latency_update (&latency, 600000, second_us / 10);
  for (int i = 0; i < 100; i++)
    usual_latency_update (&latency, 1600000, second_us / 10);
  EXPECT_LT (latency.latency_us, 1000000);
}

/* Work that takes longer for good must not be limited forever. */
TEST (UsualLatency, LastingChangeBecomesUsual)
{
  usual_latency latency = {};
  usual_latency_update (&latency, 600000, second_us);
  for (int i = 0; i < 1200; i++)
    usual_latency_update (&latency, 1600000, second_us / 10);
  EXPECT_GT (latency.latency_us, 1500000);
  for (int i = 0; i < 100; i++)
    usual_latency_update (&latency, 600000, second_us / 10);
  EXPECT_LT (latency.latency_us, 650000);
}

/** Targets with SLOTS slots and a queue, used by HOSTS hosts. */
class OverloadTest : public testing::Test
{
protected:
  static constexpr int hosts = 3;
  static constexpr int target_count = 4;
  static constexpr uint32_t slots = 6;
  static constexpr uint32_t share = 5;
  static constexpr int64_t work_us = 600000;
  static constexpr int64_t deadline_us = second_us; /* the shortest */
  static constexpr int64_t step_us = 5000;

  struct job
  {
    int host;
    uint64_t id;
    int64_t sent_us;
    int64_t end_us;
  };
  struct target
  {
    std::vector<job> running;
    std::queue<job> queued;
  };

  void
  SetUp () override
  {
    rng_seed (&random, 7);
    std::vector<policy_target> configs;
    for (uint32_t i = 0; i < target_count; i++)
      configs.push_back ({ i + 1, share, slots / hosts, 0, false, true, -1 });
    for (int i = 0; i < hosts; i++)
      {
        const service_policy_options options = { (uint64_t)i + 1,
                                                 1000,
                                                 1000000,
                                                 { 20, 3, 0.3, 3 },
                                                 3,
                                                 false,
                                                 0,
                                                 0,
                                                 0,
                                                 {} };
        policies.push_back (service_policy_create (&options));
        service_policy_set_targets (policies[i], now, configs.data (),
                                    configs.size ());
      }
  }

  void
  TearDown () override
  {
    for (service_policy *policy : policies)
      service_policy_destroy (policy);
  }

  void
  send (int host, const policy_decision &d)
  {
    if (d.verdict == POLICY_SEND)
      targets[d.target].queued.push ({ host, d.request_id, now, 0 });
  }

  void
  arrive (int host)
  {
    policy_request r = {};
    r.id = ++last_id;
    r.deadline_us = now + 8 * second_us;
    r.repeatable = false;
    r.attempt = 1;
    send (host, service_policy_admit (policies[host], now, &r));
  }

  void
  end_jobs (uint32_t number)
  {
    target &t = targets[number];
    for (size_t i = 0; i < t.running.size ();)
      {
        const job j = t.running[i];
        if (j.end_us > now)
          {
            i++;
            continue;
          }
        t.running.erase (t.running.begin () + (long)i);
        const policy_outcome o
            = { number, ATTEMPT_ANSWERED, now - j.sent_us, false };
        service_policy_outcome (policies[j.host], now, &o);
        ended++;
      }
    while (t.running.size () < slots && !t.queued.empty ())
      {
        job j = t.queued.front ();
        t.queued.pop ();
        const double factor = 0.7 + 0.6 * rng_unit (&random);
        j.end_us = now + (int64_t)(work_us * factor);
        started++;
        started_late += now - j.sent_us > deadline_us - work_us;
        t.running.push_back (j);
      }
  }

  /* Plays SECONDS with PER_S requests a second at each host. */
  void
  play (double seconds, double per_s)
  {
    const int64_t end_us = now + (int64_t)(seconds * second_us);
    for (; now < end_us; now += step_us)
      {
        for (int host = 0; host < hosts; host++)
          if (rng_unit (&random) < per_s * step_us / second_us)
            arrive (host);
        for (uint32_t i = 0; i < target_count; i++)
          end_jobs (i);
        policy_decision d;
        for (int host = 0; host < hosts; host++)
          while (service_policy_next (policies[host], now, &d))
            send (host, d);
      }
  }

  rng random;
  std::vector<service_policy *> policies;
  target targets[target_count];
  int64_t now = second_us;
  uint64_t last_id = 0;
  int ended = 0;
  int started = 0;
  int started_late
      = 0; /* so late that a deadline of twice the work is missed */
};

/* Guards against hosts that fill the queues of targets: requests with a short
   deadline would expire in them.  The hosts have twice as many requests as the
   targets can serve. */
TEST_F (OverloadTest, RequestsWaitAtHostsAndNotAtTargets)
{
  play (10, 5);
  play (5, 27);
  started = 0;
  started_late = 0;
  ended = 0;
  play (10, 27);
  EXPECT_LT (started_late, started / 10);
  const double capacity = 10.0 * target_count * slots * second_us / work_us;
  EXPECT_GT (ended, 0.9 * capacity);
}

/* A single busy host must be able to use all slots that it has a share of. */
TEST_F (OverloadTest, SingleBusyHostKeepsItsWholeShare)
{
  play (10, 5);
  const int64_t end_us = now + 10 * second_us;
  ended = 0;
  while (now < end_us)
    {
      for (int i = 0; i < 3; i++)
        arrive (0);
      play (0.05, 0);
    }
  const double capacity = 10.0 * target_count * share * second_us / work_us;
  EXPECT_GT (ended, 0.9 * capacity);
}

}
