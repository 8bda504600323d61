/* Checks when a host may accept or reject a key. */
#include <algorithm>
#include <deque>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "base/rng.h"
#include "policy/access/freshness.h"
}

namespace
{
const uint32_t bound_ms = 5000;

freshness
make_freshness (uint64_t version, int64_t time_ms)
{
  freshness state;
  freshness_init (&state);
  freshness_set_version_in_force (&state, version);
  const freshness_proof proof = { version, time_ms };
  freshness_add_proof (&state, &proof);
  return state;
}

TEST (Freshness, HasNoProofInitially)
{
  freshness state;
  freshness_init (&state);
  EXPECT_EQ (freshness_age_ms (&state, 100), FRESHNESS_AGE_UNKNOWN_MS);
  EXPECT_FALSE (freshness_is_within_bound (&state, 100, bound_ms));
  freshness_set_version_in_force (&state, 3);
  EXPECT_FALSE (freshness_is_within_bound (&state, 100, bound_ms));
}

TEST (Freshness, IsValidForLessThanTheBound)
{
  const freshness state = make_freshness (3, 1000);
  EXPECT_TRUE (freshness_is_within_bound (&state, 1000, bound_ms));
  EXPECT_TRUE (freshness_is_within_bound (&state, 5900, bound_ms));
  EXPECT_FALSE (freshness_is_within_bound (&state, 5950, bound_ms));
  EXPECT_FALSE (freshness_is_within_bound (&state, 100000, bound_ms));
}

TEST (Freshness, OlderProofIsIgnored)
{
  freshness state = make_freshness (3, 1000);
  const freshness_proof older = { 3, 900 };
  EXPECT_FALSE (freshness_add_proof (&state, &older));
  EXPECT_EQ (freshness_age_ms (&state, 1000), 0u);
}

/* Guards against a revoked key that stays accepted because a host takes a
   newer time from a neighbour without having the version that the time
   belongs to. */
TEST (Freshness, ProofOfNewerVersionCountsOnceVersionIsInForce)
{
  freshness state = make_freshness (3, 1000);
  const freshness_proof newer = { 4, 9000 };
  EXPECT_FALSE (freshness_add_proof (&state, &newer));
  EXPECT_FALSE (freshness_is_within_bound (&state, 9000, bound_ms));
  freshness_set_version_in_force (&state, 4);
  EXPECT_TRUE (freshness_is_within_bound (&state, 9000, bound_ms));
  EXPECT_EQ (freshness_get_proof (&state).version, 4u);
}

TEST (Freshness, IntermediateVersionIsNotEnough)
{
  freshness state = make_freshness (3, 1000);
  const freshness_proof newer = { 5, 9000 };
  freshness_add_proof (&state, &newer);
  freshness_set_version_in_force (&state, 4);
  EXPECT_FALSE (freshness_is_within_bound (&state, 9000, bound_ms));
  freshness_set_version_in_force (&state, 5);
  EXPECT_TRUE (freshness_is_within_bound (&state, 9000, bound_ms));
}

/* Simulates a fleet under a random order of events: versions are accepted,
   hosts query the platform or one another, answers are delayed, hosts are
   suspended and restarted.  Checks against the versions actually accepted
   that no host that accepts a key lacks a version accepted longer ago than
   the bound. */
class FreshnessModel
{
public:
  explicit FreshnessModel (uint64_t seed) : hosts (8)
  {
    rng_seed (&random, seed);
    for (freshness &host : hosts)
      freshness_init (&host);
  }

  void
  step ()
  {
    now_ms += (int64_t)rng_below (&random, 200);
    if (rng_below (&random, 60) == 0)
      accepted_ms.push_back (now_ms);
    deliver ();
    const size_t host = rng_below (&random, hosts.size ());
    switch (rng_below (&random, 12))
      {
      case 0:
        freshness_init (&hosts[host]);
        break;
      case 1:
        ask_platform (host);
        break;
      default:
        ask_host (host, rng_below (&random, hosts.size ()));
        break;
      }
    check ();
  }

  uint64_t accepted_count = 0;

private:
  struct answer
  {
    size_t host;
    freshness_proof proof;
    int64_t arrives_ms;
  };

  uint64_t
  newest () const
  {
    return accepted_ms.size ();
  }

  /* Usually short, sometimes long, as after a suspension, on a congested
     link or after a retransmission. */
  int64_t
  random_delay_ms ()
  {
    return (int64_t)rng_below (&random,
                               rng_below (&random, 4) == 0 ? 9000 : 100);
  }

  void
  ask_platform (size_t host)
  {
    answers.push_back (
        { host, { newest (), now_ms }, now_ms + random_delay_ms () });
  }

  /* The request is delayed too: the answer has the state at its arrival. */
  void
  ask_host (size_t host, size_t other)
  {
    const uint32_t age_ms = freshness_age_ms (&hosts[other], now_ms);
    if (age_ms == FRESHNESS_AGE_UNKNOWN_MS)
      return;
    const int64_t asked_ms = now_ms - random_delay_ms ();
    answers.push_back ({ host,
                         { hosts[other].version, asked_ms - age_ms },
                         now_ms + random_delay_ms () });
  }

  void
  deliver ()
  {
    for (size_t i = 0; i < answers.size ();)
      {
        if (answers[i].arrives_ms > now_ms)
          {
            i++;
            continue;
          }
        const answer due = answers[i];
        answers.erase (answers.begin () + (long)i);
        freshness_add_proof (&hosts[due.host], &due.proof);
        /* The version itself arrives independently, sooner or later. */
        if (rng_below (&random, 3) == 0)
          freshness_set_version_in_force (&hosts[due.host], due.proof.version);
      }
  }

  void
  check ()
  {
    for (const freshness &host : hosts)
      {
        if (!freshness_is_within_bound (&host, now_ms, bound_ms))
          continue;
        accepted_count++;
        if (host.version < newest ())
          {
            ASSERT_GT (accepted_ms[host.version] + bound_ms, now_ms)
                << "version " << host.version + 1 << " was accepted at "
                << accepted_ms[host.version];
          }
      }
  }

  rng random;
  int64_t now_ms = 1000;
  std::vector<int64_t> accepted_ms; /**< index 0 is version 1 */
  std::vector<freshness> hosts;
  std::vector<answer> answers;
};

TEST (Freshness, NoHostAcceptsKeysPastTheBound)
{
  uint64_t accepted_count = 0;
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      FreshnessModel model (seed);
      for (int i = 0; i < 50000 && !HasFatalFailure (); i++)
        model.step ();
      accepted_count += model.accepted_count;
    }
  /* Guards against a trivial pass: a host that never accepts a key also
     meets the bound. */
  EXPECT_GT (accepted_count, 1000000u);
}
} // namespace
