/* Admission by precedence, without a network: the order of the queue, who is
   displaced, and which retries are allowed. */
#include <algorithm>
#include <tuple>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "base/rng.h"
#include "policy/choice/wait_queue.h"
#include "policy/service_policy.h"
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

/* The earliest deadline goes first only while it can be met: sending a request
   that has expired would waste the slot. */
TEST_F (Precedence, ExpiredRequestIsRefusedNotSent)
{
  start (100);
  const uint64_t expired = queue (0, 100 * MS), other = queue (0, 5 * S);
  now += 101 * MS;
  end_attempt ();
  policy_decision d = {};
  ASSERT_TRUE (service_policy_next (policy, now, &d));
  EXPECT_EQ (d.request_id, expired);
  EXPECT_EQ (d.reason, POLICY_REASON_TOO_LATE);
  ASSERT_TRUE (service_policy_next (policy, now, &d));
  EXPECT_EQ (d.request_id, other);
  EXPECT_EQ (d.verdict, POLICY_SEND);
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

}
