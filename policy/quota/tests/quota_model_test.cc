/* A whole fleet's quota in virtual time.  Whatever messages are lost or late,
   and whoever is cut off, frozen, killed or believed to be the keeper, the
   requests of a workspace that run are at most its quota, in every window. */
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
const quota_tolerance usual_terms = { 5000, 10, 20 };

/* What a model run has of troubles. */
struct Troubles
{
  uint32_t late = 0;    /**< one message in so many takes seconds; 0: none */
  uint32_t lost = 0;    /**< one in so many is lost */
  uint32_t kills = 0;   /**< steps between two, on average; 0: none */
  uint32_t freezes = 0; /**< the same */
  uint32_t views = 0;   /**< steps between two changes of a host's keeper */
};

struct Host
{
  uint64_t life = 0;
  int64_t skew_ms = 0; /**< of its clock */
  int64_t frozen_until_ms = 0;
  int64_t down_until_ms = 0;
  int64_t killed_ms = -100000;
  int64_t renew_ms = 0;
  size_t coordinator = 0;
  quota_lease lending = {};
  quota_shares *shares = nullptr;
  quota_pool *ledger = nullptr;
  quota_cache stock = {};
  std::deque<int64_t> waiting; /**< requests, since when */
  int64_t resume_ms = 0;
  std::vector<uint64_t> stamps; /**< of each keeper, as heard last */
};

struct Message
{
  size_t from;
  size_t to;
  bool is_ask;
  bool lends;
  uint64_t echo;
  uint64_t stamp;
  uint32_t tokens; /**< wanted, or granted */
  uint32_t wanted;
  uint32_t term_ms;
  uint32_t due_ms;
  int64_t due_at_ms;
};

class Fleet
{
public:
  Fleet (uint64_t seed, size_t hosts, const quota_limit &of,
         const Troubles &with, double demand,
         const quota_tolerance &tolerated = usual_terms)
      : terms (tolerated), limit (of), troubles (with), demand_per_s (demand),
        fleet (hosts)
  {
    rng_seed (&random, seed);
    for (size_t i = 0; i < hosts; i++)
      {
        fleet[i].skew_ms = (int64_t)rng_below (&random, 1000000);
        fleet[i].coordinator = 0;
        begin_life (fleet[i]);
      }
  }

  ~Fleet ()
  {
    for (Host &host : fleet)
      end_life (host);
  }

  Fleet (const Fleet &) = delete;
  Fleet &operator= (const Fleet &) = delete;

  void
  run (int64_t until_ms)
  {
    while (now_ms < until_ms)
      {
        now_ms += step_ms;
        trouble ();
        deliver ();
        for (size_t i = 0; i < fleet.size (); i++)
          if (acts (fleet[i]))
            act (i);
      }
  }

  /* The most that ran in any window, beyond what may. */
  double
  most_beyond () const
  {
    const double allowed
        = (limit.rate_per_s * terms.window_ms / 1000 + limit.burst)
              * (1 + terms.overshoot_percent / 100.0)
          + terms.slack;
    size_t first = 0;
    size_t most = 0;
    for (size_t i = 0; i < ran_ms.size (); i++)
      {
        while (ran_ms[i] - ran_ms[first] >= terms.window_ms)
          first++;
        most = std::max (most, i - first + 1);
      }
    return (double)most - allowed;
  }

  std::vector<int64_t> ran_ms;
  uint64_t refused = 0;
  uint64_t asked = 0;

private:
  static constexpr int64_t step_ms = 5;

  bool
  acts (const Host &host) const
  {
    return host.shares != nullptr && now_ms >= host.frozen_until_ms;
  }

  int64_t
  clock (const Host &host) const
  {
    return now_ms + host.skew_ms;
  }

  void
  begin_life (Host &host)
  {
    host.life = rng_next (&random);
    quota_lease_init (&host.lending, clock (host), &terms);
    host.shares = quota_shares_create (clock (host), host.lending.expires_ms);
    quota_shares_note_host_count (host.shares, clock (host),
                                  (uint32_t)fleet.size ());
    host.ledger = quota_pool_create (host.shares, &terms);
    host.stock = {};
    host.waiting.clear ();
    host.renew_ms = now_ms;
    host.stamps.assign (fleet.size (), 0);
  }

  static void
  end_life (Host &host)
  {
    quota_pool_destroy (host.ledger);
    quota_shares_destroy (host.shares);
    host.ledger = nullptr;
    host.shares = nullptr;
  }

  bool
  happens (uint32_t steps)
  {
    return steps > 0 && rng_below (&random, steps) == 0;
  }

  void
  trouble ()
  {
    Host &host = fleet[rng_below (&random, fleet.size ())];
    if (happens (troubles.views))
      host.coordinator = rng_below (&random, fleet.size ());
    if (happens (troubles.freezes))
      host.frozen_until_ms = now_ms + (int64_t)rng_below (&random, 4000);
    /* One start a window is what the overshoot pays for. */
    if (happens (troubles.kills) && host.shares != nullptr
        && now_ms - host.killed_ms > terms.window_ms + 1000)
      {
        end_life (host);
        host.killed_ms = now_ms;
        host.down_until_ms = now_ms + (int64_t)rng_below (&random, 1000);
      }
    for (Host &each : fleet)
      if (each.shares == nullptr && now_ms >= each.down_until_ms)
        begin_life (each);
  }

  void
  send (Message message)
  {
    if (happens (troubles.lost))
      return;
    message.due_at_ms
        = now_ms
          + (int64_t)(happens (troubles.late) ? rng_below (&random, 3000)
                                              : rng_below (&random, 10));
    messages.push_back (message);
  }

  void
  deliver ()
  {
    for (size_t i = 0; i < messages.size ();)
      {
        const Message message = messages[i];
        if (message.due_at_ms > now_ms || !acts (fleet[message.to]))
          {
            const bool is_gone = fleet[message.to].shares == nullptr;
            if (!is_gone)
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
    const int64_t clock_ms = clock (host);
    int64_t echoed_ms;
    const bool is_own
        = quota_stamp_parse (host.life, message.echo, clock_ms, &echoed_ms);
    if (!message.is_ask)
      {
        host.stamps[message.from] = message.stamp;
        if (!is_own)
          return;
        const quota_answer answer
            = { echoed_ms, message.wanted, message.tokens, message.term_ms,
                message.due_ms };
        quota_cache_note_answer (&host.stock, clock_ms, &answer);
        resume (host);
        return;
      }
    if (message.lends && is_own)
      quota_shares_add_lease (host.shares, clock_ms, message.from, echoed_ms);
    const quota_grant granted = quota_pool_grant (
        host.ledger, clock_ms, workspace, &limit, message.tokens);
    Message answer = {};
    answer.from = message.to;
    answer.to = message.from;
    answer.echo = message.stamp;
    answer.stamp = quota_stamp_make (host.life, clock_ms);
    answer.tokens = granted.tokens;
    answer.wanted = message.tokens;
    answer.term_ms = granted.term_ms;
    answer.due_ms = granted.next_token_ms;
    send (answer);
  }

  void
  count (quota_verdict verdict, Host &host, int64_t since_ms)
  {
    if (verdict == QUOTA_TAKEN)
      ran_ms.push_back (now_ms);
    else if (verdict == QUOTA_EXHAUSTED)
      refused++;
    else
      {
        host.waiting.push_back (since_ms);
        quota_cache_add_waiter (&host.stock);
      }
  }

  /* Those that wait ask once more, but no longer than a moment. */
  void
  resume (Host &host)
  {
    std::deque<int64_t> waiting;
    waiting.swap (host.waiting);
    for (const int64_t since_ms : waiting)
      {
        quota_cache_remove_waiter (&host.stock);
        if (now_ms - since_ms >= 1000)
          refused++;
        else
          count (quota_cache_retry (&host.stock, clock (host)), host,
                 since_ms);
      }
  }

  void
  ask (size_t number, uint32_t wanted)
  {
    Host &host = fleet[number];
    const int64_t clock_ms = clock (host);
    asked++;
    quota_cache_note_request (&host.stock, clock_ms);
    if (host.coordinator == number)
      {
        const quota_grant granted = quota_pool_grant (
            host.ledger, clock_ms, workspace, &limit, wanted);
        const quota_answer answer = { clock_ms, wanted, granted.tokens,
                                      granted.term_ms, granted.next_token_ms };
        quota_cache_note_answer (&host.stock, clock_ms, &answer);
        resume (host);
        return;
      }
    Message message = {};
    message.from = number;
    message.to = host.coordinator;
    message.is_ask = true;
    message.lends
        = quota_lease_renew (&host.lending, clock_ms, host.coordinator + 1);
    quota_shares_set_own_from (host.shares, clock_ms, host.lending.expires_ms);
    message.echo = host.stamps[host.coordinator];
    message.stamp = quota_stamp_make (host.life, clock_ms);
    message.tokens = wanted;
    send (message);
  }

  void
  act (size_t number)
  {
    Host &host = fleet[number];
    const int64_t clock_ms = clock (host);
    if (now_ms >= host.renew_ms)
      {
        host.renew_ms = now_ms + QUOTA_RENEWAL_INTERVAL_MS;
        ask (number, quota_cache_tokens_needed (&host.stock, clock_ms));
      }
    if (now_ms >= host.resume_ms)
      {
        host.resume_ms = now_ms + 50;
        resume (host);
        const uint32_t lacking
            = quota_cache_tokens_needed (&host.stock, clock_ms);
        if (lacking > 0)
          ask (number, lacking);
      }
    const double expected
        = demand_per_s * step_ms / 1000 / (double)fleet.size ();
    if (rng_unit (&random) >= expected)
      return;
    count (quota_cache_take (&host.stock, clock_ms), host, now_ms);
    const uint32_t wants = quota_cache_tokens_needed (&host.stock, clock_ms);
    if (wants > 0)
      ask (number, wants);
  }

  quota_tolerance terms;
  quota_limit limit;
  Troubles troubles;
  double demand_per_s;
  std::vector<Host> fleet;
  std::deque<Message> messages;
  rng random = {};
  int64_t now_ms = 0;
};

TEST (QuotaModel, AllOfTheQuotaIsHadWhenNothingFails)
{
  const quota_limit limit = { 100, 100 };
  Fleet fleet (1, 20, limit, {}, 500);
  fleet.run (60000);
  EXPECT_LE (fleet.most_beyond (), 0);
  EXPECT_GE (fleet.ran_ms.size (), 5900u);
}

/* Below its quota a workspace is refused next to nothing, however its requests
   fall on the hosts. */
TEST (QuotaModel, LittleIsRefusedBelowTheQuota)
{
  for (const double rate : { 1.6, 20.0, 320.0 })
    {
      const quota_limit limit = { rate, rate };
      Fleet fleet (2, 30, limit, {}, rate / 1.6);
      /* Tokens are there some seconds after a start of all hosts. */
      fleet.run (5000);
      fleet.refused = 0;
      fleet.run (300000);
      EXPECT_GT (fleet.ran_ms.size (), 100u);
      EXPECT_LE ((double)fleet.refused, 0.01 * (double)fleet.ran_ms.size ())
          << rate;
      EXPECT_LE (fleet.most_beyond (), 0);
    }
}

/* With nothing tolerated beyond the quota and with as much as is usual. */
const quota_tolerance all_terms[]
    = { { 5000, 0, 0 }, { 5000, 2, 10 }, { 5000, 10, 20 } };

TEST (QuotaModel, TheBoundHoldsWhateverFails)
{
  uint64_t ran = 0;
  for (uint64_t seed = 1; seed <= 64; seed++)
    {
      Troubles troubles;
      troubles.late = seed % 2 == 0 ? 4 : 0;
      troubles.lost = seed % 3 == 0 ? 10 : 0;
      troubles.kills = seed % 4 < 2 ? 30 : 0;
      troubles.freezes = seed % 5 < 2 ? 100 : 0;
      troubles.views = seed % 8 < 5 ? 5 + (uint32_t)(seed % 7) * 40 : 0;
      const quota_limit limit
          = { seed % 3 == 0 ? 100.0 : 40.0, (double)(seed % 5) * 25 };
      Fleet fleet (seed, 4 + seed % 20, limit, troubles, 600,
                   all_terms[seed % 3]);
      fleet.run (60000);
      EXPECT_LE (fleet.most_beyond (), 0) << "seed " << seed;
      ran += fleet.ran_ms.size ();
    }
  EXPECT_GT (ran, 100000u);
}

/* Hosts are killed all the time, at most once in a window each, and start at
   once: who lent its share a moment ago knows nothing of it, and believes
   another one to be the keeper. */
TEST (QuotaModel, TheBoundHoldsWhenAllAreKilled)
{
  for (uint64_t seed = 1; seed <= 30; seed++)
    {
      Troubles troubles;
      troubles.kills = 1;
      troubles.views = 2;
      const quota_limit limit = { 100, (double)(seed % 2) * 100 };
      Fleet fleet (seed, 12, limit, troubles, 1200, all_terms[seed % 3]);
      fleet.run (60000);
      EXPECT_LE (fleet.most_beyond (), 0) << "seed " << seed;
    }
}
} // namespace
