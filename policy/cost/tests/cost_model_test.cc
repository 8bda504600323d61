#include <gtest/gtest.h>

extern "C"
{
#include "policy/cost/cost_model.h"
#include "policy/cost/target_work.h"
}

namespace
{

constexpr int64_t SECOND_US = 1000000;

class CostModel : public testing::Test
{
protected:
  cost_model *model = cost_model_create ();

  ~CostModel () override
  {
    cost_model_destroy (model);
  }

  void
  observe (uint64_t request_class, uint64_t route, double work_us,
           int64_t now_us = 0, bool is_censored = false, double weight = 1)
  {
    const uint64_t keys[] = { request_class, route, 1 };
    const cost_sample sample
        = { .work_us = work_us, .is_censored = is_censored, .weight = weight };
    cost_model_observe (model, now_us, keys, &sample);
  }

  double
  expected (uint64_t request_class, uint64_t route)
  {
    const uint64_t keys[] = { request_class, route, 1 };
    return cost_model_expected_us (model, keys);
  }
};

/* Failure: a request of unknown work is treated as one without work. */
TEST_F (CostModel, UnknownKeysUseTheRouteThenTheService)
{
  EXPECT_EQ (expected (10, 2), 0);
  for (int i = 0; i < 50; i++)
    {
      observe (10, 2, 50000);
      observe (11, 3, 200000);
    }
  EXPECT_NEAR (expected (10, 2), 50000, 5000);
  EXPECT_NEAR (expected (11, 3), 200000, 10000);
  EXPECT_NEAR (expected (99, 2), expected (0, 2), 1);
  EXPECT_NEAR (expected (99, 2), 50000, 5000);
  EXPECT_NEAR (expected (99, 98), 125000, 25000);
}

/* Failure: the first sample of a new class, which may be one of the rare long
   requests, determines its mean. */
TEST_F (CostModel, NewKeyStartsFromTheMeanOfItsRoute)
{
  for (int i = 0; i < 50; i++)
    observe (10, 2, 100000);
  observe (12, 2, 700000);
  EXPECT_GT (expected (12, 2), 100000);
  EXPECT_LT (expected (12, 2), 250000);
}

/* Failure: after the work of a class changed, requests are placed by what it
   was minutes ago. */
TEST_F (CostModel, SamplesDecayWithTheHalfLife)
{
  for (int i = 0; i < 8; i++)
    observe (10, 2, 100000, 0);
  for (int i = 0; i < 4; i++)
    observe (10, 2, 200000, 10 * SECOND_US);
  /* Ten weights, the initial two included, have decayed to five. */
  EXPECT_NEAR (expected (10, 2), 100000 + 100000 * 4.0 / 9, 2000);
}

/* Failure: attempts that were given up make a class look cheap, or hung
   targets make it look expensive. */
TEST_F (CostModel, CensoredSampleOnlyRaisesTheMean)
{
  for (int i = 0; i < 10; i++)
    observe (10, 2, 100000);
  const double before_us = expected (10, 2);
  observe (10, 2, 50000, 0, true);
  EXPECT_EQ (expected (10, 2), before_us);
  observe (10, 2, 150000, 0, true, 0.1);
  EXPECT_GT (expected (10, 2), before_us);
  EXPECT_LT (expected (10, 2), before_us + 1000);
}

/* Failure: many workspaces let the model grow without bound, or evict the
   keys in use. */
TEST_F (CostModel, EvictsTheLeastRecentlyUsedKey)
{
  observe (10, 2, 50000);
  for (int i = 0; i < 20; i++)
    observe (10, 2, 50000);
  for (uint64_t key = 1000; key < 5000; key++)
    {
      observe (key, 3, 200000);
      if (key % 500 == 0)
        observe (10, 2, 50000);
    }
  EXPECT_EQ (cost_model_size (model), COST_MODEL_KEYS_MAX);
  EXPECT_LT (expected (10, 2), 70000);
  EXPECT_NEAR (expected (1000, 3), expected (0, 3), 1);
  for (uint64_t key = 4990; key < 5000; key++)
    EXPECT_GT (expected (key, 3), 150000);
}

/* Failure: a clock that jumps back or far ahead makes means infinite or
   negative, or stops learning. */
TEST_F (CostModel, SurvivesClockJumps)
{
  observe (10, 2, 100000, 100 * SECOND_US);
  observe (10, 2, 100000, -100 * SECOND_US);
  observe (10, 2, 100000, INT64_MAX / 4);
  observe (10, 2, 100000, 0);
  EXPECT_NEAR (expected (10, 2), 100000, 1);
  for (int i = 0; i < 20; i++)
    observe (10, 2, 300000, SECOND_US);
  EXPECT_GT (expected (10, 2), 250000);
}

TEST_F (CostModel, IgnoresSamplesWithoutWorkOrWeight)
{
  observe (10, 2, 0);
  observe (10, 2, -5);
  observe (10, 2, 100000, 0, false, 0);
  EXPECT_EQ (cost_model_size (model), 0u);
}

/* Failure: an attempt that has run longer than expected counts as almost
   done, so that more requests are sent to a target that works on a long one.
 */
TEST (WorkDistribution, LongAttemptIsExpectedToContinue)
{
  work_distribution d;
  work_distribution_init (&d);
  EXPECT_EQ (work_distribution_remaining (&d, 0), 1);
  EXPECT_EQ (work_distribution_remaining (&d, -1), 1);
  EXPECT_EQ (work_distribution_remaining (&d, 5), 0.5);
  for (int i = 0; i < 3000; i++)
    work_distribution_add (&d, i % 30 == 0 ? 7 : 0.5 + (i % 10) * 0.1);
  EXPECT_NEAR (work_distribution_remaining (&d, 0), 1.17, 0.1);
  EXPECT_LT (work_distribution_remaining (&d, 0.75), 1);
  EXPECT_NEAR (work_distribution_remaining (&d, 2), 5, 0.2);
  EXPECT_NEAR (work_distribution_remaining (&d, 6), 1, 0.2);
  EXPECT_EQ (work_distribution_remaining (&d, 1000), 0.5);
}

TEST (TargetWork, SlownessIsRelativeToTheMedian)
{
  target_work work = {};
  EXPECT_EQ (target_work_slowness (&work, 1, 0), 1);
  for (int i = 0; i < 100; i++)
    target_work_observe (&work, 0, 2);
  EXPECT_NEAR (target_work_slowness (&work, 1, 0), 1.8, 0.01);
  /* All targets are equally slow. */
  EXPECT_NEAR (target_work_slowness (&work, 2, 0), 1, 0.01);
  EXPECT_EQ (target_work_slowness (&work, 0, 0), 1);
  EXPECT_LT (target_work_slowness (&work, 1, 60 * SECOND_US), 1.1);
  EXPECT_NEAR (target_work_slowness (&work, 1, -60 * SECOND_US), 1.8, 0.01);
}

}
