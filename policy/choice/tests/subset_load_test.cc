/* Simulates many hosts and many targets with few slots, in virtual time, to
   show the effect of dividing the targets among the hosts. */
#include <gtest/gtest.h>

#include <queue>
#include <vector>

extern "C"
{
#include "base/hash.h"
#include "base/rng.h"
#include "policy/fleet/subset.h"
#include "policy/service_policy.h"
}

namespace
{

constexpr uint32_t HOSTS = 15;
constexpr uint32_t TARGETS = 300;
constexpr uint32_t SLOTS = 3;
constexpr int64_t SECOND_US = 1000000;
constexpr int64_t WORK_US = 250000;
/* Requests of all hosts together; two fifths of all slots are busy. */
constexpr int64_t GAP_US = WORK_US * 10 / (4 * TARGETS * SLOTS);

struct attempt
{
  int64_t end_us;
  uint32_t host;
  uint32_t target;
  bool shed;
  bool
  operator> (const attempt &other) const
  {
    return end_us > other.end_us;
  }
};

struct result
{
  uint64_t requests = 0;
  uint64_t shed = 0;
  uint64_t new_connections = 0; /* between a host and a target without contact
                            for 5 s */
  double least_used = 1;        /* share of the targets in any span of 2 s */
};

class simulation
{
public:
  explicit simulation (bool divided, uint32_t used_percent)
  {
    rng_seed (&random, 41);
    for (uint32_t h = 0; h < HOSTS; h++)
      hosts.push_back ({ hash_pair (1, h), 1, 1 });
    for (uint32_t h = 0; h < HOSTS; h++)
      policies.push_back (make_policy (h, divided, used_percent));
    busy.resize (TARGETS);
    used_us.resize (TARGETS, 0);
    last_contact_us.assign (HOSTS,
                            std::vector<int64_t> (TARGETS, -100 * SECOND_US));
  }
  ~simulation ()
  {
    for (service_policy *policy : policies)
      service_policy_destroy (policy);
  }

  result
  run (int64_t until_us)
  {
    int64_t next_us = SECOND_US;
    while (next_us < until_us)
      {
        finish (next_us);
        now_us = next_us;
        send ((uint32_t)rng_below (&random, HOSTS));
        next_us += GAP_US;
        if (now_us > 5 * SECOND_US && totals.requests % 100 == 0)
          sample_use ();
      }
    return totals;
  }

private:
  service_policy *
  make_policy (uint32_t host, bool divided, uint32_t used_percent)
  {
    service_policy_options options = {};
    options.seed = 1 + host;
    options.queue_requests = 100;
    options.queue_bytes = 1000000;
    options.retries.percent = 20;
    options.retries.max_tokens = 10;
    options.attempts = 2;
    options.backup_cost_percent = 50;
    options.used_percent = used_percent;
    options.set_hosts = divided ? HOSTS : 0;
    service_policy *policy = service_policy_create (&options);
    std::vector<policy_target> targets;
    for (uint32_t t = 0; t < TARGETS; t++)
      {
        policy_target target = {};
        target.key = hash_pair (2, t);
        target.accepts_work = true;
        target.is_backup
            = divided
              && subset_owner (target.key, 1, hosts.data (), HOSTS) != host;
        /* Without subsets a host may use more than its part, since demand
           fluctuates: two of three slots. */
        target.slots = divided && !target.is_backup ? SLOTS : 2;
        targets.push_back (target);
      }
    service_policy_set_targets (policy, 0, targets.data (), TARGETS);
    return policy;
  }

  void
  send (uint32_t host)
  {
    policy_request r = {};
    r.id = ++totals.requests;
    r.deadline_us = now_us + 3 * SECOND_US;
    r.attempt = 1;
    const policy_decision d
        = service_policy_admit (policies[host], now_us, &r);
    if (d.verdict != POLICY_SEND)
      return;
    totals.new_connections
        += now_us - last_contact_us[host][d.target] > 5 * SECOND_US;
    last_contact_us[host][d.target] = used_us[d.target] = now_us;
    const bool shed = busy[d.target] >= SLOTS;
    totals.shed += shed;
    busy[d.target] += !shed;
    const int64_t took_us
        = shed ? 1000 : WORK_US / 2 + rng_below (&random, WORK_US);
    in_flight.push ({ now_us + took_us, host, d.target, shed });
  }

  void
  finish (int64_t until_us)
  {
    while (!in_flight.empty () && in_flight.top ().end_us <= until_us)
      {
        const attempt a = in_flight.top ();
        in_flight.pop ();
        busy[a.target] -= !a.shed;
        const policy_outcome o
            = { a.target, a.shed ? ATTEMPT_SHED : ATTEMPT_ANSWERED,
                a.shed ? 1000 : WORK_US, false };
        service_policy_outcome (policies[a.host], a.end_us, &o);
      }
  }

  void
  sample_use ()
  {
    uint32_t used = 0;
    for (int64_t at_us : used_us)
      used += now_us - at_us <= 2 * SECOND_US;
    totals.least_used = std::min (totals.least_used, (double)used / TARGETS);
  }

  rng random;
  int64_t now_us = 0;
  std::vector<fleet_host> hosts;
  std::vector<service_policy *> policies;
  std::vector<uint32_t> busy;
  std::vector<int64_t> used_us;
  std::vector<std::vector<int64_t>> last_contact_us;
  std::priority_queue<attempt, std::vector<attempt>, std::greater<attempt>>
      in_flight;
  result totals;
};

/* Fifteen hosts send to 300 targets with three slots each, two fifths of
   which are busy.  A host that may use all targets knows only its own
   requests.  So targets filled by others shed what it sends, and it opens a
   connection for most requests.  With its own subset it knows which slots
   are free. */
TEST (SubsetLoad, HostsThatDivideTheTargetsDoNotCollide)
{
  const result all = simulation (false, 70).run (20 * SECOND_US);
  const result divided = simulation (true, 70).run (20 * SECOND_US);
  RecordProperty ("shed_undivided", (int)all.shed);
  RecordProperty ("shed_divided", (int)divided.shed);
  EXPECT_GT (all.shed * 100, all.requests);
  EXPECT_LT (divided.shed * 1000, divided.requests);
  EXPECT_LT (divided.new_connections * 4, all.new_connections);
}

/* All hosts lose power, so requests in flight fail and only targets that
   were in use before count.  Each host keeps its own subset in use, so
   together they maintain the share that the operator configured. */
TEST (SubsetLoad, SubsetsTogetherKeepTheShareInUse)
{
  EXPECT_GE (simulation (true, 70).run (20 * SECOND_US).least_used, 0.7);
}

}
