#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "policy/choice/chooser.h"
}

namespace
{

class chooser_test : public ::testing::Test
{
protected:
  target_set set;
  struct rng random;
  std::vector<int> got;

  void
  start (uint32_t count)
  {
    rng_seed (&random, 23);
    target_set_init (&set);
    std::vector<policy_target> targets;
    for (uint32_t i = 0; i < count; i++)
      targets.push_back ({ i + 1, 10, 0, 0, false, true, -1 });
    target_set_replace (&set, 0, targets.data (), count, nullptr);
    for (uint32_t i = 0; i < count; i++)
      {
        set.targets[i].estimate = { 10000, 0, 0, 0, 100, 100 };
        set.targets[i].failure_rate = 0;
      }
    got.assign (count, 0);
  }
  void
  TearDown () override
  {
    target_set_clear (&set);
  }

  void
  choose (int times, std::vector<uint32_t> tried = {})
  {
    policy_request r = {};
    r.repeatable = true;
    for (uint32_t t : tried)
      r.tried[r.tried_count++] = t;
    for (int i = 0; i < times; i++)
      got[chooser_choose (&set, &random, CHOOSE_HEALTHY, &r, 0).target]++;
  }
};

TEST_F (chooser_test, equal_targets_share_evenly)
{
  start (10);
  choose (100000);
  for (int n : got)
    EXPECT_NEAR (n, 10000, 500);
}

TEST_F (chooser_test, cheaper_target_gets_more_without_starving_the_other)
{
  start (2);
  set.targets[0].estimate.latency_us = 12500;
  choose (10000);
  EXPECT_GT (got[0], 500);
  EXPECT_GT (got[1], 2 * got[0]);
}

TEST_F (chooser_test, target_of_twice_the_cost_is_not_chosen)
{
  start (3);
  set.targets[0].in_flight = 10;
  choose (10000);
  EXPECT_EQ (got[0], 0);
}

TEST_F (chooser_test, tried_targets_are_excluded_and_the_others_share)
{
  start (5);
  choose (30000, { 4, 1, 4 });
  EXPECT_EQ (got[1] + got[4], 0);
  for (int i : { 0, 2, 3 })
    EXPECT_NEAR (got[i], 10000, 500);
}

/* Traffic between data centres costs money.  The network path takes 1.5 ms
   of a response time of half a second, so by latency alone two thirds of all
   requests would use the other dc. */
TEST_F (chooser_test, subset_targets_are_preferred_unless_worse)
{
  start (3);
  set.backup_cost_percent = 50;
  set.targets[1].config.distance_us = 1500;
  set.targets[1].config.is_backup = true;
  set.targets[2].config.distance_us = 1500;
  set.targets[2].config.is_backup = true;
  set.targets[1].estimate.latency_us = 500000;
  set.targets[2].estimate.latency_us = 500000;
  set.targets[0].estimate.latency_us = 500000;
  choose (1000);
  EXPECT_EQ (got[0], 1000);
  set.targets[0].failure_rate = 0.5;
  choose (1000);
  EXPECT_EQ (got[0], 1000);
}

/* One target in thirty belongs to this host's subset: sixteen random ones
   of all targets would often include none of it. */
TEST_F (chooser_test, a_small_subset_is_found_among_many_targets)
{
  start (300);
  std::vector<policy_target> targets;
  for (uint32_t i = 0; i < 300; i++)
    targets.push_back ({ i + 1, 10, 0, 0, i % 30 != 0, true, -1 });
  target_set_replace (&set, 0, targets.data (), 300, nullptr);
  set.backup_cost_percent = 50;
  choose (1000);
  int own = 0;
  for (uint32_t i = 0; i < 300; i += 30)
    own += got[i];
  EXPECT_EQ (own, 1000);
  /* All targets of the subset fail, so any other is better. */
  for (uint32_t i = 0; i < 300; i += 30)
    set.targets[i].failure_rate = 0.75;
  got.assign (300, 0);
  choose (1000);
  for (uint32_t i = 0; i < 300; i += 30)
    EXPECT_EQ (got[i], 0);
}

TEST_F (chooser_test, all_cost_components_count)
{
  start (2);
  const target_state *t = &set.targets[0];
  const double plain = chooser_cost_us (&set, t, 0, true);
  set.targets[0].failure_rate = 0.5;
  const double failing = chooser_cost_us (&set, t, 0, true);
  EXPECT_GT (failing, plain);
  EXPECT_GT (chooser_cost_us (&set, t, 0, false), failing);
  EXPECT_EQ (chooser_expected_response_us (&set, t), 20000);
  set.targets[0].warm_up_start_us = 0;
  EXPECT_NEAR (chooser_cost_us (&set, t, TARGET_WARM_UP_US / 2, true),
               2 * failing, 1);
  set.targets[0].estimate = {};
  set.targets[0].failure_rate = 0;
  set.targets[0].config.distance_us = 1500;
  EXPECT_NEAR (chooser_cost_us (&set, t, TARGET_WARM_UP_US, true),
               1000 + 2 * 1500, 1);
}

}
