/** @file
 * Fixture of a service's policy; the test determines the targets' responses.
 */
#ifndef POLICY_CHOICE_TESTS_SERVICE_POLICY_FIXTURE_H
#define POLICY_CHOICE_TESTS_SERVICE_POLICY_FIXTURE_H

#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "policy/service_policy.h"
}

class service_policy_test : public ::testing::Test
{
protected:
  service_policy *policy = nullptr;
  int64_t now = 1000000;
  uint64_t next_id = 1;

  void
  start (uint32_t count, uint32_t slots, uint32_t queue = 100,
         uint32_t used_percent = 0)
  {
    const service_policy_options options
        = { 1, queue, 1000000, { 20, 3, 0.3, 3 }, 3, false, 0, used_percent,
            0, {} };
    policy = service_policy_create (&options);
    std::vector<policy_target> targets;
    for (uint32_t i = 0; i < count; i++)
      targets.push_back ({ i + 1, slots, 0, 0, false, true, -1 });
    service_policy_set_targets (policy, now, targets.data (), count);
  }
  void
  TearDown () override
  {
    service_policy_destroy (policy);
  }

  policy_decision
  admit (bool repeatable, int64_t remaining_us = 1000000,
         std::vector<uint32_t> tried = {})
  {
    policy_request r = {};
    r.id = next_id++;
    r.deadline_us = now + remaining_us;
    r.repeatable = repeatable;
    r.attempt = 1 + (uint32_t)tried.size ();
    for (uint32_t t : tried)
      r.tried[r.tried_count++] = t;
    return service_policy_admit (policy, now, &r);
  }
  void
  end_attempt (uint32_t target, attempt_end end, int64_t latency_us = 10000)
  {
    const policy_outcome o = { target, end, latency_us, true };
    service_policy_outcome (policy, now, &o);
  }
  /* Sends waves of ten concurrent requests, all of which fail at FAILING.
     Returns how many FAILING got. */
  int
  traffic (int waves, uint32_t failing, bool repeatable)
  {
    int failing_count = 0;
    for (int i = 0; i < waves; i++)
      {
        now += 10000;
        std::vector<uint32_t> sent;
        for (int j = 0; j < 10; j++)
          sent.push_back (admit (repeatable).target);
        for (uint32_t t : sent)
          {
            EXPECT_NE (t, POLICY_NO_TARGET);
            failing_count += t == failing;
            end_attempt (t, t == failing ? ATTEMPT_FAILED : ATTEMPT_ANSWERED);
          }
      }
    return failing_count;
  }
};

#endif
