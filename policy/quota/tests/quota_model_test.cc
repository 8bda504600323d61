/* Simulates the quota of a whole fleet in virtual time.  The requests of a
   workspace that run are at most its quota in every window, whatever
   messages are lost or late, and whichever hosts are partitioned,
   suspended, killed or considered the coordinator. */
#include <algorithm>
#include <deque>
#include <memory>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "base/rng.h"
#include "policy/quota/quota_pool.h"
#include "policy/quota/quota_lease.h"
#include "policy/quota/quota_stamp.h"
#include "policy/quota/quota_cache.h"
}

namespace
{
const uint64_t workspace = 1;
const quota_tolerance usual_tolerance = { 5000, 10, 20 };

/* Faults of a simulation run. */
struct Faults
{
  uint32_t delayed_one_in
      = 0; /**< one message in this many takes seconds; 0: none */
  uint32_t lost_one_in = 0; /**< one message in this many is lost; 0: none */
  uint32_t kill_steps = 0;  /**< average steps between kills; 0: none */
  uint32_t suspend_steps
      = 0; /**< average steps between suspensions; 0: none */
  uint32_t coordinator_steps
      = 0; /**< average steps between changes of a coordinator; 0: none */
};

struct Host
{
  uint64_t nonce = 0;
  int64_t clock_offset_ms = 0;
  int64_t suspended_until_ms = 0;
  int64_t down_until_ms = 0;
  int64_t killed_ms = -100000;
  int64_t next_renewal_ms = 0;
  size_t coordinator = 0;
  quota_lease lease = {};
  quota_shares *shares = nullptr;
  quota_pool *pool = nullptr;
  quota_cache cache = {};
  std::deque<int64_t> waiting; /**< start times of the waiting requests */
  int64_t retry_ms = 0;
  std::vector<uint64_t> stamps; /**< last stamp from each coordinator */
};

struct Message
{
  size_t from;
  size_t to;
  bool is_request;
  bool leases_share;
  uint64_t echo;
  uint64_t stamp;
  uint32_t tokens; /**< requested, or granted */
  uint32_t requested;
  uint32_t term_ms;
  uint32_t next_token_ms;
  int64_t arrives_ms;
};

class Fleet
{
public:
  Fleet (uint64_t seed, size_t hosts, const quota_limit &workspace_limit,
         const Faults &injected_faults, double demand,
         const quota_tolerance &allowed_tolerance = usual_tolerance)
      : tolerance (allowed_tolerance), limit (workspace_limit),
        faults (injected_faults), demand_per_s (demand), fleet (hosts)
  {
    rng_seed (&random, seed);
    for (size_t i = 0; i < hosts; i++)
      {
        fleet[i].clock_offset_ms = (int64_t)rng_below (&random, 1000000);
        fleet[i].coordinator = 0;
        start (fleet[i]);
      }
  }

  ~Fleet ()
  {
    for (Host &host : fleet)
      stop (host);
  }

  Fleet (const Fleet &) = delete;
  Fleet &operator= (const Fleet &) = delete;

  void
  run (int64_t until_ms)
  {
    while (now_ms < until_ms)
      {
        now_ms += step_ms;
        inject_faults ();
        deliver ();
        for (size_t i = 0; i < fleet.size (); i++)
          if (is_running (fleet[i]))
            step (i);
      }
  }

  /* Returns by how much the largest number of requests in any window
     exceeds the allowed number. */
  double
  max_excess () const
  {
    const double allowed
        = (limit.rate_per_s * tolerance.window_ms / 1000 + limit.burst)
              * (1 + tolerance.overshoot_percent / 100.0)
          + tolerance.slack;
    size_t first = 0;
    size_t maximum = 0;
    for (size_t i = 0; i < executed_ms.size (); i++)
      {
        while (executed_ms[i] - executed_ms[first] >= tolerance.window_ms)
          first++;
        maximum = std::max (maximum, i - first + 1);
      }
    return (double)maximum - allowed;
  }

  std::vector<int64_t> executed_ms;
  uint64_t refused = 0;
  uint64_t request_count = 0;

private:
  static constexpr int64_t step_ms = 5;

  bool
  is_running (const Host &host) const
  {
    return host.shares != nullptr && now_ms >= host.suspended_until_ms;
  }

  int64_t
  clock_now_ms (const Host &host) const
  {
    return now_ms + host.clock_offset_ms;
  }

  void
  start (Host &host)
  {
    host.nonce = rng_next (&random);
    quota_lease_init (&host.lease, clock_now_ms (host), &tolerance);
    host.shares
        = quota_shares_create (clock_now_ms (host), host.lease.expires_ms);
    quota_shares_note_host_count (host.shares, clock_now_ms (host),
                                  (uint32_t)fleet.size ());
    host.pool = quota_pool_create (host.shares, &tolerance);
    host.cache = {};
    host.waiting.clear ();
    host.next_renewal_ms = now_ms;
    host.stamps.assign (fleet.size (), 0);
  }

  static void
  stop (Host &host)
  {
    quota_pool_destroy (host.pool);
    quota_shares_destroy (host.shares);
    host.pool = nullptr;
    host.shares = nullptr;
  }

  bool
  happens (uint32_t steps)
  {
    return steps > 0 && rng_below (&random, steps) == 0;
  }

  void
  inject_faults ()
  {
    Host &host = fleet[rng_below (&random, fleet.size ())];
    if (happens (faults.coordinator_steps))
      host.coordinator = rng_below (&random, fleet.size ());
    if (happens (faults.suspend_steps))
      host.suspended_until_ms = now_ms + (int64_t)rng_below (&random, 4000);
    /* The overshoot covers one start of each host in a window. */
    if (happens (faults.kill_steps) && host.shares != nullptr
        && now_ms - host.killed_ms > tolerance.window_ms + 1000)
      {
        stop (host);
        host.killed_ms = now_ms;
        host.down_until_ms = now_ms + (int64_t)rng_below (&random, 1000);
      }
    for (Host &each : fleet)
      if (each.shares == nullptr && now_ms >= each.down_until_ms)
        start (each);
  }

  void
  send (Message message)
  {
    if (happens (faults.lost_one_in))
      return;
    message.arrives_ms = now_ms
                         + (int64_t)(happens (faults.delayed_one_in)
                                         ? rng_below (&random, 3000)
                                         : rng_below (&random, 10));
    messages.push_back (message);
  }

  void
  deliver ()
  {
    for (size_t i = 0; i < messages.size ();)
      {
        const Message message = messages[i];
        if (message.arrives_ms > now_ms || !is_running (fleet[message.to]))
          {
            const bool is_down = fleet[message.to].shares == nullptr;
            if (!is_down)
              {
                i++;
                continue;
              }
          }
        else
          receive (message);
        messages.erase (messages.begin () + (long)i);
      }
  }

  void
  receive (const Message &message)
  {
    Host &host = fleet[message.to];
    const int64_t clock_ms = clock_now_ms (host);
    int64_t echoed_ms;
    const bool is_own_stamp
        = quota_stamp_parse (host.nonce, message.echo, clock_ms, &echoed_ms);
    if (!message.is_request)
      {
        host.stamps[message.from] = message.stamp;
        if (!is_own_stamp)
          return;
        const quota_answer answer
            = { echoed_ms, message.requested, message.tokens, message.term_ms,
                message.next_token_ms };
        quota_cache_note_answer (&host.cache, clock_ms, &answer);
        retry_waiting (host);
        return;
      }
    if (message.leases_share && is_own_stamp)
      quota_shares_add_lease (host.shares, clock_ms, message.from, echoed_ms);
    const quota_grant granted = quota_pool_grant (
        host.pool, clock_ms, workspace, &limit, message.tokens);
    Message answer = {};
    answer.from = message.to;
    answer.to = message.from;
    answer.echo = message.stamp;
    answer.stamp = quota_stamp_make (host.nonce, clock_ms);
    answer.tokens = granted.tokens;
    answer.requested = message.tokens;
    answer.term_ms = granted.term_ms;
    answer.next_token_ms = granted.next_token_ms;
    send (answer);
  }

  void
  count_verdict (quota_verdict verdict, Host &host, int64_t since_ms)
  {
    if (verdict == QUOTA_TAKEN)
      executed_ms.push_back (now_ms);
    else if (verdict == QUOTA_EXHAUSTED)
      refused++;
    else
      {
        host.waiting.push_back (since_ms);
        quota_cache_add_waiter (&host.cache);
      }
  }

  /* Retries the waiting requests, each for up to a second. */
  void
  retry_waiting (Host &host)
  {
    std::deque<int64_t> waiting;
    waiting.swap (host.waiting);
    for (const int64_t since_ms : waiting)
      {
        quota_cache_remove_waiter (&host.cache);
        if (now_ms - since_ms >= 1000)
          refused++;
        else
          count_verdict (quota_cache_retry (&host.cache, clock_now_ms (host)),
                         host, since_ms);
      }
  }

  void
  request_tokens (size_t number, uint32_t requested)
  {
    Host &host = fleet[number];
    const int64_t clock_ms = clock_now_ms (host);
    request_count++;
    quota_cache_note_request (&host.cache, clock_ms);
    if (host.coordinator == number)
      {
        const quota_grant granted = quota_pool_grant (
            host.pool, clock_ms, workspace, &limit, requested);
        const quota_answer answer = { clock_ms, requested, granted.tokens,
                                      granted.term_ms, granted.next_token_ms };
        quota_cache_note_answer (&host.cache, clock_ms, &answer);
        retry_waiting (host);
        return;
      }
    Message message = {};
    message.from = number;
    message.to = host.coordinator;
    message.is_request = true;
    message.leases_share
        = quota_lease_renew (&host.lease, clock_ms, host.coordinator + 1);
    quota_shares_set_own_from (host.shares, clock_ms, host.lease.expires_ms);
    message.echo = host.stamps[host.coordinator];
    message.stamp = quota_stamp_make (host.nonce, clock_ms);
    message.tokens = requested;
    send (message);
  }

  void
  step (size_t number)
  {
    Host &host = fleet[number];
    const int64_t clock_ms = clock_now_ms (host);
    if (now_ms >= host.next_renewal_ms)
      {
        host.next_renewal_ms = now_ms + QUOTA_RENEWAL_INTERVAL_MS;
        request_tokens (number,
                        quota_cache_tokens_needed (&host.cache, clock_ms));
      }
    if (now_ms >= host.retry_ms)
      {
        host.retry_ms = now_ms + 50;
        retry_waiting (host);
        const uint32_t needed
            = quota_cache_tokens_needed (&host.cache, clock_ms);
        if (needed > 0)
          request_tokens (number, needed);
      }
    const double expected
        = demand_per_s * step_ms / 1000 / (double)fleet.size ();
    if (rng_unit (&random) >= expected)
      return;
    count_verdict (quota_cache_take (&host.cache, clock_ms), host, now_ms);
    const uint32_t needed = quota_cache_tokens_needed (&host.cache, clock_ms);
    if (needed > 0)
      request_tokens (number, needed);
  }

  quota_tolerance tolerance;
  quota_limit limit;
  Faults faults;
  double demand_per_s;
  std::vector<Host> fleet;
  std::deque<Message> messages;
  rng random = {};
  int64_t now_ms = 0;
};

TEST (QuotaModel, WholeQuotaIsUsableWithoutFaults)
{
  const quota_limit limit = { 100, 100 };
  Fleet fleet (1, 20, limit, {}, 500);
  fleet.run (60000);
  EXPECT_LE (fleet.max_excess (), 0);
  EXPECT_GE (fleet.executed_ms.size (), 5900u);
}

/* Guards against requests that are refused although the workspace is below
   its quota, however its requests are distributed over the hosts. */
TEST (QuotaModel, FewRequestsAreRefusedBelowQuota)
{
  for (const double rate : { 1.6, 20.0, 320.0 })
    {
      const quota_limit limit = { rate, rate };
      Fleet fleet (2, 30, limit, {}, rate / 1.6);
      /* Tokens are available a few seconds after all hosts have started. */
      fleet.run (5000);
      fleet.refused = 0;
      fleet.run (300000);
      EXPECT_GT (fleet.executed_ms.size (), 100u);
      EXPECT_LE ((double)fleet.refused,
                 0.01 * (double)fleet.executed_ms.size ())
          << rate;
      EXPECT_LE (fleet.max_excess (), 0);
    }
}

/* No tolerance beyond the quota, a small one and the usual one. */
const quota_tolerance all_tolerances[]
    = { { 5000, 0, 0 }, { 5000, 2, 10 }, { 5000, 10, 20 } };

TEST (QuotaModel, BoundHoldsWithFaults)
{
  uint64_t ran = 0;
  for (uint64_t seed = 1; seed <= 64; seed++)
    {
      Faults faults;
      faults.delayed_one_in = seed % 2 == 0 ? 4 : 0;
      faults.lost_one_in = seed % 3 == 0 ? 10 : 0;
      faults.kill_steps = seed % 4 < 2 ? 30 : 0;
      faults.suspend_steps = seed % 5 < 2 ? 100 : 0;
      faults.coordinator_steps
          = seed % 8 < 5 ? 5 + (uint32_t)(seed % 7) * 40 : 0;
      const quota_limit limit
          = { seed % 3 == 0 ? 100.0 : 40.0, (double)(seed % 5) * 25 };
      Fleet fleet (seed, 4 + seed % 20, limit, faults, 600,
                   all_tolerances[seed % 3]);
      fleet.run (60000);
      EXPECT_LE (fleet.max_excess (), 0) << "seed " << seed;
      ran += fleet.executed_ms.size ();
    }
  EXPECT_GT (ran, 100000u);
}

/* Hosts are killed constantly, at most once in a window each, and restart
   within a second.  A host that has just leased its share doesn't know of the
   lease after its restart, and considers another host the coordinator. */
TEST (QuotaModel, BoundHoldsWhenAllHostsAreKilled)
{
  for (uint64_t seed = 1; seed <= 30; seed++)
    {
      Faults faults;
      faults.kill_steps = 1;
      faults.coordinator_steps = 2;
      const quota_limit limit = { 100, (double)(seed % 2) * 100 };
      Fleet fleet (seed, 12, limit, faults, 1200, all_tolerances[seed % 3]);
      fleet.run (60000);
      EXPECT_LE (fleet.max_excess (), 0) << "seed " << seed;
    }
}
} // namespace
