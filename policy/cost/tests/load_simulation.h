/** @file
 * Simulation in virtual time of some hosts that place requests of several
 * kinds at shared targets.  A target runs two requests at a time, lets eight
 * wait and sheds the rest.  All deciders get the same arrivals.
 */
#ifndef POLICY_COST_TESTS_LOAD_SIMULATION_H
#define POLICY_COST_TESTS_LOAD_SIMULATION_H

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <memory>
#include <queue>
#include <random>
#include <vector>

extern "C"
{
#include "policy/service_policy.h"
}

namespace simulation
{

constexpr int64_t MS = 1000;
constexpr int64_t SECOND = 1000 * MS;
constexpr int TARGET_SLOTS = 2;
constexpr int TARGET_QUEUE = 8;
constexpr uint32_t ATTEMPTS_MAX = 3;

/** Of the requests of deployment B in docs/work-under-load.md. */
struct Kind
{
  double share; /**< of the requests */
  double work_ms;
  double spread; /**< standard deviation of the logarithm of the work */
  int64_t goal_ms;
  int64_t deadline_ms;
  bool repeatable;
};

constexpr Kind KINDS[] = { { 0.27, 140, 0.5, 800, 3000, true },
                           { 0.51, 180, 0.8, 800, 4000, false },
                           { 0.06, 160, 0.6, 1200, 6000, false },
                           { 0.16, 54, 0.3, 500, 2000, true } };
constexpr int KIND_COUNT = 4;

struct Scenario
{
  const char *name;
  double load; /**< work that arrives, in shares of all slots */
  /** How many times slower the slowest target is than the fastest. */
  double unevenness;
  double failing_share; /**< of the time of a target; it fails 0.85 then */
  double fluctuation;   /**< of the rate, over 13 s */
};

struct Request
{
  uint64_t id;
  int64_t arrival_us;
  int kind;
  uint32_t host;
  double work_us; /**< at a target of speed 1 */
  uint32_t attempts = 0;
  std::vector<uint32_t> tried = {};
};

struct Target
{
  double slowness = 1;
  uint64_t health_seed = 0;
  int64_t free_us[TARGET_SLOTS] = {};
  std::vector<int64_t> starts = {}; /**< of the requests that wait */

  /** When a request that arrives now would start. */
  int64_t
  start_us (int64_t now_us) const
  {
    return std::max (now_us, *std::min_element (free_us, free_us + 2));
  }

  bool
  is_full (int64_t now_us)
  {
    starts.erase (
        std::remove_if (starts.begin (), starts.end (),
                        [now_us] (int64_t start) { return start <= now_us; }),
        starts.end ());
    return starts.size () >= TARGET_QUEUE;
  }

  bool
  is_failing (const Scenario &scenario, int64_t now_us) const
  {
    std::minstd_rand window (
        (uint32_t)(health_seed + (uint64_t)(now_us / (9 * SECOND))));
    window.discard (3);
    return std::uniform_real_distribution<> (0, 1) (window)
           < scenario.failing_share;
  }
};

struct Attempt
{
  int64_t end_us;
  uint64_t sequence; /**< order of equal times */
  size_t request;
  uint32_t target;
  int64_t started_us;
  attempt_end end;

  bool
  operator> (const Attempt &other) const
  {
    return end_us != other.end_us ? end_us > other.end_us
                                  : sequence > other.sequence;
  }
};

/** Decides where the requests of all hosts go. */
class Decider
{
public:
  static constexpr uint32_t WAIT = UINT32_MAX;
  static constexpr uint32_t REFUSE = UINT32_MAX - 1;

  virtual ~Decider () = default;
  virtual const char *name () const = 0;
  /** A target, WAIT or REFUSE. */
  virtual uint32_t choose (int64_t now_us, const Request &r,
                           const std::vector<Target> &targets)
      = 0;
  virtual void ended (int64_t now_us, const Request &r, const Attempt &a) = 0;
  /** The next request of HOST that waited: sets ID and TARGET. */
  virtual bool
  next (int64_t, uint32_t, uint64_t *, uint32_t *)
  {
    return false;
  }
};

struct Result
{
  uint64_t requests = 0;
  uint64_t in_time = 0;  /**< answered within the goal */
  uint64_t answered = 0; /**< within the deadline */
  std::vector<int64_t> latencies = {};

  double
  in_time_percent () const
  {
    return 100.0 * (double)in_time / (double)requests;
  }

  double
  answered_percent () const
  {
    return 100.0 * (double)answered / (double)requests;
  }

  double
  mean_ms () const
  {
    double sum = 0;
    for (const int64_t latency : latencies)
      sum += (double)latency;
    return sum / (double)latencies.size () / MS;
  }

  double
  p99_ms ()
  {
    const size_t at = latencies.size () * 99 / 100;
    std::nth_element (latencies.begin (), latencies.begin () + (long)at,
                      latencies.end ());
    return (double)latencies[at] / MS;
  }
};

class Simulation
{
public:
  Simulation (const Scenario &load, uint64_t seed, uint32_t hosts,
              uint32_t target_count, int64_t duration_us)
      : scenario (load), random (seed), targets (target_count)
  {
    double capacity = 0;
    for (uint32_t i = 0; i < target_count; i++)
      {
        const double position
            = target_count > 1 ? (double)i / (target_count - 1) : 0;
        targets[i].slowness = std::pow (load.unevenness, position - 0.5);
        targets[i].health_seed = seed * 1000003 + i * 7919;
        capacity += TARGET_SLOTS / targets[i].slowness;
      }
    generate (hosts, capacity, duration_us);
  }

  Result
  run (Decider *decider)
  {
    std::mt19937_64 failures (4711);
    size_t arrived = 0;
    int64_t tick_us = 0;
    while (arrived < requests.size () || !attempts.empty ())
      {
        const int64_t arrival_us = arrived < requests.size ()
                                       ? requests[arrived].arrival_us
                                       : INT64_MAX;
        const int64_t end_us
            = attempts.empty () ? INT64_MAX : attempts.top ().end_us;
        const int64_t now_us = std::min ({ arrival_us, end_us, tick_us });
        if (now_us == tick_us)
          {
            tick_us += 20 * MS;
            continue_waiting (decider, now_us, failures);
          }
        else if (now_us == end_us)
          finish (decider, now_us, failures);
        else
          decide (decider, now_us, arrived++, failures);
      }
    return result;
  }

private:
  void
  generate (uint32_t hosts, double capacity, int64_t duration_us)
  {
    double mean_us = 0;
    for (const Kind &kind : KINDS)
      mean_us += kind.share * kind.work_ms * MS;
    const double rate = scenario.load * capacity / mean_us;
    std::uniform_real_distribution<> unit (0, 1);
    std::normal_distribution<> normal (0, 1);
    for (double now_us = 0;;)
      {
        const double phase = 2 * M_PI * now_us / (13.0 * SECOND);
        const double current
            = rate * (1 + scenario.fluctuation * std::sin (phase));
        now_us += -std::log (1 - unit (random)) / current;
        if (now_us >= (double)duration_us)
          break;
        double choice = unit (random);
        int kind = 0;
        while (kind < KIND_COUNT - 1 && choice >= KINDS[kind].share)
          choice -= KINDS[kind++].share;
        const Kind &k = KINDS[kind];
        /* The factor keeps the mean: 3 of 100 requests take seven times as
           long. */
        double work = k.work_ms * MS / 1.18
                      * std::exp (k.spread * normal (random)
                                  - k.spread * k.spread / 2);
        if (unit (random) < 0.03)
          work *= 7;
        requests.push_back ({ requests.size () + 1, (int64_t)now_us, kind,
                              (uint32_t)(random () % hosts), work });
      }
    host_count = hosts;
  }

  void
  decide (Decider *decider, int64_t now_us, size_t i,
          std::mt19937_64 &failures)
  {
    if (requests[i].attempts == 0)
      result.requests++;
    const uint32_t target = decider->choose (now_us, requests[i], targets);
    if (target < targets.size ())
      send (now_us, i, target, failures);
  }

  void
  send (int64_t now_us, size_t i, uint32_t number, std::mt19937_64 &failures)
  {
    Request &r = requests[i];
    Target &t = targets[number];
    r.attempts++;
    r.tried.push_back (number);
    Attempt a = { 0, ++sequence, i, number, now_us, ATTEMPT_ANSWERED };
    if (t.is_failing (scenario, now_us)
        && std::uniform_real_distribution<> (0, 1) (failures) < 0.85)
      {
        a.end = ATTEMPT_FAILED;
        a.end_us = now_us + 2 * MS;
      }
    else if (t.is_full (now_us))
      {
        a.end = ATTEMPT_SHED;
        a.end_us = now_us + MS;
      }
    else
      {
        const int64_t start_us = t.start_us (now_us);
        if (start_us > now_us)
          t.starts.push_back (start_us);
        a.end_us = start_us
                   + std::max<int64_t> (1, (int64_t)(r.work_us * t.slowness));
        *std::min_element (t.free_us, t.free_us + 2) = a.end_us;
      }
    attempts.push (a);
  }

  void
  finish (Decider *decider, int64_t now_us, std::mt19937_64 &failures)
  {
    const Attempt a = attempts.top ();
    attempts.pop ();
    const Request &r = requests[a.request];
    const Kind &kind = KINDS[r.kind];
    decider->ended (now_us, r, a);
    const int64_t latency_us = now_us - r.arrival_us;
    if (a.end == ATTEMPT_ANSWERED)
      {
        result.in_time += latency_us <= kind.goal_ms * MS;
        result.answered += latency_us <= kind.deadline_ms * MS;
        result.latencies.push_back (latency_us);
      }
    else if (r.attempts < ATTEMPTS_MAX
             && service_policy_may_retry (a.end, kind.repeatable))
      decide (decider, now_us, a.request, failures);
    continue_waiting (decider, now_us, failures);
  }

  void
  continue_waiting (Decider *decider, int64_t now_us,
                    std::mt19937_64 &failures)
  {
    uint64_t id;
    uint32_t target;
    for (uint32_t host = 0; host < host_count; host++)
      while (decider->next (now_us, host, &id, &target))
        if (target < targets.size ())
          send (now_us, id - 1, target, failures);
  }

  const Scenario scenario;
  std::mt19937_64 random;
  uint32_t host_count = 0;
  std::vector<Target> targets;
  std::vector<Request> requests;
  std::priority_queue<Attempt, std::vector<Attempt>, std::greater<Attempt>>
      attempts;
  uint64_t sequence = 0;
  Result result;
};

}

#endif
