/* Targets that want no requests from this host for a while. */
#include "policy/choice/tests/service_policy_fixture.h"

namespace
{

constexpr int64_t rest_us = 3000000;

/* A target that has asked for rest would be sent the requests that the others
   can't take, or be tried since it isn't used. */
TEST_F (service_policy_test, resting_target_gets_no_requests)
{
  start (3, 100);
  service_policy_set_rest (policy, now, 1, now + rest_us);
  const int64_t end = now + rest_us;
  for (int i = 0; now < end; i++)
    {
      const policy_decision d = admit (i % 2 == 0);
      ASSERT_EQ (d.verdict, POLICY_SEND);
      EXPECT_NE (d.target, 1u);
      end_attempt (d.target, ATTEMPT_ANSWERED, 1000);
      now += 5000;
    }
  EXPECT_FALSE (service_policy_acquire (policy, now - 5000, 1));
  int got = 0;
  for (int i = 0; i < 200; i++, now += 5000)
    {
      const policy_decision d = admit (true);
      got += d.target == 1;
      end_attempt (d.target, ATTEMPT_ANSWERED, 1000);
    }
  EXPECT_GT (got, 20) << "its rest is over";
}

/* Callers would wait for their deadline while no target may be used. */
TEST_F (service_policy_test, requests_are_refused_at_once_while_all_rest)
{
  start (3, 100);
  for (uint32_t t = 0; t < 3; t++)
    service_policy_set_rest (policy, now, t, now + rest_us - 1000000 * t);
  now += 400000;
  const policy_decision d = admit (false);
  EXPECT_EQ (d.verdict, POLICY_REFUSE);
  EXPECT_EQ (d.reason, POLICY_REASON_NO_TARGET);
  EXPECT_NEAR (d.retry_after_ms, 600, 1) << "the earliest end";
  now += 700000;
  EXPECT_EQ (admit (false).verdict, POLICY_SEND);
}

/* An earlier answer that arrives late, or a target that is ejected while it
   rests, must not end its rest, nor may its return be counted twice. */
TEST_F (service_policy_test, rest_holds_beside_ejection_and_earlier_ends)
{
  start (2, 100);
  service_policy_set_rest (policy, now, 0, now + rest_us);
  service_policy_set_rest (policy, now, 0, now + 1000);
  service_policy_set_ejected (policy, now, 0, true);
  now += 2000000;
  service_policy_set_ejected (policy, now, 0, false);
  EXPECT_FALSE (service_policy_acquire (policy, now, 0));
  service_policy_set_ejected (policy, now, 1, true);
  EXPECT_EQ (admit (true).verdict, POLICY_REFUSE);
  now += 1100000;
  EXPECT_EQ (admit (true).target, 0u);
}

} // namespace
