#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "policy/service_policy.h"
}

namespace
{
constexpr int64_t step_us = 1000;

class avoided_test : public ::testing::Test
{
protected:
  service_policy *policy = nullptr;
  int64_t now = 1000000;
  uint64_t next_id = 1;

  void
  start (uint32_t count)
  {
    const service_policy_options options
        = { 1, 100, 1000000, { 20, 3, 0.3, 3 }, 3, false, 0, 0, 0 };
    policy = service_policy_create (&options);
    std::vector<policy_target> targets;
    for (uint32_t i = 0; i < count; i++)
      targets.push_back ({ i + 1, 2, 0, false, true, -1 });
    service_policy_set_targets (policy, now, targets.data (), count);
  }
  void
  TearDown () override
  {
    service_policy_destroy (policy);
  }
  policy_decision
  ask (bool repeatable, int64_t left_us = 1000000)
  {
    policy_request r = {};
    r.id = next_id++;
    r.deadline_us = now + left_us;
    r.repeatable = repeatable;
    r.attempt = 1;
    return service_policy_admit (policy, now, &r);
  }
  // One request after another, all answered; how many target 0 got.
  int
  traffic (int count, bool repeatable)
  {
    int got = 0;
    for (int i = 0; i < count; i++)
      {
        now += step_us;
        const policy_decision d = ask (repeatable);
        EXPECT_EQ (d.verdict, POLICY_SEND);
        got += d.target == 0;
        const policy_outcome o = { d.target, ATTEMPT_ANSWERED, 900, true };
        service_policy_outcome (policy, now, &o);
      }
    return got;
  }
};

// Each host of a dc would find out alone, by its callers' errors, what the
// first of them has told the owner.
TEST_F (avoided_test, a_target_behind_a_bad_path_gets_a_trickle)
{
  start (4);
  EXPECT_GT (traffic (400, true), 50);
  service_policy_set_avoided (policy, now, 0, true);
  EXPECT_TRUE (service_policy_target_status (policy, 0).suspect);
  const int got = traffic (400, true);
  EXPECT_GT (got, 0);
  EXPECT_LT (got, 20);
  EXPECT_EQ (traffic (400, false), 0);
  service_policy_set_avoided (policy, now, 0, false);
  EXPECT_GT (traffic (400, true), 50);
}

// A dc that sees most targets fail is itself at fault: it must not stop.
TEST_F (avoided_test, when_most_are_behind_bad_paths_all_serve)
{
  start (4);
  for (uint32_t t = 0; t < 3; t++)
    service_policy_set_avoided (policy, now, t, true);
  EXPECT_GT (traffic (400, true), 50);
}

// A payment would go into the bad path: all others are full, and its deadline
// is near.
TEST_F (avoided_test, unrepeatable_work_never_goes_there)
{
  start (2);
  traffic (50, true);
  service_policy_set_avoided (policy, now, 0, true);
  for (int i = 0; i < 2; i++)
    ASSERT_EQ (ask (false).target, 1u);
  int refused = 0;
  for (int i = 0; i < 40; i++)
    {
      const policy_decision d = ask (false, 4000);
      EXPECT_NE (d.verdict, POLICY_SEND);
      refused += d.reason == POLICY_REASON_TOO_LATE;
    }
  EXPECT_GT (refused, 0);
}
}
