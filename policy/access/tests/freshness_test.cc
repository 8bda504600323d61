/* When a host may say yes or no to a key. */
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
fresh (uint64_t version, int64_t time_ms)
{
  freshness made;
  freshness_init (&made);
  freshness_set_version_in_force (&made, version);
  const freshness_proof proof = { version, time_ms };
  freshness_add_proof (&made, &proof);
  return made;
}

TEST (Freshness, NothingIsKnownAtFirst)
{
  freshness made;
  freshness_init (&made);
  EXPECT_EQ (freshness_age_ms (&made, 100), FRESHNESS_AGE_UNKNOWN_MS);
  EXPECT_FALSE (freshness_is_within_bound (&made, 100, bound_ms));
  freshness_set_version_in_force (&made, 3);
  EXPECT_FALSE (freshness_is_within_bound (&made, 100, bound_ms));
}

TEST (Freshness, HoldsForLessThanTheBound)
{
  const freshness made = fresh (3, 1000);
  EXPECT_TRUE (freshness_is_within_bound (&made, 1000, bound_ms));
  EXPECT_TRUE (freshness_is_within_bound (&made, 5900, bound_ms));
  EXPECT_FALSE (freshness_is_within_bound (&made, 5950, bound_ms));
  EXPECT_FALSE (freshness_is_within_bound (&made, 100000, bound_ms));
}

TEST (Freshness, AnOlderProofChangesNothing)
{
  freshness made = fresh (3, 1000);
  const freshness_proof older = { 3, 900 };
  EXPECT_FALSE (freshness_add_proof (&made, &older));
  EXPECT_EQ (freshness_age_ms (&made, 1000), 0u);
}

/* A neighbour says that all is known as of now, and that there is a version
   which this host lacks.  Taken at its word, the host would go on with a key
   that the version takes away. */
TEST (Freshness, AProofOfANewerVersionCountsOnceThatIsInForce)
{
  freshness made = fresh (3, 1000);
  const freshness_proof newer = { 4, 9000 };
  EXPECT_FALSE (freshness_add_proof (&made, &newer));
  EXPECT_FALSE (freshness_is_within_bound (&made, 9000, bound_ms));
  freshness_set_version_in_force (&made, 4);
  EXPECT_TRUE (freshness_is_within_bound (&made, 9000, bound_ms));
  EXPECT_EQ (freshness_get_proof (&made).version, 4u);
}

TEST (Freshness, AVersionInBetweenIsNotEnough)
{
  freshness made = fresh (3, 1000);
  const freshness_proof newer = { 5, 9000 };
  freshness_add_proof (&made, &newer);
  freshness_set_version_in_force (&made, 4);
  EXPECT_FALSE (freshness_is_within_bound (&made, 9000, bound_ms));
  freshness_set_version_in_force (&made, 5);
  EXPECT_TRUE (freshness_is_within_bound (&made, 9000, bound_ms));
}

/* A fleet under a random order of events: versions are accepted, hosts ask the
   platform or one another, answers take long, hosts freeze and start anew.
   Held against what is really accepted: no host that says yes lacks a version
   that was accepted longer ago than the bound. */
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

  uint64_t said_yes = 0;

private:
  struct answer
  {
    size_t host;
    freshness_proof proof;
    int64_t due_ms;
  };

  uint64_t
  newest () const
  {
    return accepted_ms.size ();
  }

  /* Mostly soon, sometimes after long: frozen, choked, lost and sent again. */
  int64_t
  some_delay ()
  {
    return (int64_t)rng_below (&random,
                               rng_below (&random, 4) == 0 ? 9000 : 100);
  }

  void
  ask_platform (size_t host)
  {
    answers.push_back (
        { host, { newest (), now_ms }, now_ms + some_delay () });
  }

  /* The question takes its time too: the answer is of when it came. */
  void
  ask_host (size_t host, size_t other)
  {
    const uint32_t age_ms = freshness_age_ms (&hosts[other], now_ms);
    if (age_ms == FRESHNESS_AGE_UNKNOWN_MS)
      return;
    const int64_t asked_ms = now_ms - some_delay ();
    answers.push_back ({ host,
                         { hosts[other].version, asked_ms - age_ms },
                         now_ms + some_delay () });
  }

  void
  deliver ()
  {
    for (size_t i = 0; i < answers.size ();)
      {
        if (answers[i].due_ms > now_ms)
          {
            i++;
            continue;
          }
        const answer due = answers[i];
        answers.erase (answers.begin () + (long)i);
        freshness_add_proof (&hosts[due.host], &due.proof);
        /* The version itself comes by another way, sooner or later. */
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
        said_yes++;
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
  std::vector<int64_t> accepted_ms; /**< of version 1 and up */
  std::vector<freshness> hosts;
  std::vector<answer> answers;
};

TEST (Freshness, NoHostSaysYesPastTheBound)
{
  uint64_t said_yes = 0;
  for (uint64_t seed = 1; seed <= 20; seed++)
    {
      FreshnessModel model (seed);
      for (int i = 0; i < 50000 && !HasFatalFailure (); i++)
        model.step ();
      said_yes += model.said_yes;
    }
  /* A host that never says yes would keep the rule as well. */
  EXPECT_GT (said_yes, 1000000u);
}
} // namespace
