/* What attempts without an answer say of their target. */
#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/choice/open_attempts.h"
#include "policy/service_policy.h"
}

namespace
{
/* Answers take 400 to 800 ms. */
latency_histogram
usual ()
{
  latency_histogram times;
  latency_histogram_init (&times);
  for (int i = 0; i < 400; i++)
    latency_histogram_add (&times, 400000 + (i * 37 % 400) * 1000);
  return times;
}

double
odds (const open_attempts &open, const latency_histogram &times,
      int64_t now_us, double hung = 0.8, double slower = 1)
{
  const open_attempts_context evidence = { &times, hung, slower, 6000000 };
  return open_attempts_odds_factor (&open, &evidence, now_us);
}

TEST (OpenAttempts, SayNothingWhileAnswersMayCome)
{
  const latency_histogram times = usual ();
  open_attempts open = {};
  EXPECT_EQ (odds (open, times, 5000000), 1);
  open_attempts_add (&open, 0);
  EXPECT_EQ (odds (open, times, 0), 1);
  EXPECT_EQ (odds (open, times, 300000), 1);
  EXPECT_GT (odds (open, times, 750000), 2);
  EXPECT_GT (odds (open, times, 1000000), 10);
}

TEST (OpenAttempts, SeveralSayMoreThanOneAndAllAreForgottenInTime)
{
  const latency_histogram times = usual ();
  open_attempts one = {};
  open_attempts_add (&one, 0);
  open_attempts two = one;
  open_attempts_add (&two, 10000);
  EXPECT_GT (odds (two, times, 900000), 2 * odds (one, times, 900000));
  EXPECT_LT (odds (one, times, 30000000), 1.1);
}

/* All targets answer five times as slowly as a moment ago: they aren't ill. */
TEST (OpenAttempts, OfATargetKnownToBeSlowSayLess)
{
  const latency_histogram times = usual ();
  open_attempts open = {};
  open_attempts_add (&open, 0);
  EXPECT_EQ (odds (open, times, 1500000, 0.8, 5), 1);
}

/* Failures at once don't make an attempt that takes longer suspicious. */
TEST (OpenAttempts, SayLittleWhereNothingHangs)
{
  const latency_histogram times = usual ();
  open_attempts open = {};
  open_attempts_add (&open, 0);
  EXPECT_EQ (odds (open, times, 1000000, 0), 1);
}

TEST (OpenAttempts, WhatEndsIsTakenOutByItsBeginning)
{
  open_attempts open = {};
  for (int64_t begun_us : { 100000, 200000, 300000 })
    open_attempts_add (&open, begun_us);
  open_attempts_remove (&open, 203000);
  ASSERT_EQ (open.count, 2u);
  EXPECT_EQ (open.started_us[0], 100000);
  EXPECT_EQ (open.started_us[1], 300000);
  open_attempts_remove (&open, 0);
  open_attempts_remove (&open, 0);
  open_attempts_remove (&open, 0);
  EXPECT_EQ (open.count, 0u);
}

/* One that wasn't kept, since there are so many, ends: the oldest ones, which
   hang, must not leave in its place. */
TEST (OpenAttempts, OneThatWasNotKeptTakesNoOtherOut)
{
  open_attempts open = {};
  for (int64_t i = 0; i < OPEN_ATTEMPTS_MAX + 2; i++)
    open_attempts_add (&open, i * 100000);
  ASSERT_EQ (open.count, (uint32_t)OPEN_ATTEMPTS_MAX);
  open_attempts_remove (&open, (OPEN_ATTEMPTS_MAX + 1) * 100000);
  EXPECT_EQ (open.count, (uint32_t)OPEN_ATTEMPTS_MAX);
  open_attempts_remove (&open, 0);
  EXPECT_EQ (open.count, OPEN_ATTEMPTS_MAX - 1u);
}

/* Sixteen targets, of which a third is ill at a time, for about three seconds,
 * and then answers nothing; fifty requests a second that may run once and wait
 * four seconds.  Learned from only when their time is over, a target that
 * hangs is sent requests until its slots are full: 23 in 100 of all. */
class Spells
{
public:
  explicit Spells (uint64_t seed)
  {
    rng_seed (&random, seed);
    const service_policy_options options
        = { seed, 100, 1000000, { 20, 3, 0.3, 3 }, 3, false, 0, 0, 0 };
    policy = service_policy_create (&options);
    std::vector<policy_target> targets;
    for (uint32_t i = 0; i < TARGETS; i++)
      targets.push_back ({ i + 1, 6, 0, false, true, -1 });
    service_policy_set_targets (policy, 0, targets.data (), TARGETS);
    ill_until.assign (TARGETS, 0);
    turn_at.assign (TARGETS, 0);
    for (uint32_t i = 0; i < TARGETS; i++)
      turn_at[i] = (int64_t)rng_below (&random, 9000000);
  }
  Spells (const Spells &) = delete;
  Spells &operator= (const Spells &) = delete;
  ~Spells ()
  {
    service_policy_destroy (policy);
  }

  void
  run (int64_t until_us)
  {
    for (; now < until_us; now += 20000)
      {
        turn ();
        finish ();
        ask ();
      }
  }

  int sent = 0;
  int hung = 0;

private:
  static constexpr uint32_t TARGETS = 16;
  static constexpr int64_t WAITS_US = 4000000;
  struct attempt
  {
    uint32_t target;
    int64_t begun, ends;
    bool hangs;
  };

  void
  turn ()
  {
    for (uint32_t i = 0; i < TARGETS; i++)
      if (now >= turn_at[i])
        {
          ill_until[i] = now + 2000000 + (int64_t)rng_below (&random, 2000000);
          turn_at[i]
              = ill_until[i] + 4000000 + (int64_t)rng_below (&random, 4000000);
        }
  }
  void
  finish ()
  {
    for (size_t i = 0; i < open.size ();)
      if (open[i].ends > now)
        i++;
      else
        {
          const attempt a = open[i];
          open.erase (open.begin () + (long)i);
          const policy_outcome o
              = { a.target, a.hangs ? ATTEMPT_TIMED_OUT : ATTEMPT_ANSWERED,
                  now - a.begun, false };
          service_policy_outcome (policy, now, &o);
        }
  }
  void
  ask ()
  {
    policy_request r = {};
    r.id = ++ids;
    r.deadline_us = now + WAITS_US;
    r.attempt = 1;
    const policy_decision d = service_policy_admit (policy, now, &r);
    if (d.verdict != POLICY_SEND)
      {
        service_policy_cancel_queued (policy, r.id);
        return;
      }
    const bool hangs = now < ill_until[d.target];
    const int64_t takes
        = hangs ? WAITS_US : 300000 + (int64_t)rng_below (&random, 400000);
    open.push_back ({ d.target, now, now + takes, hangs });
    sent++;
    hung += hangs;
  }

  service_policy *policy;
  rng random;
  int64_t now = 0;
  uint64_t ids = 0;
  std::vector<int64_t> ill_until, turn_at;
  std::vector<attempt> open;
};

TEST (OpenAttempts, FewRequestsAreSentToATargetThatHangs)
{
  int sent = 0;
  int hung = 0;
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      Spells spells (seed);
      spells.run (60000000);
      sent += spells.sent;
      hung += spells.hung;
    }
  RecordProperty ("hung_permille", hung * 1000 / sent);
  EXPECT_GT (sent, 12000);
  EXPECT_LT (hung * 100, sent * 21);
}
}
