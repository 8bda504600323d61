#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "policy/service_policy.h"
}

namespace
{
constexpr int64_t step_us = 1000;

class path_fault_test : public ::testing::Test
{
protected:
  service_policy *policy = nullptr;
  int64_t now = 1000000;
  uint64_t next_id = 1;

  void
  start (uint32_t count)
  {
    const service_policy_options options
        = { 1, 100, 1000000, { 20, 3, 0.3, 3 }, 3, false, 0, 0, 0, {} };
    policy = service_policy_create (&options);
    std::vector<policy_target> targets;
    for (uint32_t i = 0; i < count; i++)
      targets.push_back ({ i + 1, 2, 0, 0, false, true, -1 });
    service_policy_set_targets (policy, now, targets.data (), count);
  }
  void
  TearDown () override
  {
    service_policy_destroy (policy);
  }
  policy_decision
  admit (bool repeatable, int64_t remaining_us = 1000000)
  {
    policy_request r = {};
    r.id = next_id++;
    r.deadline_us = now + remaining_us;
    r.repeatable = repeatable;
    r.attempt = 1;
    return service_policy_admit (policy, now, &r);
  }
  // Sends one request after another, all answered; returns how many target 0
  // got.
  int
  traffic (int count, bool repeatable)
  {
    int got = 0;
    for (int i = 0; i < count; i++)
      {
        now += step_us;
        const policy_decision d = admit (repeatable);
        EXPECT_EQ (d.verdict, POLICY_SEND);
        got += d.target == 0;
        const policy_outcome o = { d.target, ATTEMPT_ANSWERED, 900, true };
        service_policy_outcome (policy, now, &o);
      }
    return got;
  }
};

// Without the report, each host of a dc would find the fault only through
// errors that its callers see, though the first one has reported it to the
// owner.
TEST_F (path_fault_test, target_behind_a_faulty_path_gets_probes_only)
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

// If a dc sees most targets fail, the fault is its own; it must keep
// serving.
TEST_F (path_fault_test, all_serve_when_most_paths_are_faulty)
{
  start (4);
  for (uint32_t t = 0; t < 3; t++)
    service_policy_set_avoided (policy, now, t, true);
  EXPECT_GT (traffic (400, true), 50);
}

// All other targets are full and the deadline is near, so an unrepeatable
// request would be sent over the faulty path.
TEST_F (path_fault_test, unrepeatable_requests_avoid_the_faulty_path)
{
  start (2);
  traffic (50, true);
  service_policy_set_avoided (policy, now, 0, true);
  for (int i = 0; i < 2; i++)
    ASSERT_EQ (admit (false).target, 1u);
  int refused = 0;
  for (int i = 0; i < 40; i++)
    {
      const policy_decision d = admit (false, 4000);
      EXPECT_NE (d.verdict, POLICY_SEND);
      refused += d.reason == POLICY_REASON_TOO_LATE;
    }
  EXPECT_GT (refused, 0);
}
}
