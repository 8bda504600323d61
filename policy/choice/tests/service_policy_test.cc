#include "policy/choice/tests/service_policy_fixture.h"

namespace
{

/* A target answers its health checks and fails all real work.  Callers see
 * errors until it is taken out; avoidance must not wait for that. */
TEST_F (service_policy_test, a_failing_target_gets_a_trickle_only)
{
  start (10, 5);
  traffic (100, 3, true);
  ASSERT_TRUE (service_policy_target_status (policy, 3).suspect);
  const int got = traffic (200, 3, true);
  EXPECT_GT (got, 0);
  EXPECT_LT (got, 20);
}

/* Guards against a target that begins to fail while it is slower than the
 * others: nobody chooses it, so it is never a suspect and never ejected. */
TEST_F (service_policy_test, a_slower_target_that_begins_to_fail_is_noticed)
{
  start (3, 5);
  for (int i = 0; i < 8; i++)
    for (uint32_t t = 0; t < 3; t++)
      end (t, ATTEMPT_ANSWERED, t == 1 ? 4000 : 1000);
  for (int i = 0;
       i < 3000 && !service_policy_target_status (policy, 1).suspect; i++)
    {
      now += 5000;
      const uint32_t t = ask (true).target;
      end (t, t == 1 ? ATTEMPT_FAILED : ATTEMPT_ANSWERED, 1000);
    }
  EXPECT_TRUE (service_policy_target_status (policy, 1).suspect);
}

/* Guards against a failing target that nobody tests while as many others are
 * suspects that these aren't avoided: it costs more than any other. */
TEST_F (service_policy_test,
        a_failing_target_is_tested_while_most_are_suspects)
{
  start (3, 5);
  for (int i = 0; i < 8; i++)
    for (uint32_t t = 0; t < 3; t++)
      end (t, t == 1 ? ATTEMPT_FAILED : ATTEMPT_ANSWERED,
           t == 2 ? 90000 : 1000);
  int tests = 0;
  for (int i = 0; i < 2400; i++)
    {
      now += 5000;
      const uint32_t t = ask (true).target;
      tests += t == 1;
      end (t, t == 1 ? ATTEMPT_FAILED : ATTEMPT_ANSWERED,
           t == 2 ? 90000 : 1000);
    }
  EXPECT_GE (tests, 2);
}

/* A disbursement sent to a half-dead target can't be sent again, so nobody
 * learns what became of it.  It must not be what tests the target. */
TEST_F (service_policy_test, an_unrepeatable_request_is_no_test_of_a_suspect)
{
  start (10, 5);
  traffic (100, 3, true);
  ASSERT_TRUE (service_policy_target_status (policy, 3).suspect);
  EXPECT_EQ (traffic (50, 3, false), 0);
}

/* A fault upstream makes most targets fail.  If all of them were avoided,
 * nothing would be left to serve. */
TEST_F (service_policy_test, nobody_is_a_suspect_when_most_fail)
{
  start (4, 5);
  for (int i = 0; i < 400; i++)
    {
      now += 1000;
      const policy_decision d = ask (true);
      ASSERT_EQ (d.verdict, POLICY_SEND);
      end (d.target, d.target == 0 ? ATTEMPT_ANSWERED : ATTEMPT_FAILED);
    }
  for (uint32_t i = 0; i < 4; i++)
    EXPECT_FALSE (service_policy_target_status (policy, i).suspect) << i;
}

TEST_F (service_policy_test, a_suspect_gets_real_work_when_the_rest_is_full)
{
  start (2, 1, 0);
  for (int i = 0; i < 8; i++)
    {
      const policy_decision a = ask (true);
      ASSERT_EQ (a.verdict, POLICY_SEND);
      const policy_decision b = ask (true);
      end (a.target, ATTEMPT_ANSWERED, a.target == 0 ? 50000 : 1000);
      end (b.target, ATTEMPT_ANSWERED, b.target == 0 ? 50000 : 1000);
      now += 100000;
    }
  ASSERT_TRUE (service_policy_target_status (policy, 0).suspect);
  EXPECT_EQ (ask (true).target, 1u);
  const policy_decision d = ask (true);
  EXPECT_EQ (d.verdict, POLICY_SEND);
  EXPECT_EQ (d.target, 0u);
}

TEST_F (service_policy_test, a_retry_goes_to_another_target)
{
  start (2, 50);
  for (int i = 0; i < 3; i++)
    EXPECT_EQ (ask (true, 1000000, { 0 }).target, 1u);
}

/* All slots are taken and the queue is as long as the deadline allows.  A
 * caller kept waiting would get the same refusal, only later. */
TEST_F (service_policy_test, what_can_not_finish_is_refused_at_once)
{
  start (1, 1);
  EXPECT_EQ (ask (true).verdict, POLICY_SEND);
  now += 10000;
  end (0, ATTEMPT_ANSWERED);
  EXPECT_EQ (ask (true).verdict, POLICY_SEND);
  EXPECT_EQ (ask (true, 100000).verdict, POLICY_QUEUE);
  const policy_decision d = ask (true, 15000);
  EXPECT_EQ (d.verdict, POLICY_REFUSE);
  EXPECT_EQ (d.reason, POLICY_REASON_TOO_LATE);
  EXPECT_EQ (d.retry_after_ms, 20u);
}

/* The only target is ejected while requests wait for it.  Each of them must
 * hear so now and not at its deadline. */
TEST_F (service_policy_test, those_who_wait_hear_that_no_target_is_left)
{
  start (1, 1);
  ASSERT_EQ (ask (true).verdict, POLICY_SEND);
  ASSERT_EQ (ask (true).verdict, POLICY_QUEUE);
  ASSERT_EQ (ask (false).verdict, POLICY_QUEUE);
  service_policy_set_ejected (policy, now, 0, true);
  EXPECT_EQ (service_policy_wake_us (policy), now);
  policy_decision d;
  for (int i = 0; i < 2; i++)
    {
      ASSERT_TRUE (service_policy_next (policy, now, &d));
      EXPECT_EQ (d.verdict, POLICY_REFUSE);
      EXPECT_EQ (d.reason, POLICY_REASON_NO_TARGET);
    }
  EXPECT_FALSE (service_policy_next (policy, now, &d));
  EXPECT_EQ (service_policy_wake_us (policy), INT64_MAX);
}

/* A target that was out comes back cold.  Given its full share at once, it
 * fails again at once. */
TEST_F (service_policy_test, a_returned_target_starts_slowly)
{
  start (4, 10);
  service_policy_set_ejected (policy, now, 0, true);
  traffic (10, POLICY_NO_TARGET, true);
  service_policy_set_ejected (policy, now, 0, false);
  EXPECT_TRUE (service_policy_target_status (policy, 0).warming);
  for (int i = 0; i < 30; i++)
    ask (true);
  EXPECT_LE (service_policy_target_status (policy, 0).in_flight, 1u);
  for (int i = 0; i < 9; i++)
    EXPECT_EQ (ask (true).verdict, POLICY_SEND);
}

/* One failure makes a target the dearest of equals, so two random targets
 * never end in it.  It gets no work, nothing more is learnt of it, and its
 * capacity is lost though it is well. */
TEST_F (service_policy_test, a_single_failure_does_not_starve_a_target)
{
  start (10, 5);
  end (0, ATTEMPT_FAILED);
  int got = 0;
  for (int i = 0; i < 300; i++)
    {
      const uint32_t target = ask (true).target;
      got += target == 0;
      end (target, ATTEMPT_ANSWERED);
    }
  EXPECT_GT (got, 0);
}

/* Five slots in six go out of service while the queue is long.  The last of
 * those who wait can't be served in time any more and must hear so now. */
TEST_F (service_policy_test, a_queue_that_lost_its_chance_is_cut_from_behind)
{
  start (6, 1);
  std::vector<uint32_t> sent;
  for (int i = 0; i < 6; i++)
    sent.push_back (ask (true).target);
  now += 10000;
  for (uint32_t t : sent)
    end (t, ATTEMPT_ANSWERED);
  for (int i = 0; i < 6; i++)
    ask (true);
  uint64_t last = 0;
  for (int i = 0; i < 20; i++)
    {
      const policy_decision d = ask (true, 50000);
      ASSERT_EQ (d.verdict, POLICY_QUEUE);
      last = d.request_id;
    }
  for (uint32_t t = 1; t < 6; t++)
    {
      service_policy_set_ejected (policy, now, t, true);
      end (t, ATTEMPT_ANSWERED);
    }
  policy_decision d;
  ASSERT_TRUE (service_policy_next (policy, now, &d));
  EXPECT_EQ (d.verdict, POLICY_REFUSE);
  EXPECT_EQ (d.request_id, last);
  EXPECT_GT (d.retry_after_ms, 0u);
}

/* Ways to half of the targets are cut, and there are no retries left.  A
 * request whose first try found no way is refused, though it is no load for
 * anybody to ask another target: it is asked, a bounded number of times. */
TEST_F (service_policy_test, a_try_that_reached_no_target_costs_no_retry)
{
  start (8, 100);
  while (ask (true, 1000000, { 0 }).reason != POLICY_REASON_RETRY_BUDGET)
    ;
  policy_request r = {};
  r.id = 1000;
  r.deadline_us = now + 1000000;
  r.attempt = 1;
  for (uint32_t i = 0; i < POLICY_UNSENT_MAX; i++)
    {
      r.attempt++;
      r.unsent++;
      r.after_unsent = true;
      EXPECT_EQ (service_policy_admit (policy, now, &r).verdict, POLICY_SEND);
    }
  r.attempt++;
  r.unsent++;
  EXPECT_EQ (service_policy_admit (policy, now, &r).reason,
             POLICY_REASON_ATTEMPTS);
  /* One that did reach a target costs one. */
  r.attempt = 2;
  r.unsent = 0;
  r.after_unsent = false;
  EXPECT_EQ (service_policy_admit (policy, now, &r).reason,
             POLICY_REASON_RETRY_BUDGET);
  /* It was paid for, and then found no way. */
  r.attempt = 3;
  r.unsent = 1;
  r.after_unsent = true;
  EXPECT_EQ (service_policy_admit (policy, now, &r).verdict, POLICY_SEND);
}

/* A page hangs at a gray target.  It goes elsewhere only where that helps: to
 * an untried target with a free slot, and what can't go takes no retry from
 * those that can. */
TEST_F (service_policy_test, what_hangs_goes_elsewhere_only_where_it_helps)
{
  start (2, 1);
  const policy_decision first = ask (true);
  policy_request r = {};
  r.id = first.request_id;
  r.deadline_us = now + 1000000;
  r.repeatable = true;
  r.attempt = 2;
  r.tried[r.tried_count++] = first.target;
  policy_decision d = {};
  const policy_decision busy = ask (true);
  for (int i = 0; i < 100; i++)
    EXPECT_FALSE (service_policy_admit_failover (policy, now, &r, &d));
  EXPECT_EQ (service_policy_in_flight (policy), 2u);
  end (busy.target, ATTEMPT_ANSWERED);
  r.repeatable = false;
  EXPECT_FALSE (service_policy_admit_failover (policy, now, &r, &d));
  r.repeatable = true;
  r.attempt = 4;
  EXPECT_FALSE (service_policy_admit_failover (policy, now, &r, &d));
  r.attempt = 2;
  for (int i = 0; i < 3; i++)
    {
      EXPECT_TRUE (service_policy_admit_failover (policy, now, &r, &d)) << i;
      EXPECT_EQ (d.verdict, POLICY_SEND);
      EXPECT_EQ (d.target, busy.target);
      end (busy.target, ATTEMPT_ANSWERED);
    }
  EXPECT_FALSE (service_policy_admit_failover (policy, now, &r, &d));
  EXPECT_EQ (service_policy_in_flight (policy), 1u);
}

}
