/* What attempts without a response imply about their target. */
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
/* Responses take 400 to 800 ms. */
latency_histogram
usual_latencies ()
{
  latency_histogram latencies;
  latency_histogram_init (&latencies);
  for (int i = 0; i < 400; i++)
    latency_histogram_add (&latencies, 400000 + (i * 37 % 400) * 1000);
  return latencies;
}

double
odds (const open_attempts &open, const latency_histogram &latencies,
      int64_t now_us, double hang_share = 0.8, double slowdown = 1)
{
  const open_attempts_context context
      = { &latencies, hang_share, slowdown, 6000000 };
  return open_attempts_odds_factor (&open, &context, now_us);
}

TEST (OpenAttempts, AreNeutralWithinUsualResponseTimes)
{
  const latency_histogram latencies = usual_latencies ();
  open_attempts open = {};
  EXPECT_EQ (odds (open, latencies, 5000000), 1);
  open_attempts_add (&open, 0);
  EXPECT_EQ (odds (open, latencies, 0), 1);
  EXPECT_EQ (odds (open, latencies, 300000), 1);
  EXPECT_GT (odds (open, latencies, 750000), 2);
  EXPECT_GT (odds (open, latencies, 1000000), 10);
}

TEST (OpenAttempts, SeveralWeighMoreThanOneAndAllDecay)
{
  const latency_histogram latencies = usual_latencies ();
  open_attempts one = {};
  open_attempts_add (&one, 0);
  open_attempts two = one;
  open_attempts_add (&two, 10000);
  EXPECT_GT (odds (two, latencies, 900000), 2 * odds (one, latencies, 900000));
  EXPECT_LT (odds (one, latencies, 30000000), 1.1);
}

/* All targets respond five times as slowly as before, but aren't unhealthy. */
TEST (OpenAttempts, OfASlowTargetWeighLess)
{
  const latency_histogram latencies = usual_latencies ();
  open_attempts open = {};
  open_attempts_add (&open, 0);
  EXPECT_EQ (odds (open, latencies, 1500000, 0.8, 5), 1);
}

/* If failures come immediately, an attempt that takes longer is no
   evidence of a hang. */
TEST (OpenAttempts, AreNeutralWhereNothingHangs)
{
  const latency_histogram latencies = usual_latencies ();
  open_attempts open = {};
  open_attempts_add (&open, 0);
  EXPECT_EQ (odds (open, latencies, 1000000, 0), 1);
}

TEST (OpenAttempts, EndedAttemptIsRemovedByItsStart)
{
  open_attempts open = {};
  for (int64_t started_us : { 100000, 200000, 300000 })
    open_attempts_add (&open, started_us);
  open_attempts_remove (&open, 203000);
  ASSERT_EQ (open.count, 2u);
  EXPECT_EQ (open.started_us[0], 100000);
  EXPECT_EQ (open.started_us[1], 300000);
  open_attempts_remove (&open, 0);
  open_attempts_remove (&open, 0);
  open_attempts_remove (&open, 0);
  EXPECT_EQ (open.count, 0u);
}

/* An attempt ends that wasn't recorded because there were too many.  It
   must not remove one of the oldest, which hang. */
TEST (OpenAttempts, UnrecordedAttemptRemovesNoOther)
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

/* Sixteen targets.  At any time a third of them is unhealthy, for about
   three seconds, and sends no responses.  Fifty unrepeatable requests a
   second wait four seconds each.  If the policy learned only from timeouts,
   a hanging target would get requests until its slots are full: 23 of 100
   requests. */
class EpisodeSimulation
{
public:
  explicit EpisodeSimulation (uint64_t seed)
  {
    rng_seed (&random, seed);
    const service_policy_options options
        = { seed, 100, 1000000, { 20, 3, 0.3, 3 }, 3, false, 0, 0, 0, {} };
    policy = service_policy_create (&options);
    std::vector<policy_target> targets;
    for (uint32_t i = 0; i < TARGETS; i++)
      targets.push_back ({ i + 1, 6, 0, 0, false, true, -1 });
    service_policy_set_targets (policy, 0, targets.data (), TARGETS);
    unhealthy_until.assign (TARGETS, 0);
    next_episode.assign (TARGETS, 0);
    for (uint32_t i = 0; i < TARGETS; i++)
      next_episode[i] = (int64_t)rng_below (&random, 9000000);
  }
  EpisodeSimulation (const EpisodeSimulation &) = delete;
  EpisodeSimulation &operator= (const EpisodeSimulation &) = delete;
  ~EpisodeSimulation ()
  {
    service_policy_destroy (policy);
  }

  void
  run (int64_t until_us)
  {
    for (; now < until_us; now += 20000)
      {
        update_health ();
        finish ();
        send ();
      }
  }

  int sent = 0;
  int hung = 0;

private:
  static constexpr uint32_t TARGETS = 16;
  static constexpr int64_t TIMEOUT_US = 4000000;
  struct attempt
  {
    uint32_t target;
    int64_t begun, ends;
    bool hangs;
  };

  void
  update_health ()
  {
    for (uint32_t i = 0; i < TARGETS; i++)
      if (now >= next_episode[i])
        {
          unhealthy_until[i]
              = now + 2000000 + (int64_t)rng_below (&random, 2000000);
          next_episode[i] = unhealthy_until[i] + 4000000
                            + (int64_t)rng_below (&random, 4000000);
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
  send ()
  {
    policy_request r = {};
    r.id = ++next_id;
    r.deadline_us = now + TIMEOUT_US;
    r.attempt = 1;
    const policy_decision d = service_policy_admit (policy, now, &r);
    if (d.verdict != POLICY_SEND)
      {
        service_policy_cancel_queued (policy, r.id);
        return;
      }
    const bool hangs = now < unhealthy_until[d.target];
    const int64_t duration
        = hangs ? TIMEOUT_US : 300000 + (int64_t)rng_below (&random, 400000);
    open.push_back ({ d.target, now, now + duration, hangs });
    sent++;
    hung += hangs;
  }

  service_policy *policy;
  rng random;
  int64_t now = 0;
  uint64_t next_id = 0;
  std::vector<int64_t> unhealthy_until, next_episode;
  std::vector<attempt> open;
};

TEST (OpenAttempts, FewRequestsAreSentToAHangingTarget)
{
  int sent = 0;
  int hung = 0;
  for (uint64_t seed = 1; seed <= 5; seed++)
    {
      EpisodeSimulation simulation (seed);
      simulation.run (60000000);
      sent += simulation.sent;
      hung += simulation.hung;
    }
  RecordProperty ("hung_permille", hung * 1000 / sent);
  EXPECT_GT (sent, 12000);
  EXPECT_LT (hung * 100, sent * 21);
}
}
