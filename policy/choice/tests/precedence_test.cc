/* Admission by precedence, without a network: who is served, queued, displaced
   or retried while a service has too little capacity. */
#include <algorithm>

#include "policy/choice/tests/precedence_simulation.h"

extern "C"
{
#include "policy/choice/precedence_levels.h"
#include "policy/choice/wait_queue.h"
}

namespace
{

constexpr int64_t MS = 1000, S = 1000000;

policy_modes
modes (bool by_precedence)
{
  policy_modes m = {};
  m.by_precedence = by_precedence;
  return m;
}

class Precedence : public ::testing::Test
{
protected:
  service_policy *policy = nullptr;
  int64_t now = S;
  uint64_t next_id = 1;

  /* One target with one slot, which the first request takes; the latency of
     earlier requests was 10 ms. */
  void
  start (uint32_t queue, uint32_t queue_bytes = 1000000,
         retry_limits retries = { 0, 8, 0, 8 })
  {
    const service_policy_options options
        = { 1, queue, queue_bytes, retries, 3, false, 0, 0, 0, modes (true) };
    policy = service_policy_create (&options);
    const policy_target target = { 1, 1, 0, 0, false, true, -1 };
    service_policy_set_targets (policy, now, &target, 1);
    for (uint32_t precedence : { 0, 1, 2 })
      {
        EXPECT_EQ (admit (precedence).verdict, POLICY_SEND);
        now += 10 * MS;
        end_attempt ();
      }
    EXPECT_EQ (admit (0).verdict, POLICY_SEND);
  }
  void
  TearDown () override
  {
    service_policy_destroy (policy);
  }
  policy_decision
  admit (uint32_t precedence, int64_t remaining_us = S, uint32_t bytes = 0,
         uint32_t attempt = 1)
  {
    policy_request r = {};
    r.id = next_id++;
    r.deadline_us = now + remaining_us;
    r.queued_bytes = bytes;
    r.repeatable = true;
    r.attempt = attempt;
    r.precedence = precedence;
    return service_policy_admit (policy, now, &r);
  }
  uint64_t
  queue (uint32_t precedence, int64_t remaining_us = S, uint32_t bytes = 0)
  {
    const policy_decision d = admit (precedence, remaining_us, bytes);
    EXPECT_EQ (d.verdict, POLICY_QUEUE) << policy_reason_name (d.reason);
    return d.request_id;
  }
  void
  end_attempt ()
  {
    const policy_outcome o = { 0, ATTEMPT_ANSWERED, 10 * MS, true };
    service_policy_outcome (policy, now, &o);
  }
  /* The queued request that is sent when the slot becomes free. */
  uint64_t
  next_sent ()
  {
    now += 10 * MS;
    end_attempt ();
    policy_decision d = {};
    EXPECT_TRUE (service_policy_next (policy, now, &d));
    EXPECT_EQ (d.verdict, POLICY_SEND) << policy_reason_name (d.reason);
    return d.request_id;
  }
};

/* Queue order: without it, an urgent request waits behind a burst. */
TEST_F (Precedence, LowerNumbersGoFirstThenEarlierDeadlines)
{
  start (100);
  const uint64_t third = queue (2), second = queue (1, 900 * MS),
                 first = queue (1, 800 * MS), zero = queue (0);
  EXPECT_EQ (next_sent (), zero);
  EXPECT_EQ (next_sent (), first);
  EXPECT_EQ (next_sent (), second);
  EXPECT_EQ (next_sent (), third);
}

/* A request behind many less urgent ones was refused as too late. */
TEST_F (Precedence, ExpectedWaitCountsOnlyRequestsAhead)
{
  start (100);
  for (int i = 0; i < 20; i++)
    queue (1);
  const policy_decision d = admit (0, 60 * MS);
  EXPECT_EQ (d.verdict, POLICY_QUEUE);
  EXPECT_EQ (d.expected_wait_us, 10 * MS);
  const policy_decision late = admit (2, 60 * MS);
  EXPECT_EQ (late.verdict, POLICY_REFUSE);
  EXPECT_EQ (late.reason, POLICY_REASON_TOO_LATE);
}

/* A queue full of less urgent requests must not refuse an urgent one, and
   the displaced request must learn of it at once. */
TEST_F (Precedence, FullQueueDisplacesTheLastOfAHigherNumber)
{
  start (3);
  queue (1);
  queue (2);
  const uint64_t last = queue (2, 1100 * MS);
  const uint64_t urgent = queue (0);
  EXPECT_LE (service_policy_wake_us (policy), now);
  policy_decision d = {};
  ASSERT_TRUE (service_policy_next (policy, now, &d));
  EXPECT_EQ (d.request_id, last);
  EXPECT_EQ (d.verdict, POLICY_REFUSE);
  EXPECT_EQ (d.reason, POLICY_REASON_DISPLACED);
  /* Three others of its or a lower number are queued before it returns. */
  EXPECT_EQ (d.retry_after_ms, 40u);
  EXPECT_EQ (service_policy_queued (policy), 3u);
  EXPECT_FALSE (service_policy_next (policy, now, &d));
  EXPECT_EQ (next_sent (), urgent);
}

/* Displacing an equal would only exchange one refusal for another. */
TEST_F (Precedence, EqualsAndMoreUrgentRequestsAreNotDisplaced)
{
  start (2);
  queue (0);
  queue (1);
  for (uint32_t precedence : { 1, 2 })
    EXPECT_EQ (admit (precedence).reason, POLICY_REASON_QUEUE_FULL);
  policy_decision d = {};
  EXPECT_FALSE (service_policy_next (policy, now, &d));
}

/* A large body may need the space of several requests; if that isn't enough,
   none of them may be lost. */
TEST_F (Precedence, DisplacesForBytesOnlyIfThatIsEnough)
{
  start (100, 1000);
  for (int i = 0; i < 3; i++)
    queue (2, S, 200);
  queue (1, S, 400);
  EXPECT_EQ (admit (1, S, 700).reason, POLICY_REASON_QUEUE_FULL);
  EXPECT_EQ (service_policy_queued (policy), 4u);
  queue (1, S, 400);
  policy_decision d = {};
  int displaced = 0;
  while (service_policy_next (policy, now, &d))
    displaced += d.reason == POLICY_REASON_DISPLACED;
  EXPECT_EQ (displaced, 2);
}

/* The caller of a displaced request may go away before it is told. */
TEST_F (Precedence, CancelledRefusalOfADisplacedRequestIsDropped)
{
  start (1);
  const uint64_t displaced = queue (2);
  queue (0);
  service_policy_cancel_queued (policy, displaced);
  policy_decision d = {};
  EXPECT_FALSE (service_policy_next (policy, now, &d));
  EXPECT_EQ (service_policy_queued (policy), 1u);
}

/* A retry whose caller doesn't wait must not displace anyone. */
TEST_F (Precedence, RequestThatKeepsTheQueueDisplacesNone)
{
  start (1);
  queue (2);
  policy_request r = {};
  r.id = next_id++;
  r.deadline_us = now + S;
  r.repeatable = r.keeps_queue = true;
  r.attempt = 1;
  EXPECT_EQ (service_policy_admit (policy, now, &r).reason,
             POLICY_REASON_QUEUE_FULL);
  EXPECT_EQ (service_policy_queued (policy), 1u);
}

/* Later requests that go first may leave a queued one no time.  It must be
   refused then, not held until its deadline. */
TEST_F (Precedence, OvertakenRequestIsRefusedBeforeItsDeadline)
{
  start (100);
  const uint64_t id = queue (2, 300 * MS);
  for (int i = 0; i < 70; i++)
    queue (0, 5 * S);
  policy_decision d = {};
  ASSERT_TRUE (service_policy_next (policy, now, &d));
  EXPECT_EQ (d.request_id, id);
  EXPECT_EQ (d.reason, POLICY_REASON_DISPLACED);
  EXPECT_GE (d.retry_after_ms, 700u);
}

/* Starvation: after half of its time a request goes one level up. */
TEST_F (Precedence, PromotedByOneLevelAfterHalfOfItsTime)
{
  start (100);
  const uint64_t promoted = queue (2, 400 * MS);
  now += 150 * MS;
  policy_decision d = {};
  EXPECT_FALSE (service_policy_next (policy, now, &d));
  const uint64_t one = queue (1, 5 * S);
  EXPECT_EQ (next_sent (), one);
  now += 50 * MS;
  const uint64_t other = queue (1, 5 * S), zero = queue (0, 5 * S);
  EXPECT_EQ (next_sent (), zero);
  EXPECT_EQ (next_sent (), promoted);
  EXPECT_EQ (next_sent (), other);
}

/* Scarce retries: a quarter of the bucket for each lower number. */
TEST_F (Precedence, RetryTokensAreReservedForLowerNumbers)
{
  start (100);
  const auto granted = [&] (uint32_t precedence) {
    int count = 0;
    while (admit (precedence, S, 0, 2).verdict != POLICY_REFUSE)
      count++;
    return count;
  };
  EXPECT_EQ (granted (2), 4);
  EXPECT_EQ (admit (2, S, 0, 2).reason, POLICY_REASON_RETRY_RESERVED);
  EXPECT_EQ (granted (1), 2);
  EXPECT_EQ (granted (0), 2);
  EXPECT_EQ (admit (2, S, 0, 2).reason, POLICY_REASON_RETRY_BUDGET);
}

/* Numbers that no request has must not keep retries from the others. */
TEST_F (Precedence, BucketIsUsedWholeWithASingleNumber)
{
  start (100);
  now += 11 * S;
  end_attempt ();
  EXPECT_EQ (admit (2).verdict, POLICY_SEND);
  int granted = 0;
  while (admit (2, S, 0, 2).verdict != POLICY_REFUSE)
    granted++;
  EXPECT_EQ (granted, 8);
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

/* The order must hold over pushes, removals and promotions in both lanes. */
TEST (PrecedenceQueue, OrderMatchesASortedList)
{
  struct expected
  {
    uint32_t level;
    int64_t expires;
    uint64_t id;
    bool repeatable;
    bool
    operator<(const expected &o) const
    {
      return std::tie (level, expires, id)
             < std::tie (o.level, o.expires, o.id);
    }
  };
  struct rng rng;
  rng_seed (&rng, 9);
  struct wait_queue q;
  wait_queue_init (&q);
  wait_queue_set_limits (&q, 40, 1000);
  std::vector<expected> list;
  for (uint64_t id = 1; id < 20000; id++)
    {
      const size_t i = list.empty () ? 0 : rng_below (&rng, list.size ());
      const uint64_t roll = rng_below (&rng, 10);
      if (roll < 5 && list.size () < 40)
        {
          policy_request r = {};
          r.id = id;
          r.repeatable = rng_below (&rng, 2) == 0;
          r.precedence = (uint32_t)rng_below (&rng, 4);
          const auto expires = (int64_t)rng_below (&rng, 50);
          const expected e = { r.precedence, expires, id, r.repeatable };
          const auto ahead = (uint32_t)std::count_if (
              list.begin (), list.end (), [&] (auto &l) { return l < e; });
          ASSERT_EQ (wait_queue_ahead_of_new (&q, r.precedence, expires),
                     ahead);
          wait_queue_push (&q, &r, expires, expires / 2);
          list.push_back (e);
        }
      else if (roll < 8 && !list.empty ())
        {
          wait_queue_remove (&q, wait_queue_find (&q, list[i].id));
          list.erase (list.begin () + (long)i);
        }
      else if (!list.empty () && list[i].level > 0)
        wait_queue_promote (&q, wait_queue_find (&q, list[i].id),
                            --list[i].level);
      std::vector<expected> sorted = list;
      std::sort (sorted.begin (), sorted.end ());
      uint32_t lanes[2] = {};
      for (uint32_t n = 0; n < sorted.size (); n++)
        {
          const bool repeatable = sorted[n].repeatable;
          const uint32_t e = wait_queue_ordered (
              &q, repeatable ? LANE_REPEATABLE : LANE_UNREPEATABLE,
              lanes[repeatable]++);
          ASSERT_EQ (q.entries[e].request.id, sorted[n].id) << "step " << id;
          ASSERT_EQ (wait_queue_ahead (&q, e), n);
        }
      if (sorted.empty ())
        continue;
      const uint32_t last = wait_queue_ordered_last (&q, 0);
      ASSERT_EQ (q.entries[last].request.id, sorted.back ().id);
      const uint32_t first
          = wait_queue_ordered (&q, wait_queue_first_lane (&q), 0);
      ASSERT_EQ (q.entries[first].request.id, sorted[0].id);
    }
  wait_queue_clear (&q);
}

/* The targets serve 400 requests/s.  Lookups and submits need half of that,
   uploads a fifth and in their burst twice all of it. */
precedence_simulation
burst_of_uploads (bool by_precedence)
{
  precedence_simulation s;
  s.kinds = { { 0, 60, 20 * MS, 500 * MS, true },
              { 1, 140, 20 * MS, 800 * MS, false },
              { 2, 80, 20 * MS, S, false, 10 } };
  s.options.queue_requests = 60;
  s.options.modes.by_precedence = by_precedence;
  s.run (30 * S);
  return s;
}

/* A burst of a less urgent kind takes the capacity of the others. */
TEST (PrecedenceLoad, BurstOfALessUrgentKind)
{
  const precedence_simulation before = burst_of_uploads (false);
  const precedence_simulation s = burst_of_uploads (true);
  for (int i = 0; i < 3; i++)
    {
      std::printf ("precedence %d: served %.3f without, %.3f with; "
                   "displaced %.0f\n",
                   i, before.results[i].share (), s.results[i].share (),
                   s.results[i].displaced);
      EXPECT_LE (s.results[i].longest_refusal_us, s.kinds[i].deadline_us);
    }
  EXPECT_LT (before.results[0].share (), 0.9);
  EXPECT_GE (s.results[0].share (), 0.98);
  EXPECT_GE (s.results[1].share (), 0.95);
  EXPECT_GT (s.results[2].displaced, 0);
  EXPECT_GT (s.results[2].share (), 0.25 * s.results[0].share ());
}

/* Urgent requests alone exceed the capacity.  Each kind must still get a
   quarter of the share of all. */
TEST (PrecedenceLoad, NoKindStarves)
{
  precedence_simulation s;
  s.kinds = { { 0, 700, 20 * MS, 500 * MS, true },
              { 1, 60, 20 * MS, 800 * MS, false },
              { 2, 30, 20 * MS, S, false },
              { 4, 10, 20 * MS, 2 * S, false } };
  s.options.queue_requests = 60;
  s.options.modes.by_precedence = true;
  s.run (30 * S);
  double arrived = 0, served = 0;
  for (auto &result : s.results)
    {
      arrived += result.arrived;
      served += result.served;
    }
  for (size_t i = 0; i < s.kinds.size (); i++)
    {
      std::printf ("precedence %u: served %.3f of all %.3f\n",
                   s.kinds[i].precedence, s.results[i].share (),
                   served / arrived);
      EXPECT_GE (s.results[i].share (), 0.25 * served / arrived);
      EXPECT_LE (s.results[i].share (), s.results[0].share () + 0.05);
    }
}

/* All targets shed 0.55 of the requests for 8.5 s, more than retries can
   make up for.  The retries must go to the urgent kind first. */
TEST (PrecedenceLoad, RetriesWhileAllTargetsShed)
{
  precedence_simulation results[2];
  for (int i = 0; i < 2; i++)
    {
      precedence_simulation &s = results[i];
      s.kinds = { { 0, 60, 10 * MS, 2 * S, true },
                  { 1, 100, 10 * MS, 2 * S, true },
                  { 2, 100, 10 * MS, 2 * S, true } };
      s.shed_share = 0.55;
      s.targets = 8;
      s.options.modes.by_precedence = i == 1;
      s.run (8500 * MS);
    }
  for (int i = 0; i < 3; i++)
    std::printf ("precedence %d: served %.3f without, %.3f with; retries "
                 "%.0f, %.0f; reserved %.0f\n",
                 i, results[0].results[i].share (),
                 results[1].results[i].share (), results[0].results[i].retries,
                 results[1].results[i].retries,
                 results[1].results[i].reserved);
  const auto &r = results[1].results;
  EXPECT_GT (r[0].share (), results[0].results[0].share () + 0.1);
  EXPECT_GE (r[0].share (), r[1].share ());
  EXPECT_GE (r[1].share (), r[2].share () - 0.02);
  EXPECT_EQ (r[0].reserved, 0);
  EXPECT_GT (r[2].reserved, 0);
  /* The reservation must not leave retries unused. */
  const auto total = [] (const std::vector<simulated_result> &of) {
    return of[0].retries + of[1].retries + of[2].retries;
  };
  EXPECT_GE (total (r), 0.85 * total (results[0].results));
}

}
