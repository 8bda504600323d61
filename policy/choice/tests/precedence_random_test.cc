/* Admission by precedence over random events: no effect where it is off or all
   requests are equal, and no request lost where it isn't. */
#include <map>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "base/rng.h"
#include "policy/service_policy.h"
}

namespace
{

constexpr int64_t S = 1000000;

policy_modes
modes (bool by_precedence)
{
  policy_modes m = {};
  m.by_precedence = by_precedence;
  return m;
}

/* Other deployments must not notice the code: with equal numbers, or without
   the mode, every decision equals that without either. */
void
compare_decisions (bool mode, const std::vector<uint32_t> &precedences)
{
  struct rng rng;
  rng_seed (&rng, 5);
  service_policy *policies[2];
  std::vector<policy_target> targets;
  for (uint32_t i = 0; i < 5; i++)
    targets.push_back ({ i + 1, 2, 0, 0, i == 4, true, -1 });
  for (int i = 0; i < 2; i++)
    {
      const service_policy_options options
          = { 3, 12, 4000, { 20, 3, 1, 3 },       3, false,
              0, 50, 0,    modes (i == 1 && mode) };
      policies[i] = service_policy_create (&options);
      service_policy_set_targets (policies[i], S, targets.data (), 5);
    }
  int64_t now = S;
  std::vector<std::pair<policy_request, uint32_t>> sent;
  std::map<uint64_t, policy_request> queued;
  const auto check = [&] (const policy_decision &a, const policy_decision &b) {
    ASSERT_EQ (a.verdict, b.verdict);
    ASSERT_EQ (a.reason, b.reason);
    ASSERT_EQ (a.target, b.target);
    ASSERT_EQ (a.request_id, b.request_id);
    ASSERT_EQ (a.expected_wait_us, b.expected_wait_us);
    ASSERT_EQ (a.retry_after_ms, b.retry_after_ms);
  };
  const auto admit = [&] (policy_request r) {
    policy_request plain = r;
    plain.precedence = 0;
    const auto a = service_policy_admit (policies[0], now, &plain);
    const auto b = service_policy_admit (policies[1], now, &r);
    check (a, b);
    if (a.verdict == POLICY_SEND)
      sent.push_back ({ r, a.target });
    else if (a.verdict == POLICY_QUEUE)
      queued[r.id] = r;
  };
  for (uint64_t step = 1; step < 100000 && !::testing::Test::HasFailure ();
       step++)
    {
      now += (int64_t)rng_below (&rng, 1500);
      if (rng_below (&rng, 2) == 0 || sent.empty ())
        {
          policy_request r = {};
          r.id = step;
          r.deadline_us = now + (int64_t)rng_below (&rng, 60000);
          r.queued_bytes = (uint32_t)rng_below (&rng, 1000);
          r.repeatable = rng_below (&rng, 3) != 0;
          r.attempt = 1;
          r.precedence = precedences[rng_below (&rng, precedences.size ())];
          admit (r);
        }
      else
        {
          const size_t i = rng_below (&rng, sent.size ());
          auto [r, target] = sent[i];
          sent.erase (sent.begin () + (long)i);
          const policy_outcome o
              = { target,
                  rng_below (&rng, 4) == 0 ? ATTEMPT_FAILED : ATTEMPT_ANSWERED,
                  8000, r.repeatable };
          for (auto *policy : policies)
            service_policy_outcome (policy, now, &o);
          if (o.end == ATTEMPT_FAILED && r.repeatable && r.attempt < 4)
            {
              r.attempt++;
              r.tried[r.tried_count++] = target;
              admit (r);
            }
        }
      policy_decision a, b;
      for (;;)
        {
          const bool has = service_policy_next (policies[0], now, &a);
          ASSERT_EQ (service_policy_next (policies[1], now, &b), has);
          if (!has)
            break;
          check (a, b);
          if (a.verdict == POLICY_SEND)
            sent.push_back ({ queued[a.request_id], a.target });
        }
      ASSERT_EQ (service_policy_wake_us (policies[0]),
                 service_policy_wake_us (policies[1]));
    }
  for (auto *policy : policies)
    service_policy_destroy (policy);
}

TEST (PrecedenceUnchanged, WithEqualNumbers)
{
  compare_decisions (true, { 2 });
}

TEST (PrecedenceUnchanged, WithoutTheMode)
{
  compare_decisions (false, { 0, 1, 2 });
}

/* Requests must not be lost or decided twice while they are displaced,
   promoted or cancelled, targets change, and the mode is turned on and off. */
TEST (PrecedenceRandom, EveryRequestEndsOnce)
{
  uint64_t displaced = 0;
  for (uint64_t seed = 1; seed <= 100; seed++)
    {
      struct rng rng;
      rng_seed (&rng, seed);
      service_policy_options options = {
        seed, 8, 4000, { 20, 3, 1, 3 }, 3, false, 0, 0, 0, modes (true)
      };
      service_policy *policy = service_policy_create (&options);
      std::vector<policy_target> targets;
      for (uint32_t i = 0; i < 4; i++)
        targets.push_back ({ i + 1, 1, 0, 0, false, true, -1 });
      int64_t now = S;
      service_policy_set_targets (policy, now, targets.data (), 4);
      std::map<uint64_t, policy_request> waiting;
      std::vector<std::pair<policy_request, uint32_t>> sent;
      const auto apply
          = [&] (const policy_request &r, const policy_decision &d) {
              displaced += d.reason == POLICY_REASON_DISPLACED;
              if (d.verdict == POLICY_SEND)
                sent.push_back ({ r, d.target });
              if (d.verdict == POLICY_QUEUE)
                waiting[r.id] = r;
              ASSERT_TRUE (d.verdict != POLICY_REFUSE
                           || d.reason == POLICY_REASON_NO_TARGET
                           || d.retry_after_ms > 0);
            };
      for (uint64_t id = 1; id < 3000; id++)
        {
          now += (int64_t)rng_below (&rng, 4000);
          const uint64_t roll = rng_below (&rng, 100);
          if (roll < 55)
            {
              policy_request r = {};
              r.id = id;
              r.deadline_us = now + (int64_t)rng_below (&rng, 100000);
              r.queued_bytes = (uint32_t)rng_below (&rng, 1000);
              r.repeatable = rng_below (&rng, 2) == 0;
              r.attempt = 1;
              r.precedence = (uint32_t)rng_below (&rng, 4) * 7;
              apply (r, service_policy_admit (policy, now, &r));
            }
          else if (roll < 90 && !sent.empty ())
            {
              const size_t i = rng_below (&rng, sent.size ());
              const policy_outcome o
                  = { sent[i].second,
                      rng_below (&rng, 5) == 0 ? ATTEMPT_SHED
                                               : ATTEMPT_ANSWERED,
                      8000, true };
              policy_request r = sent[i].first;
              sent.erase (sent.begin () + (long)i);
              service_policy_outcome (policy, now, &o);
              r.attempt++;
              r.tried[0] = o.target;
              r.tried_count = 1;
              if (o.end == ATTEMPT_SHED)
                apply (r, service_policy_admit (policy, now, &r));
            }
          else if (roll < 94 && !waiting.empty ())
            {
              const auto at = waiting.lower_bound (rng_below (&rng, id));
              if (at == waiting.end ())
                continue;
              service_policy_cancel_queued (policy, at->first);
              waiting.erase (at);
            }
          else if (roll < 95)
            {
              options.modes.by_precedence = rng_below (&rng, 4) != 0;
              options.queue_requests = (uint32_t)rng_below (&rng, 30);
              service_policy_configure (policy, &options);
            }
          else if (roll < 97)
            service_policy_set_ejected (policy, now,
                                        (uint32_t)rng_below (&rng, 4),
                                        rng_below (&rng, 2) == 0);
          policy_decision d;
          while (rng_below (&rng, 8) != 0
                 && service_policy_next (policy, now, &d))
            {
              ASSERT_EQ (waiting.count (d.request_id), 1u) << seed;
              const policy_request r = waiting[d.request_id];
              waiting.erase (r.id);
              apply (r, d);
            }
          ASSERT_LE (service_policy_queued (policy), waiting.size ());
          ASSERT_TRUE (waiting.empty ()
                       || service_policy_wake_us (policy) != INT64_MAX);
        }
      policy_decision d;
      now += S;
      while (service_policy_next (policy, now, &d))
        ASSERT_EQ (waiting.erase (d.request_id), 1u) << seed;
      ASSERT_TRUE (waiting.empty ()) << seed;
      service_policy_destroy (policy);
    }
  EXPECT_GE (displaced, 1000u);
}

}
