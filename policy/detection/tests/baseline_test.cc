#include <gtest/gtest.h>

extern "C"
{
#include "policy/detection/baseline.h"
}

namespace
{

/* Learns from two minutes of ten targets with 19 requests a second each;
   the first BAD of them fail half of their requests, the others one in a
   hundred. */
baseline
learn (uint32_t bad)
{
  baseline_target targets[10] = {};
  const baseline_target *pointers[10];
  for (int i = 0; i < 10; i++)
    pointers[i] = &targets[i];
  baseline_rank order[10];
  baseline learned;
  baseline_init (&learned);
  for (int second = 1; second <= 120; second++)
    {
      for (uint32_t i = 0; i < 10; i++)
        {
          detection_evidence e{};
          e.requests = 19;
          bool fails = i < bad || (second + i) % 5 == 0;
          e.failures = !fails ? 0 : i < bad ? 10 : 1;
          e.latency[12] = e.requests - e.failures;
          baseline_target_add (&targets[i], &e);
        }
      baseline_learn (&learned, second * 1000000, pointers, 10, order);
      for (baseline_target &target : targets)
        baseline_target_decay (&target, 1000000);
    }
  return learned;
}

/* While ejection is paused, failing targets stay in service for minutes.  If
   they raised the baseline, no target could be evaluated as bad any more. */
TEST (Baseline, FailingTargetsDontShiftIt)
{
  for (uint32_t bad = 0; bad <= 4; bad++)
    {
      baseline learned = learn (bad);
      EXPECT_TRUE (learned.ready);
      EXPECT_GT (learned.failures, 0.009) << bad;
      EXPECT_LT (learned.failures, 0.02) << bad;
    }
}

/* If most targets fail, their share of failures becomes the baseline. */
TEST (Baseline, FollowsMostTargets)
{
  EXPECT_GT (learn (10).failures, 0.15);
}

}
