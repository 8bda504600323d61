/* Failures of a choice by expected work. */
#include <map>
#include <random>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "policy/choice/chooser.h"
#include "policy/choice/service_cost.h"
#include "policy/choice/target_cost.h"
#include "policy/service_policy.h"
}

namespace
{

constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;
constexpr uint64_t SHORT = 101;
constexpr uint64_t LONG = 102;

class PlacementByCost : public testing::Test
{
protected:
  ~PlacementByCost () override
  {
    service_policy_destroy (policy);
  }

  void
  create (uint32_t count, uint32_t slots, bool by_cost = true)
  {
    service_policy_options options = {};
    options.seed = 1;
    options.queue_requests = 100;
    options.queue_bytes = 1 << 20;
    options.attempts = 3;
    options.modes.by_cost = by_cost;
    policy = service_policy_create (&options);
    targets.resize (count);
    for (uint32_t i = 0; i < count; i++)
      {
        targets[i].key = i + 1;
        targets[i].slots = slots;
        targets[i].accepts_work = true;
      }
    put_targets ();
  }

  void
  put_targets ()
  {
    service_policy_set_targets (policy, now_us, targets.data (),
                                targets.size ());
  }

  policy_request
  request (uint64_t request_class, bool repeatable = true)
  {
    policy_request r = {};
    r.id = ++last_id;
    r.deadline_us = now_us + 5 * SECOND;
    r.repeatable = repeatable;
    r.attempt = 1;
    r.cost_keys[0] = request_class;
    r.cost_keys[1] = 10;
    r.cost_keys[2] = 1;
    return r;
  }

  policy_decision
  admit (uint64_t request_class, bool repeatable = true)
  {
    const policy_request r = request (request_class, repeatable);
    return service_policy_admit (policy, now_us, &r);
  }

  void
  end (uint64_t request_class, uint32_t target, attempt_end how,
       int64_t latency_us)
  {
    const policy_outcome outcome = { target, how, latency_us, true };
    const uint64_t keys[POLICY_COST_KEYS] = { request_class, 10, 1 };
    service_policy_learn_work (policy, now_us, &outcome, keys);
    service_policy_outcome (policy, now_us, &outcome);
  }

  /** COUNT requests one after another, answered after LATENCY_US. */
  void
  learn (uint64_t request_class, int64_t latency_us, int count)
  {
    for (int i = 0; i < count; i++)
      {
        const policy_decision d = admit (request_class);
        ASSERT_EQ (d.verdict, POLICY_SEND);
        now_us += latency_us;
        end (request_class, d.target, ATTEMPT_ANSWERED, latency_us);
      }
  }

  target_set *
  set ()
  {
    return &policy->set;
  }

  chooser_work_cost
  cost_at (uint32_t target, const policy_request &r, double work_us)
  {
    return chooser_cost_by_work (set (), &set ()->targets[target], now_us, &r,
                                 work_us);
  }

  service_policy *policy = nullptr;
  std::vector<policy_target> targets;
  int64_t now_us = SECOND;
  uint64_t last_id = 0;
};

/* Failure: a short request waits behind a long one although another target is
   about to become free. */
TEST_F (PlacementByCost, PrefersTheTargetWithLessRemainingWork)
{
  create (2, 4);
  learn (SHORT, 20 * MS, 100);
  learn (LONG, 400 * MS, 30);
  const policy_decision busy = admit (LONG);
  EXPECT_NEAR (busy.expected_cost_us, 400 * MS, 40 * MS);
  const uint32_t other = 1 - busy.target;
  for (int i = 0; i < 3; i++)
    {
      const policy_decision d = admit (SHORT);
      EXPECT_NEAR (d.expected_cost_us, 20 * MS, 5 * MS);
      EXPECT_EQ (d.target, other);
    }
}

/* Failure: requests that can't be in time at one target are late, although
   another one would have answered in time. */
TEST_F (PlacementByCost, InTimeAtABackupBeatsLateAtOwnTarget)
{
  create (2, 1);
  learn (SHORT, 100 * MS, 40);
  targets[1].is_backup = true;
  put_targets ();
  set ()->backup_cost_percent = 900;
  /* Target 0 is slow: its work takes four times as long. */
  for (int i = 0; i < 200; i++)
    {
      target_work_observe (&set ()->targets[0].work, now_us, 4);
      target_work_observe (&set ()->targets[1].work, now_us, 1);
    }
  set ()->median_work_ratio = 1;
  policy_request r = request (SHORT);
  const double work_us = 100.0 * MS;
  EXPECT_LT (cost_at (0, r, work_us).cost_us, cost_at (1, r, work_us).cost_us);
  struct rng random;
  rng_seed (&random, 1);
  EXPECT_EQ (
      chooser_choose (set (), &random, CHOOSE_HEALTHY, &r, now_us).target, 0u);
  r.goal_us = now_us + 200 * MS;
  EXPECT_TRUE (cost_at (0, r, work_us).is_late);
  EXPECT_FALSE (cost_at (1, r, work_us).is_late);
  EXPECT_EQ (
      chooser_choose (set (), &random, CHOOSE_HEALTHY, &r, now_us).target, 1u);
  /* Late at both: the cheaper one. */
  r.goal_us = now_us + 1;
  EXPECT_EQ (
      chooser_choose (set (), &random, CHOOSE_HEALTHY, &r, now_us).target, 0u);
}

/* Failure: a target that fails at once never has work left, so it looks
   cheapest and attracts the requests of all callers. */
TEST_F (PlacementByCost, TargetThatFailsFastIsNotCheap)
{
  for (const bool repeatable : { true, false })
    {
      create (8, 2);
      int sent[8] = {};
      std::mt19937 random (7);
      struct Open
      {
        uint32_t target;
        int64_t start_us;
        bool fails;
      };
      std::multimap<int64_t, Open> open;
      for (int i = 0; i < 4000; i++)
        {
          const int64_t next_us = now_us + 10 * MS;
          while (!open.empty () && open.begin ()->first <= next_us)
            {
              const auto [end_us, o] = *open.begin ();
              open.erase (open.begin ());
              now_us = end_us;
              end (SHORT, o.target,
                   o.fails ? ATTEMPT_FAILED : ATTEMPT_ANSWERED,
                   end_us - o.start_us);
            }
          now_us = next_us;
          const policy_decision d = admit (SHORT, repeatable);
          ASSERT_EQ (d.verdict, POLICY_SEND);
          const bool fails = d.target == 0 && random () % 100 < 85;
          sent[d.target]++;
          open.insert (
              { now_us + (fails ? 2 : 60) * MS, { d.target, now_us, fails } });
        }
      /* A fair share is an eighth. */
      EXPECT_LT (sent[0], 4000 / 8 / 2) << repeatable;
      service_policy_destroy (policy);
      policy = nullptr;
    }
}

/* Failure: as above, while the target isn't avoided as a suspect yet. */
TEST_F (PlacementByCost, FailuresCostMoreThanTheWorkLeftElsewhere)
{
  create (2, 2);
  learn (SHORT, 60 * MS, 50);
  const policy_decision busy = admit (SHORT);
  target_state *idle = &set ()->targets[1 - busy.target];
  idle->failure_rate = 0.4;
  for (const bool repeatable : { true, false })
    {
      const policy_request r = request (SHORT, repeatable);
      EXPECT_GT (cost_at (1 - busy.target, r, 60.0 * MS).cost_us,
                 cost_at (busy.target, r, 60.0 * MS).cost_us);
    }
  /* A failure costs as much for a request of little work. */
  const policy_request r = request (SHORT);
  EXPECT_GT (cost_at (1 - busy.target, r, 1.0 * MS).cost_us, 60 * MS);
}

/* Failure: when all targets become slower together, because of what is behind
   them, some are taken for slow or failing and the rest is overloaded. */
TEST_F (PlacementByCost, AllTargetsSlowingDownTogetherStayInUse)
{
  create (8, 4);
  std::multimap<int64_t, std::pair<uint32_t, int64_t>> open;
  int sent[8] = {};
  for (int i = 0; i < 4000; i++)
    {
      const int64_t latency_us = i < 2000 ? 50 * MS : 200 * MS;
      const int64_t next_us = now_us + 12 * MS;
      while (!open.empty () && open.begin ()->first <= next_us)
        {
          const auto [end_us, attempt] = *open.begin ();
          open.erase (open.begin ());
          now_us = end_us;
          end (SHORT, attempt.first, ATTEMPT_ANSWERED,
               end_us - attempt.second);
        }
      now_us = next_us;
      const policy_decision d = admit (SHORT);
      ASSERT_EQ (d.verdict, POLICY_SEND);
      sent[d.target] += i >= 2000;
      open.insert ({ now_us + latency_us, { d.target, now_us } });
      if (i % 100 != 0)
        continue;
      for (uint32_t t = 0; t < 8; t++)
        {
          const target_state *state = &set ()->targets[t];
          ASSERT_FALSE (state->slow) << i << " " << t;
          ASSERT_FALSE (state->failing) << i << " " << t;
          ASSERT_NEAR (target_work_slowness (
                           &state->work, set ()->median_work_ratio, now_us),
                       1, 0.25)
              << i << " " << t;
        }
    }
  for (const int count : sent)
    EXPECT_GT (count, 2000 / 8 / 2);
  /* The work is learned anew. */
  EXPECT_NEAR (admit (SHORT).expected_cost_us, 200 * MS, 40 * MS);
}

/* Failure: of targets that become slower together, those used first have the
   higher mean times for a while, and seem slower than the others. */
TEST_F (PlacementByCost, OrderOfUseDuringASlowdownIsNotSlowness)
{
  create (8, 2);
  learn (SHORT, 50 * MS, 400);
  for (int i = 0; i < 400; i++)
    {
      learn (SHORT, 200 * MS, 1);
      for (uint32_t t = 0; t < 8; t++)
        {
          const target_state *state = &set ()->targets[t];
          ASSERT_NEAR (target_work_slowness (
                           &state->work, set ()->median_work_ratio, now_us),
                       1, 0.25)
              << i << " " << t;
        }
    }
}

/* Failure: a time before the previous one makes ages and costs negative, so
   that one target gets all requests. */
TEST_F (PlacementByCost, ClockJumpsLeaveCostsValid)
{
  create (4, 4);
  learn (SHORT, 50 * MS, 100);
  const policy_decision open = admit (LONG);
  const policy_request r = request (SHORT);
  for (const int64_t jump_us : { -100 * SECOND, 100000 * SECOND, -SECOND })
    {
      now_us += jump_us;
      for (uint32_t i = 0; i < 4; i++)
        {
          const double cost_us = cost_at (i, r, 50.0 * MS).cost_us;
          EXPECT_TRUE (std::isfinite (cost_us)) << jump_us;
          EXPECT_GE (cost_us, 10.0 * MS) << jump_us;
        }
      EXPECT_GT (cost_at (open.target, r, 50.0 * MS).cost_us, 50.0 * MS);
      int sent[4] = {};
      for (int i = 0; i < 8; i++)
        {
          const policy_decision d = admit (SHORT);
          ASSERT_EQ (d.verdict, POLICY_SEND) << jump_us;
          sent[d.target]++;
          EXPECT_GT (d.expected_cost_us, 10u * MS);
          EXPECT_LT (d.expected_cost_us, 500u * MS);
        }
      for (uint32_t i = 0; i < 4; i++)
        {
          EXPECT_LT (sent[i], 5);
          for (int n = 0; n < sent[i]; n++)
            end (SHORT, i, ATTEMPT_ANSWERED, 50 * MS);
        }
    }
}

/* Failure: the work of a process that is gone counts at its successor, which
   stays idle. */
TEST_F (PlacementByCost, RestartedTargetHasNoRemainingWork)
{
  create (2, 8);
  learn (LONG, 400 * MS, 50);
  uint32_t open[2] = {};
  for (int i = 0; i < 6; i++)
    open[admit (LONG).target]++;
  EXPECT_EQ (open[0], 3u);
  const policy_request r = request (LONG);
  EXPECT_GT (cost_at (0, r, 400.0 * MS).cost_us, 440.0 * MS);
  targets[0].key = 77;
  put_targets ();
  EXPECT_LT (cost_at (0, r, 400.0 * MS).cost_us, 440.0 * MS);
  for (int i = 0; i < 2; i++)
    EXPECT_EQ (admit (LONG).target, 0u);
}

/* Failure: work that other hosts reported stays after it is done, when their
   reports are lost or the host that sent them is gone. */
TEST_F (PlacementByCost, RemoteWorkExpiresAfterASecond)
{
  create (2, 4);
  learn (SHORT, 50 * MS, 100);
  const target_state *t = &set ()->targets[0];
  const policy_request r = request (SHORT);
  const double idle_us = cost_at (0, r, 50.0 * MS).cost_us;
  service_policy_note_remote_work (policy, now_us, 0, 8 * SECOND);
  EXPECT_EQ (target_cost_remote_work_us (t, now_us), 8 * SECOND);
  EXPECT_GT (cost_at (0, r, 50.0 * MS).cost_us, idle_us + 1 * SECOND);
  for (int i = 0; i < 4; i++)
    EXPECT_EQ (admit (SHORT).target, 1u);
  now_us += SECOND;
  EXPECT_EQ (target_cost_remote_work_us (t, now_us), 4 * SECOND);
  now_us += 1;
  EXPECT_EQ (target_cost_remote_work_us (t, now_us), 0);
  service_policy_note_remote_work (policy, now_us, 0, 400 * MS);
  now_us += 100 * MS;
  EXPECT_EQ (target_cost_remote_work_us (t, now_us), 0);
}

/* Failure: a repeated report counts twice, or a delayed one after a jump of
   the clock for ever. */
TEST_F (PlacementByCost, RepeatedReportsAndClockJumpsDoNoHarm)
{
  create (2, 4);
  learn (SHORT, 50 * MS, 100);
  const policy_request r = request (SHORT);
  const double idle_us = cost_at (0, r, 50.0 * MS).cost_us;
  service_policy_note_remote_work (policy, now_us, 0, 400 * MS);
  const double once_us = cost_at (0, r, 50.0 * MS).cost_us;
  service_policy_note_remote_work (policy, now_us, 0, 400 * MS);
  EXPECT_EQ (cost_at (0, r, 50.0 * MS).cost_us, once_us);
  now_us -= 10 * SECOND;
  EXPECT_NEAR (cost_at (0, r, 50.0 * MS).cost_us, idle_us, 20 * MS);
  service_policy_note_remote_work (policy, now_us, 0, -5);
  service_policy_note_remote_work (policy, now_us, 99, 400 * MS);
  EXPECT_NEAR (cost_at (0, r, 50.0 * MS).cost_us, idle_us, 20 * MS);
}

/* Failure: the work reported for a process that is gone counts at its
   successor. */
TEST_F (PlacementByCost, RestartedTargetHasNoRemoteWork)
{
  create (2, 4);
  learn (SHORT, 50 * MS, 100);
  service_policy_note_remote_work (policy, now_us, 0, 400 * MS);
  targets[0].key = 77;
  put_targets ();
  EXPECT_EQ (target_cost_remote_work_us (&set ()->targets[0], now_us), 0);
  EXPECT_EQ (service_policy_open_work_us (policy, now_us, 0), 0);
}

/* Failure: a host reports nothing of its open attempts, or those of other
   hosts as its own, so that reports add up without end. */
TEST_F (PlacementByCost, OpenWorkIsOfThisHostOnly)
{
  create (1, 4);
  learn (LONG, 400 * MS, 50);
  EXPECT_EQ (service_policy_open_work_us (policy, now_us, 0), 0);
  service_policy_note_remote_work (policy, now_us, 0, 4000 * MS);
  EXPECT_EQ (service_policy_open_work_us (policy, now_us, 0), 0);
  admit (LONG);
  admit (LONG);
  EXPECT_NEAR ((double)service_policy_open_work_us (policy, now_us, 0),
               800.0 * MS, 80.0 * MS);
}

/* Failure: with more classes than the model keeps, requests have no expected
   work, and are placed as if there were no model. */
TEST_F (PlacementByCost, EvictedClassesFallBackToTheirRoute)
{
  create (4, 4);
  for (uint64_t workspace = 0; workspace < 3000; workspace++)
    learn (1000 + workspace, 100 * MS, 1);
  EXPECT_EQ (cost_model_size (set ()->cost), COST_MODEL_KEYS_MAX);
  EXPECT_NEAR (admit (1000).expected_cost_us, 100 * MS, 5 * MS);
}

/* Failure: hung attempts make their class look expensive. */
TEST_F (PlacementByCost, HungAttemptsBarelyRaiseTheExpectedWork)
{
  create (4, 2);
  learn (SHORT, 100 * MS, 100);
  for (int i = 0; i < 10; i++)
    {
      const policy_decision d = admit (SHORT);
      ASSERT_EQ (d.verdict, POLICY_SEND);
      now_us += 2500 * MS;
      end (SHORT, d.target, ATTEMPT_TIMED_OUT, 2500 * MS);
      learn (SHORT, 100 * MS, 9);
    }
  EXPECT_LT (admit (SHORT).expected_cost_us, 200u * MS);
}

/* Failure: keys of requests change decisions of deployments without the
   mode. */
TEST_F (PlacementByCost, WithoutTheModeNothingIsLearned)
{
  create (4, 2, false);
  learn (SHORT, 100 * MS, 50);
  EXPECT_EQ (set ()->cost, nullptr);
  EXPECT_EQ (admit (SHORT).expected_cost_us, 0u);
  service_policy_options options = policy->options;
  options.modes.by_cost = true;
  service_policy_configure (policy, &options);
  learn (SHORT, 100 * MS, 5);
  EXPECT_GT (admit (SHORT).expected_cost_us, 0u);
  options.modes.by_cost = false;
  service_policy_configure (policy, &options);
  EXPECT_EQ (set ()->cost, nullptr);
  EXPECT_EQ (admit (SHORT).expected_cost_us, 0u);
}

}
