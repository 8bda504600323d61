#include "policy/choice/tests/service_policy_fixture.h"

namespace
{

/* A target passes its health checks but fails all real requests.  Callers
   see errors until it is ejected; avoidance must not wait for that. */
TEST_F (service_policy_test, failing_target_gets_probes_only)
{
  start (10, 5);
  traffic (100, 3, true);
  ASSERT_TRUE (service_policy_target_status (policy, 3).suspect);
  const int got = traffic (200, 3, true);
  EXPECT_GT (got, 0);
  EXPECT_LT (got, 20);
}

/* A target begins to fail while it is slower than the others.  It is never
   chosen, so without probes it would never become a suspect nor be ejected. */
TEST_F (service_policy_test, failing_slower_target_is_detected)
{
  start (3, 5);
  for (int i = 0; i < 8; i++)
    for (uint32_t t = 0; t < 3; t++)
      end_attempt (t, ATTEMPT_ANSWERED, t == 1 ? 4000 : 1000);
  for (int i = 0;
       i < 3000 && !service_policy_target_status (policy, 1).suspect; i++)
    {
      now += 5000;
      const uint32_t t = admit (true).target;
      end_attempt (t, t == 1 ? ATTEMPT_FAILED : ATTEMPT_ANSWERED, 1000);
    }
  EXPECT_TRUE (service_policy_target_status (policy, 1).suspect);
}

/* A failing target is more expensive than any other.  Without probes it
   would not be tested while so many others are suspects that suspects
   aren't avoided. */
TEST_F (service_policy_test, failing_target_is_probed_while_most_are_suspects)
{
  start (3, 5);
  for (int i = 0; i < 8; i++)
    for (uint32_t t = 0; t < 3; t++)
      end_attempt (t, t == 1 ? ATTEMPT_FAILED : ATTEMPT_ANSWERED,
                   t == 2 ? 90000 : 1000);
  int tests = 0;
  for (int i = 0; i < 2400; i++)
    {
      now += 5000;
      const uint32_t t = admit (true).target;
      tests += t == 1;
      end_attempt (t, t == 1 ? ATTEMPT_FAILED : ATTEMPT_ANSWERED,
                   t == 2 ? 90000 : 1000);
    }
  EXPECT_GE (tests, 2);
}

/* An unrepeatable request can't be retried if its target fails, so its
   outcome stays unknown.  It must not be used as a probe. */
TEST_F (service_policy_test, unrepeatable_requests_do_not_probe_suspects)
{
  start (10, 5);
  traffic (100, 3, true);
  ASSERT_TRUE (service_policy_target_status (policy, 3).suspect);
  EXPECT_EQ (traffic (50, 3, false), 0);
}

/* An upstream fault makes most targets fail.  If all of them were avoided,
   no target would be left. */
TEST_F (service_policy_test, no_target_is_a_suspect_when_most_fail)
{
  start (4, 5);
  for (int i = 0; i < 400; i++)
    {
      now += 1000;
      const policy_decision d = admit (true);
      ASSERT_EQ (d.verdict, POLICY_SEND);
      end_attempt (d.target,
                   d.target == 0 ? ATTEMPT_ANSWERED : ATTEMPT_FAILED);
    }
  for (uint32_t i = 0; i < 4; i++)
    EXPECT_FALSE (service_policy_target_status (policy, i).suspect) << i;
}

TEST_F (service_policy_test, suspect_gets_requests_when_the_others_are_full)
{
  start (2, 1, 0);
  for (int i = 0; i < 8; i++)
    {
      const policy_decision a = admit (true);
      ASSERT_EQ (a.verdict, POLICY_SEND);
      const policy_decision b = admit (true);
      end_attempt (a.target, ATTEMPT_ANSWERED, a.target == 0 ? 50000 : 1000);
      end_attempt (b.target, ATTEMPT_ANSWERED, b.target == 0 ? 50000 : 1000);
      now += 100000;
    }
  ASSERT_TRUE (service_policy_target_status (policy, 0).suspect);
  EXPECT_EQ (admit (true).target, 1u);
  const policy_decision d = admit (true);
  EXPECT_EQ (d.verdict, POLICY_SEND);
  EXPECT_EQ (d.target, 0u);
}

TEST_F (service_policy_test, a_retry_goes_to_another_target)
{
  start (2, 50);
  for (int i = 0; i < 3; i++)
    EXPECT_EQ (admit (true, 1000000, { 0 }).target, 1u);
}

/* All slots are taken and the queue is as long as the deadline allows.  A
   caller that waited would get the same refusal, only later. */
TEST_F (service_policy_test, unservable_request_is_refused_immediately)
{
  start (1, 1);
  EXPECT_EQ (admit (true).verdict, POLICY_SEND);
  now += 10000;
  end_attempt (0, ATTEMPT_ANSWERED);
  EXPECT_EQ (admit (true).verdict, POLICY_SEND);
  EXPECT_EQ (admit (true, 100000).verdict, POLICY_QUEUE);
  const policy_decision d = admit (true, 15000);
  EXPECT_EQ (d.verdict, POLICY_REFUSE);
  EXPECT_EQ (d.reason, POLICY_REASON_TOO_LATE);
  EXPECT_EQ (d.retry_after_ms, 20u);
}

/* The queue is served at half the expected rate, as when every second attempt
   must be retried.  Guards against requests that are queued and then
   refused when their time is over. */
TEST_F (service_policy_test,
        queued_request_is_served_at_half_the_expected_rate)
{
  start (1, 1, 1000);
  EXPECT_EQ (admit (true).verdict, POLICY_SEND);
  now += 10000;
  end_attempt (0, ATTEMPT_ANSWERED);
  now += 200000; /* the latency has been learned */
  EXPECT_EQ (admit (true).verdict, POLICY_SEND);
  int queued = 0;
  while (admit (false, 1000000).verdict == POLICY_QUEUE)
    queued++;
  EXPECT_GT (queued, 10);
  policy_decision d;
  for (int served = 0; served < queued; served++)
    {
      now += 20000;
      end_attempt (0, ATTEMPT_ANSWERED, 20000);
      ASSERT_TRUE (service_policy_next (policy, now, &d));
      ASSERT_EQ (d.verdict, POLICY_SEND) << served << " of " << queued;
    }
}

/* A target with a rate limit was slow at first.  Guards against others that
   are chosen every time, while what it can still take is lost. */
TEST_F (service_policy_test, rate_limited_target_gets_what_it_allows)
{
  start (3, 10);
  end_attempt (admit (true).target, ATTEMPT_ANSWERED);
  for (uint32_t t = 0; t < 3; t++)
    for (int i = 0; i < 20; i++)
      end_attempt (t, ATTEMPT_ANSWERED, t == 0 ? 12000 : 5000);
  service_policy_set_rate (policy, now, 0, 950);
  const int64_t end = now + 4000000;
  int received = 0;
  while (now < end)
    {
      now += 5000;
      const uint32_t t = admit (true).target;
      ASSERT_NE (t, POLICY_NO_TARGET);
      received += t == 0;
      end_attempt (t, ATTEMPT_ANSWERED, t == 0 ? 12000 : 5000);
    }
  EXPECT_GE (received, 3);
  EXPECT_LE (received, 4);
}

/* The only target is ejected while requests are queued.  They must be
   refused immediately, not at their deadlines. */
TEST_F (service_policy_test, queued_requests_are_refused_without_targets)
{
  start (1, 1);
  ASSERT_EQ (admit (true).verdict, POLICY_SEND);
  ASSERT_EQ (admit (true).verdict, POLICY_QUEUE);
  ASSERT_EQ (admit (false).verdict, POLICY_QUEUE);
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

/* A target that was ejected comes back cold.  With its full share of
   requests it would fail again immediately. */
TEST_F (service_policy_test, a_returned_target_starts_slowly)
{
  start (4, 10);
  service_policy_set_ejected (policy, now, 0, true);
  traffic (10, POLICY_NO_TARGET, true);
  service_policy_set_ejected (policy, now, 0, false);
  EXPECT_TRUE (service_policy_target_status (policy, 0).warming);
  for (int i = 0; i < 30; i++)
    admit (true);
  EXPECT_LE (service_policy_target_status (policy, 0).in_flight, 1u);
  for (int i = 0; i < 9; i++)
    EXPECT_EQ (admit (true).verdict, POLICY_SEND);
}

/* After one failure a target costs most, so it would never be the best of
   two random ones.  Without requests its estimate isn't updated, and its
   capacity is lost although it is healthy. */
TEST_F (service_policy_test, a_single_failure_does_not_starve_a_target)
{
  start (10, 5);
  end_attempt (0, ATTEMPT_FAILED);
  int got = 0;
  for (int i = 0; i < 300; i++)
    {
      const uint32_t target = admit (true).target;
      got += target == 0;
      end_attempt (target, ATTEMPT_ANSWERED);
    }
  EXPECT_GT (got, 0);
}

/* Five slots in six become unavailable while the queue is long.  The last
   queued requests can't be served in time any more and must be refused
   immediately. */
TEST_F (service_policy_test, unservable_requests_are_refused_from_the_tail)
{
  start (6, 1);
  std::vector<uint32_t> sent;
  for (int i = 0; i < 6; i++)
    sent.push_back (admit (true).target);
  now += 10000;
  for (uint32_t t : sent)
    end_attempt (t, ATTEMPT_ANSWERED);
  for (int i = 0; i < 6; i++)
    admit (true);
  uint64_t last = 0;
  for (int i = 0; i < 20; i++)
    {
      const policy_decision d = admit (true, 90000);
      ASSERT_EQ (d.verdict, POLICY_QUEUE);
      last = d.request_id;
    }
  for (uint32_t t = 1; t < 6; t++)
    {
      service_policy_set_ejected (policy, now, t, true);
      end_attempt (t, ATTEMPT_ANSWERED);
    }
  policy_decision d;
  ASSERT_TRUE (service_policy_next (policy, now, &d));
  EXPECT_EQ (d.verdict, POLICY_REFUSE);
  EXPECT_EQ (d.request_id, last);
  EXPECT_GT (d.retry_after_ms, 0u);
}

/* A network partition separates the host from half of the targets, and no
   retry tokens remain.  A request whose first attempt couldn't be sent must
   not be refused, since trying another target adds no load.  The number of
   such attempts is limited. */
TEST_F (service_policy_test, unsent_attempt_costs_no_retry)
{
  start (8, 100);
  while (admit (true, 1000000, { 0 }).reason != POLICY_REASON_RETRY_BUDGET)
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
  /* An attempt that reached a target costs a retry. */
  r.attempt = 2;
  r.unsent = 0;
  r.after_unsent = false;
  EXPECT_EQ (service_policy_admit (policy, now, &r).reason,
             POLICY_REASON_RETRY_BUDGET);
  /* The retry consumed its token, and then couldn't be sent. */
  r.attempt = 3;
  r.unsent = 1;
  r.after_unsent = true;
  EXPECT_EQ (service_policy_admit (policy, now, &r).verdict, POLICY_SEND);
}

/* A request hangs at a target with a gray failure.  It is moved only if
   that helps: to an untried target with a free slot.  A request that can't
   be moved must not use up the retry budget. */
TEST_F (service_policy_test, hanging_request_fails_over_only_where_it_helps)
{
  start (2, 1);
  const policy_decision first = admit (true);
  policy_request r = {};
  r.id = first.request_id;
  r.deadline_us = now + 1000000;
  r.repeatable = true;
  r.attempt = 2;
  r.tried[r.tried_count++] = first.target;
  policy_decision d = {};
  const policy_decision busy = admit (true);
  for (int i = 0; i < 100; i++)
    EXPECT_FALSE (service_policy_admit_failover (policy, now, &r, &d));
  EXPECT_EQ (service_policy_in_flight (policy), 2u);
  end_attempt (busy.target, ATTEMPT_ANSWERED);
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
      end_attempt (busy.target, ATTEMPT_ANSWERED);
    }
  EXPECT_FALSE (service_policy_admit_failover (policy, now, &r, &d));
  EXPECT_EQ (service_policy_in_flight (policy), 1u);
}

}
