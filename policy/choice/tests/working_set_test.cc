/* Use of unused targets by the hosts of a set, for a service whose requests
   must not be repeated. */
#include <gtest/gtest.h>

#include <algorithm>
#include <queue>
#include <set>
#include <vector>

extern "C"
{
#include "base/hash.h"
#include "base/rng.h"
#include "policy/service_policy.h"
}

namespace
{

constexpr uint32_t HOSTS = 4;
constexpr uint32_t TARGETS = 80;
constexpr uint32_t USED_PERCENT = 70;
constexpr int64_t SECOND_US = 1000000;
constexpr int64_t WORK_US = 220000;
constexpr int64_t ERROR_US = 4000;
constexpr int64_t REPORT_US = 50000;
constexpr int64_t GAP_US = SECOND_US / 160;

struct event
{
  int64_t at_us;
  uint32_t host;
  uint32_t target;
  attempt_end end;
  bool is_report;
  bool
  operator> (const event &other) const
  {
    return at_us > other.at_us;
  }
};

/* Targets fail in periods: three tenths of the time, drawn anew every nine
   seconds on average, a target fails 85 of 100 requests. */
class fleet
{
public:
  fleet (uint64_t seed, bool working_set)
  {
    rng_seed (&random, seed);
    for (uint32_t t = 0; t < TARGETS; t++)
      {
        targets.push_back ({ hash_pair (2, t), 2, 1, 0, false, true, -1 });
        unhealthy.push_back (rng_unit (&random) < 0.3);
      }
    used_us.assign (TARGETS, 0);
    failed_us.assign (TARGETS, -10 * SECOND_US);
    for (uint32_t h = 0; h < HOSTS; h++)
      add_host (h, working_set);
  }
  ~fleet ()
  {
    for (service_policy *policy : policies)
      service_policy_destroy (policy);
  }

  void
  run (int64_t until_us)
  {
    for (; now < until_us; now += GAP_US)
      {
        redraw ();
        deliver ();
        send ((uint32_t)rng_below (&random, HOSTS));
      }
  }

  /* The share of the targets that can count, healthy ones that haven't failed
     for two seconds, that got requests in the last two. */
  double
  used_share () const
  {
    int countable = 0;
    int used = 0;
    for (uint32_t t = 0; t < TARGETS; t++)
      if (!unhealthy[t] && now - failed_us[t] >= 2 * SECOND_US)
        {
          countable++;
          used += now - used_us[t] <= 2 * SECOND_US;
        }
    return countable > 0 ? (double)used / countable : 1;
  }

  int64_t now = SECOND_US;
  uint64_t requests = 0;
  uint64_t failed = 0;
  uint64_t second_looks = 0; /* failed, within two seconds of a failure that
                                the host knew of */
  int lost_host = -1;
  std::vector<int64_t> used_us;

private:
  void
  add_host (uint32_t host, bool working_set)
  {
    service_policy_options options = {};
    options.seed = 1 + host;
    options.queue_requests = 100;
    options.queue_bytes = 1000000;
    options.attempts = 2;
    options.backup_cost_percent = 50;
    options.used_percent = USED_PERCENT;
    options.set_hosts = HOSTS;
    options.modes.working_set = working_set;
    policies.push_back (service_policy_create (&options));
    std::vector<policy_target> own = targets;
    for (uint32_t t = 0; t < TARGETS; t++)
      own[t].is_backup = t % HOSTS != host;
    service_policy_set_targets (policies.back (), now, own.data (), TARGETS);
    known_failed_us.emplace_back (TARGETS, -10 * SECOND_US);
  }
  void
  redraw ()
  {
    for (uint32_t t = 0; t < TARGETS; t++)
      if (rng_unit (&random) < (double)GAP_US / (9 * SECOND_US))
        unhealthy[t] = rng_unit (&random) < 0.3;
  }
  void
  deliver ()
  {
    while (!events.empty () && events.top ().at_us <= now)
      {
        const event e = events.top ();
        events.pop ();
        if (e.end != ATTEMPT_ANSWERED)
          known_failed_us[e.host][e.target] = e.at_us;
        if (e.is_report)
          {
            service_policy_remote_outcome (policies[e.host], e.at_us, e.target,
                                           e.end);
            continue;
          }
        const policy_outcome o
            = { e.target, e.end,
                e.end == ATTEMPT_ANSWERED ? WORK_US : ERROR_US, false };
        service_policy_outcome (policies[e.host], e.at_us, &o);
        for (uint32_t h = 0; h < HOSTS; h++)
          if (h != e.host)
            events.push ({ e.at_us + REPORT_US, h, e.target, e.end, true });
      }
  }
  void
  send (uint32_t host)
  {
    if ((int)host == lost_host)
      return;
    policy_request r = {};
    r.id = ++requests;
    r.deadline_us = now + 3 * SECOND_US;
    r.attempt = 1;
    const policy_decision d = service_policy_admit (policies[host], now, &r);
    if (d.verdict != POLICY_SEND)
      return;
    used_us[d.target] = now;
    const bool fails
        = rng_unit (&random) < (unhealthy[d.target] ? 0.85 : 0.01);
    if (fails)
      {
        failed++;
        second_looks += now - known_failed_us[host][d.target] < 2 * SECOND_US;
        failed_us[d.target] = now;
      }
    events.push ({ now + (fails ? ERROR_US : WORK_US), host, d.target,
                   fails ? ATTEMPT_FAILED : ATTEMPT_ANSWERED, false });
  }

  struct rng random;
  std::vector<policy_target> targets;
  std::vector<bool> unhealthy;
  std::vector<int64_t> failed_us;
  std::vector<std::vector<int64_t>> known_failed_us;
  std::vector<service_policy *> policies;
  std::priority_queue<event, std::vector<event>, std::greater<event>> events;
};

/* Load: all requests of a service must run at most once, so that each request
   at an unhealthy target is lost.  Guards against hosts that keep looking at
   targets that just failed, and all at the same ones. */
TEST (WorkingSet, LosesFewerRequestsThanUseByTime)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      fleet by_time (seed, false);
      fleet by_health (seed, true);
      by_time.run (30 * SECOND_US);
      by_health.run (30 * SECOND_US);
      EXPECT_LT (by_health.failed, by_time.failed) << seed;
      EXPECT_LT (by_health.second_looks * 10, by_health.failed) << seed;
    }
}

/* Guards against a loss of power of all hosts while most healthy targets are
   idle: the operator's share must be in use at any moment. */
TEST (WorkingSet, KeepsTheShareOfHealthyTargetsInUse)
{
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      fleet f (seed, true);
      f.run (8 * SECOND_US);
      double least = 1;
      while (f.now < 30 * SECOND_US)
        {
          f.run (f.now + SECOND_US / 10);
          least = std::min (least, f.used_share ());
        }
      EXPECT_GE (least, USED_PERCENT / 100.0) << seed;
    }
}

/* Guards against targets that nobody uses once the host in whose subset they
   are is lost. */
TEST (WorkingSet, TargetsOfALostHostAreUsed)
{
  fleet f (1, true);
  f.run (8 * SECOND_US);
  f.lost_host = 2;
  double least = 1;
  f.run (11 * SECOND_US);
  while (f.now < 20 * SECOND_US)
    {
      f.run (f.now + SECOND_US / 10);
      least = std::min (least, f.used_share ());
    }
  EXPECT_GE (least, USED_PERCENT / 100.0);
}

/* A target that joins is due at once at the host in whose subset it is.  The
   other hosts leave it to that one, so that it isn't met by all at once. */
TEST (WorkingSet, OneHostBeginsWithANewTarget)
{
  for (const bool is_backup : { false, true })
    {
      service_policy_options options = {};
      options.queue_requests = 100;
      options.attempts = 2;
      options.used_percent = 100;
      options.set_hosts = HOSTS;
      options.modes.working_set = true;
      service_policy *policy = service_policy_create (&options);
      std::vector<policy_target> targets;
      for (uint32_t i = 0; i < 4; i++)
        targets.push_back ({ i + 1, 2, 0, 0, false, true, -1 });
      service_policy_set_targets (policy, SECOND_US, targets.data (), 4);
      targets.push_back ({ 5, 2, 0, 0, is_backup, true, -1 });
      service_policy_set_targets (policy, 5 * SECOND_US, targets.data (), 5);
      std::set<uint32_t> sent;
      for (int i = 0; i < 5; i++)
        {
          policy_request r = {};
          r.id = (uint64_t)i + 1;
          r.deadline_us = 9 * SECOND_US;
          r.attempt = 1;
          sent.insert (
              service_policy_admit (policy, 5 * SECOND_US, &r).target);
        }
      EXPECT_EQ (sent.count (4), is_backup ? 0u : 1u);
      service_policy_destroy (policy);
    }
}

} // namespace
