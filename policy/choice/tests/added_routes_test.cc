/* Requests with a short deadline at hosts outside the set, such as those on
   routes that were just added, while the service recovers from an overload. */
#include <gtest/gtest.h>

#include <algorithm>
#include <cmath>
#include <deque>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/choice/slot_limit.h"
#include "policy/service_policy.h"
}

namespace
{

constexpr int64_t second_us = 1000000;
constexpr int64_t step_us = 5000;
constexpr uint32_t slots = 6;
constexpr size_t queue_max = 24;
constexpr int hosts = 36;

struct route_load
{
  double per_s; /* of all hosts together */
  int64_t deadline_us;
  int64_t work_us;
};

/* Callers' requests go to the set; those on added routes come to all hosts
   and need little work. */
constexpr route_load first_routes = { 17, 4 * second_us, 610000 };
constexpr route_load added_routes = { 24, 1 * second_us, 3000 };

struct request
{
  int host;
  bool is_added;
  int64_t arrived_us;
  int64_t deadline_us;
  int64_t sent_us;
  int64_t end_us;
  bool served;
};

struct target
{
  std::deque<uint64_t> queued;
  std::vector<uint64_t> running;
};

/* The hosts of the set, and how far each reduces its slots at a target. */
struct set_options
{
  int hosts;
  uint32_t fair_slots;
};

/* The slots of a host at targets of other subsets. */
uint32_t
backup_slots (int set_hosts)
{
  const double part = (double)slots / set_hosts;
  const double share = std::ceil (part + 2 * std::sqrt (part));
  return (uint32_t)std::min (share, (double)slots);
}

/* Six targets of which four go for good in a burst, which ends three seconds
   before all hosts lose power: what is in flight then is lost. */
class service_model
{
public:
  service_model (uint64_t seed, const set_options &options)
      : set (options), next_policy_seed (seed * hosts)
  {
    rng_seed (&random, seed);
    create_policies ();
    set_target_count (6);
  }
  ~service_model ()
  {
    for (service_policy *policy : policies)
      service_policy_destroy (policy);
  }
  service_model (const service_model &) = delete;

  /* All hosts are killed and start again; what is in flight is lost. */
  void
  restart_hosts ()
  {
    for (service_policy *policy : policies)
      service_policy_destroy (policy);
    policies.clear ();
    create_policies ();
    const uint32_t count = (uint32_t)targets.size ();
    targets.clear ();
    set_target_count (count);
  }

  void
  play (double seconds, double factor)
  {
    const int64_t until_us = now + (int64_t)(seconds * second_us);
    for (; now < until_us; now += step_us)
      {
        arrive (first_routes, factor, false);
        arrive (added_routes, 1, true);
        for (uint32_t i = 0; i < targets.size (); i++)
          advance (i);
        policy_decision d;
        for (int host = 0; host < hosts; host++)
          while (service_policy_next (policies[host], now, &d))
            send (d);
      }
  }

  /* Requests in flight at targets that go are lost. */
  void
  set_target_count (uint32_t count)
  {
    targets.resize (count);
    for (int host = 0; host < hosts; host++)
      {
        std::vector<policy_target> configs;
        for (uint32_t i = 0; i < count; i++)
          {
            const bool is_own = (int)i % set.hosts == host;
            configs.push_back ({ i + 1,
                                 is_own ? slots : backup_slots (set.hosts),
                                 set.fair_slots, 0, !is_own, true, -1 });
          }
        service_policy_set_targets (policies[host], now, configs.data (),
                                    configs.size ());
      }
  }

  double
  served_share (bool is_added, int64_t from_us) const
  {
    int served = 0;
    int count = 0;
    for (const request &r : requests)
      if (r.is_added == is_added && r.arrived_us >= from_us)
        {
          served += r.served;
          count++;
        }
    EXPECT_GT (count, 20);
    return (double)served / count;
  }

  int64_t now = second_us;

private:
  void
  create_policies ()
  {
    for (int i = 0; i < hosts; i++)
      {
        const service_policy_options policy_options
            = { next_policy_seed++,
                1000,
                1000000,
                { 20, 1, 0, 0 },
                3,
                false,
                0,
                0,
                i < set.hosts ? (uint32_t)set.hosts : 0,
                {} };
        policies.push_back (service_policy_create (&policy_options));
      }
  }

  void
  arrive (const route_load &load, double factor, bool is_added)
  {
    if (rng_unit (&random) >= load.per_s * factor * step_us / second_us)
      return;
    const int host = is_added ? (int)rng_below (&random, hosts)
                              : (int)rng_below (&random, (uint64_t)set.hosts);
    requests.push_back (
        { host, is_added, now, now + load.deadline_us, 0, 0, false });
    policy_request r = {};
    r.id = requests.size ();
    r.deadline_us = now + load.deadline_us;
    r.repeatable = true;
    r.attempt = 1;
    send (service_policy_admit (policies[host], now, &r));
  }

  void
  send (const policy_decision &d)
  {
    if (d.verdict != POLICY_SEND)
      return;
    requests[d.request_id - 1].sent_us = now;
    if (targets[d.target].queued.size () < queue_max)
      targets[d.target].queued.push_back (d.request_id);
    else
      end (d.target, d.request_id, ATTEMPT_SHED);
  }

  void
  end (uint32_t number, uint64_t id, attempt_end how)
  {
    request &r = requests[id - 1];
    const policy_outcome o = { number, how, now - r.sent_us, true };
    service_policy_outcome (policies[r.host], now, &o);
    r.served = how == ATTEMPT_ANSWERED && now <= r.deadline_us;
  }

  /* A target doesn't begin a request whose deadline has passed. */
  void
  advance (uint32_t number)
  {
    target &t = targets[number];
    for (size_t i = 0; i < t.running.size ();)
      {
        const uint64_t id = t.running[i];
        if (requests[id - 1].end_us > now)
          {
            i++;
            continue;
          }
        t.running.erase (t.running.begin () + (long)i);
        end (number, id, ATTEMPT_ANSWERED);
      }
    while (t.running.size () < slots && !t.queued.empty ())
      {
        const uint64_t id = t.queued.front ();
        t.queued.pop_front ();
        request &r = requests[id - 1];
        if (now > r.deadline_us)
          {
            end (number, id, ATTEMPT_TIMED_OUT);
            continue;
          }
        const route_load &load = r.is_added ? added_routes : first_routes;
        const double factor = 0.7 + 0.6 * rng_unit (&random);
        r.end_us = now + (int64_t)((double)load.work_us * factor);
        t.running.push_back (id);
      }
  }

  set_options set;
  uint64_t next_policy_seed;
  rng random;
  std::vector<service_policy *> policies;
  std::vector<target> targets;
  std::vector<request> requests;
};

/* The share of requests served: on added routes from three seconds after the
   burst until the loss of power, on the first ones before the burst. */
struct served_shares
{
  double added;
  double first;
};

/* Events of the burst beside the loss of targets. */
enum class burst_event
{
  none,
  hosts_restart,
};

served_shares
play_day (uint64_t seed, const set_options &options, burst_event event)
{
  service_model model (seed, options);
  model.play (17.5, 1);
  const double first = model.served_share (false, 0);
  model.play (0.5, 2.5);
  model.set_target_count (2);
  model.play (4, 2.5);
  if (event == burst_event::hosts_restart)
    model.restart_hosts ();
  model.play (4.5, 2.5);
  model.play (3, 1);
  const int64_t from_us = model.now;
  model.play (2.5, 1);
  return { model.served_share (true, from_us), first };
}

constexpr uint64_t seeds = 20;

/* The sets that divide among them targets with six slots: fewer hosts than
   slots, as many, and more. */
class AddedRoutes : public testing::TestWithParam<int>
{
protected:
  int set_hosts = GetParam ();
  set_options options
      = { set_hosts, slot_limit_fair_share (slots, (uint32_t)set_hosts) };

  void
  expect_served (burst_event event)
  {
    for (uint64_t seed = 1; seed <= seeds; seed++)
      {
        const served_shares shares = play_day (seed, options, event);
        EXPECT_GE (shares.added, shares.first / 4) << "seed " << seed;
      }
  }
};

/* Guards against requests on added routes that are served less than a quarter
   as often as those on the first routes after an overload. */
TEST_P (AddedRoutes, AreServedAfterAnOverload)
{
  expect_served (burst_event::none);
}

/* Guards against hosts that start in an overload, take its latency for the
   usual one, and fill the queues of targets again. */
TEST_P (AddedRoutes, AreServedByHostsThatStartInAnOverload)
{
  expect_served (burst_event::hosts_restart);
}

/* The load above must be one that breaks the bound if hosts fill the queues of
   targets. */
TEST_P (AddedRoutes, AreNotServedWhileHostsFillTheQueues)
{
  options.fair_slots = 0;
  int broken = 0;
  for (uint64_t seed = 1; seed <= seeds; seed++)
    {
      const served_shares shares = play_day (seed, options, burst_event::none);
      broken += shares.added < shares.first / 4;
    }
  EXPECT_GT (broken, 0);
}

INSTANTIATE_TEST_SUITE_P (Sets, AddedRoutes, testing::Values (3, 6, 7, 9));

}
