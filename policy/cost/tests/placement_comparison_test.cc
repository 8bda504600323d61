/* Load: several kinds of requests, whose work differs by up to a factor of
   four on average and twenty in single cases, share targets with few slots.
   Guards against a choice by expected work that serves fewer requests in time
   than the choice by load; the table shows by how much. */
#include <cstdio>
#include <string>

#include <gtest/gtest.h>

#include "policy/cost/tests/load_simulation.h"

extern "C"
{
#include "policy/cost/cost_model.h"
#include "policy/cost/target_work.h"
}

using namespace simulation;

namespace
{

constexpr uint32_t HOSTS = 3;
constexpr uint32_t TARGETS = 16;
constexpr uint32_t HOST_SLOTS = 2; /* of a target, for each host */
constexpr int64_t DURATION_US = 60 * SECOND;
constexpr int SEEDS = 4;

void
set_keys (const Request &r, uint64_t keys[POLICY_COST_KEYS])
{
  keys[0] = 100 + (uint64_t)r.kind;
  keys[1] = 10 + (uint64_t)r.kind;
  keys[2] = 1;
}

/* The policy, one instance for each host. */
class PolicyDecider : public Decider
{
public:
  PolicyDecider (bool use_cost, bool use_reports, uint64_t seed)
      : by_cost (use_cost), reports (use_reports)
  {
    for (uint32_t host = 0; host < HOSTS; host++)
      {
        service_policy_options options = {};
        options.seed = seed * 17 + host;
        options.queue_requests = 200;
        options.queue_bytes = 1 << 20;
        options.retries.percent = 20;
        options.retries.max_tokens = 70;
        options.retries.tokens_per_second = 7;
        options.attempts = ATTEMPTS_MAX;
        options.modes.by_cost = by_cost;
        policies.push_back (service_policy_create (&options));
        policy_target config[TARGETS] = {};
        for (uint32_t i = 0; i < TARGETS; i++)
          {
            config[i].key = i + 1;
            config[i].slots = HOST_SLOTS;
            config[i].accepts_work = true;
            config[i].warm_up_us = -1;
          }
        service_policy_set_targets (policies[host], 0, config, TARGETS);
      }
  }

  ~PolicyDecider () override
  {
    for (service_policy *policy : policies)
      service_policy_destroy (policy);
  }

  const char *
  name () const override
  {
    if (reports)
      return "remaining work, reported";
    return by_cost ? "remaining work, own view" : "current load term";
  }

  uint32_t
  choose (int64_t now_us, const Request &r,
          const std::vector<Target> &) override
  {
    if (reports && now_us - reported_us >= 250 * MS)
      report (now_us);
    policy_request request = {};
    request.id = r.id;
    request.deadline_us = r.arrival_us + KINDS[r.kind].deadline_ms * MS;
    request.goal_us = r.arrival_us + KINDS[r.kind].goal_ms * MS;
    request.repeatable = KINDS[r.kind].repeatable;
    request.attempt = r.attempts + 1;
    for (const uint32_t target : r.tried)
      request.tried[request.tried_count++] = target;
    set_keys (r, request.cost_keys);
    const policy_decision d
        = service_policy_admit (policies[r.host], now_us, &request);
    return target_of (d);
  }

  void
  ended (int64_t now_us, const Request &r, const Attempt &a) override
  {
    const policy_outcome outcome
        = { a.target, a.end, now_us - a.started_us, KINDS[r.kind].repeatable };
    uint64_t keys[POLICY_COST_KEYS];
    set_keys (r, keys);
    service_policy_learn_work (policies[r.host], now_us, &outcome, keys);
    service_policy_outcome (policies[r.host], now_us, &outcome);
  }

  bool
  next (int64_t now_us, uint32_t host, uint64_t *id, uint32_t *target) override
  {
    policy_decision d;
    if (!service_policy_next (policies[host], now_us, &d))
      return false;
    *id = d.request_id;
    *target = target_of (d);
    return true;
  }

private:
  /* Each host gets the sum of the others. */
  void
  report (int64_t now_us)
  {
    reported_us = now_us;
    for (uint32_t target = 0; target < TARGETS; target++)
      {
        int64_t sum_us = 0;
        for (const service_policy *policy : policies)
          sum_us += service_policy_open_work_us (policy, now_us, target);
        for (service_policy *policy : policies)
          service_policy_note_remote_work (
              policy, now_us, target,
              sum_us - service_policy_open_work_us (policy, now_us, target));
      }
  }

  static uint32_t
  target_of (const policy_decision &d)
  {
    if (d.verdict == POLICY_SEND)
      return d.target;
    return d.verdict == POLICY_QUEUE ? WAIT : REFUSE;
  }

  const bool by_cost;
  const bool reports;
  int64_t reported_us = 0;
  std::vector<service_policy *> policies;
};

/* Choice of the lowest of some measure, at random among equal ones, and among
   targets not tried yet if there are any. */
class LowestDecider : public Decider
{
public:
  explicit LowestDecider (uint64_t seed) : random (seed)
  {
  }

  uint32_t
  choose (int64_t now_us, const Request &r,
          const std::vector<Target> &targets) override
  {
    uint32_t best = 0;
    double best_value = INFINITY;
    for (uint32_t i = 0; i < targets.size (); i++)
      {
        double value = measure (now_us, r, targets[i], i)
                       + std::uniform_real_distribution<> (0, 1e-3) (random);
        if (std::count (r.tried.begin (), r.tried.end (), i) > 0)
          value += 1e12;
        if (value < best_value)
          {
            best = i;
            best_value = value;
          }
      }
    started (now_us, r, best);
    return best;
  }

  void
  ended (int64_t, const Request &, const Attempt &) override
  {
  }

protected:
  virtual double measure (int64_t now_us, const Request &r, const Target &t,
                          uint32_t number)
      = 0;
  virtual void
  started (int64_t, const Request &, uint32_t)
  {
  }

private:
  std::mt19937_64 random;
};

class FewestOpenDecider : public LowestDecider
{
public:
  using LowestDecider::LowestDecider;

  const char *
  name () const override
  {
    return "fewest open requests";
  }

  void
  ended (int64_t, const Request &r, const Attempt &a) override
  {
    open[r.host][a.target]--;
  }

protected:
  double
  measure (int64_t, const Request &r, const Target &, uint32_t i) override
  {
    return open[r.host][i];
  }

  void
  started (int64_t, const Request &r, uint32_t target) override
  {
    open[r.host][target]++;
  }

private:
  int open[HOSTS][TARGETS] = {};
};

/* Knows what all hosts have open, but only the expected work of each. */
class SharedWorkDecider : public LowestDecider
{
public:
  using LowestDecider::LowestDecider;

  ~SharedWorkDecider () override
  {
    cost_model_destroy (model);
  }

  const char *
  name () const override
  {
    return "remaining work, all hosts";
  }

  void
  ended (int64_t now_us, const Request &r, const Attempt &a) override
  {
    auto &list = open[a.target];
    for (size_t i = 0; i < list.size (); i++)
      if (list[i].id == r.id)
        {
          list.erase (list.begin () + (long)i);
          break;
        }
    if (a.end != ATTEMPT_ANSWERED)
      return;
    uint64_t keys[POLICY_COST_KEYS];
    set_keys (r, keys);
    const double took_us = (double)(now_us - a.started_us);
    const double expected_us = cost_model_expected_us (model, keys);
    const cost_sample sample
        = { took_us / slowness (a.target, now_us), false, 1 };
    if (expected_us > 0)
      target_work_observe (&work[a.target], now_us, took_us / expected_us);
    cost_model_observe (model, now_us, keys, &sample);
  }

protected:
  double
  measure (int64_t now_us, const Request &r, const Target &,
           uint32_t i) override
  {
    const double slow = slowness (i, now_us);
    double sum_us = 0;
    for (const Open &o : open[i])
      sum_us += o.work_us
                * work_distribution_remaining (cost_model_distribution (model),
                                               (double)(now_us - o.started_us)
                                                   / (o.work_us * slow));
    return (sum_us / TARGET_SLOTS + expected (r)) * slow;
  }

  void
  started (int64_t now_us, const Request &r, uint32_t target) override
  {
    open[target].push_back ({ r.id, now_us, expected (r) });
  }

private:
  struct Open
  {
    uint64_t id;
    int64_t started_us;
    double work_us;
  };

  double
  expected (const Request &r) const
  {
    uint64_t keys[POLICY_COST_KEYS];
    set_keys (r, keys);
    return std::max (cost_model_expected_us (model, keys), 1000.0);
  }

  double
  slowness (uint32_t target, int64_t now_us) const
  {
    std::vector<double> ratios;
    for (const target_work &w : work)
      if (w.samples > 0)
        ratios.push_back (w.ratio);
    std::sort (ratios.begin (), ratios.end ());
    const double median
        = ratios.empty () ? 0 : ratios[(ratios.size () - 1) / 2];
    return target_work_slowness (&work[target], median, now_us);
  }

  cost_model *model = cost_model_create ();
  target_work work[TARGETS] = {};
  std::vector<Open> open[TARGETS];
};

class OracleDecider : public LowestDecider
{
public:
  using LowestDecider::LowestDecider;

  const char *
  name () const override
  {
    return "oracle of the work";
  }

protected:
  double
  measure (int64_t now_us, const Request &r, const Target &t,
           uint32_t) override
  {
    return (double)(t.start_us (now_us) - now_us) + r.work_us * t.slowness;
  }
};

constexpr int DECIDERS = 6;

std::unique_ptr<Decider>
make_decider (int which, uint64_t seed)
{
  switch (which)
    {
    case 0:
      return std::make_unique<PolicyDecider> (false, false, seed);
    case 1:
      return std::make_unique<FewestOpenDecider> (seed);
    case 2:
      return std::make_unique<PolicyDecider> (true, false, seed);
    case 3:
      return std::make_unique<PolicyDecider> (true, true, seed);
    case 4:
      return std::make_unique<SharedWorkDecider> (seed);
    default:
      return std::make_unique<OracleDecider> (seed);
    }
}

class PlacementComparison : public testing::TestWithParam<Scenario>
{
};

TEST_P (PlacementComparison, ByWorkIsNoWorseThanByLoad)
{
  const Scenario &scenario = GetParam ();
  printf ("%s\n%-26s %9s %9s %8s %8s\n", scenario.name, "decision",
          "in time %", "answered%", "mean ms", "p99 ms");
  Result results[DECIDERS];
  for (int i = 0; i < DECIDERS; i++)
    {
      Result &sum = results[i];
      std::string name;
      for (uint64_t seed = 1; seed <= SEEDS; seed++)
        {
          Simulation run (scenario, seed, HOSTS, TARGETS, DURATION_US);
          const auto decider = make_decider (i, seed);
          const Result one = run.run (decider.get ());
          name = decider->name ();
          sum.requests += one.requests;
          sum.in_time += one.in_time;
          sum.answered += one.answered;
          sum.latencies.insert (sum.latencies.end (), one.latencies.begin (),
                                one.latencies.end ());
        }
      printf ("%-26s %9.2f %9.2f %8.1f %8.1f\n", name.c_str (),
              sum.in_time_percent (), sum.answered_percent (), sum.mean_ms (),
              sum.p99_ms ());
    }
  EXPECT_GE (results[2].in_time, results[0].in_time);
}

INSTANTIATE_TEST_SUITE_P (
    Loads, PlacementComparison,
    testing::Values (
        Scenario{ "0.7 of the capacity, equal targets", 0.7, 1, 0, 0 },
        Scenario{ "0.7 of the capacity, targets differ by 3", 0.7, 3, 0, 0 },
        Scenario{ "0.6, rate varies by 0.55 over 13 s, targets differ by 2",
                  0.6, 2, 0, 0.55 },
        Scenario{ "0.5, targets fail 0.3 of the time, differ by 2", 0.5, 2,
                  0.3, 0 }));

}
