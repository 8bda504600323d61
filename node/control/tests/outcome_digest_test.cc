#include <gtest/gtest.h>

#include <set>

extern "C"
{
#include "node/control/outcome_digest.h"
}

namespace
{

class OutcomeDigest : public ::testing::Test
{
protected:
  enum
  {
    HOST = 7,
    SET_HOST = 1,
  };
  outcome_digest digest = {};
  int64_t now_ms = 1000000;

  void
  add_outcome (uint64_t target, attempt_end end, uint64_t reporter = SET_HOST)
  {
    outcome_digest_add (&digest, now_ms, reporter, target, end);
  }

  std::set<uint64_t>
  collect (uint64_t host)
  {
    outcome_digest_target targets[OUTCOME_DIGEST_TARGETS_MAX];
    std::set<uint64_t> collected;
    const size_t count
        = outcome_digest_collect (&digest, now_ms, host, targets);
    for (size_t i = 0; i < count; i++)
      collected.insert (targets[i].key);
    return collected;
  }
};

/* Hosts must not be told to avoid a target that has recovered. */
TEST_F (OutcomeDigest, CollectsTargetsWhoseLastAttemptFailed)
{
  add_outcome (1, ATTEMPT_FAILED);
  add_outcome (2, ATTEMPT_TIMED_OUT);
  add_outcome (3, ATTEMPT_CUT);
  add_outcome (4, ATTEMPT_ANSWERED);
  add_outcome (5, ATTEMPT_SHED);
  add_outcome (6, ATTEMPT_NOT_SENT);
  add_outcome (2, ATTEMPT_ANSWERED);
  EXPECT_EQ (collect (HOST), (std::set<uint64_t>{ 1, 3 }));
}

/* A failure must not count again with each digest. */
TEST_F (OutcomeDigest, SendsAFailureToEachHostOnce)
{
  add_outcome (1, ATTEMPT_FAILED);
  now_ms += 10;
  EXPECT_EQ (collect (HOST).size (), 1u);
  now_ms += 1000;
  EXPECT_TRUE (collect (HOST).empty ());
  EXPECT_EQ (collect (HOST + 1).size (), 1u);
  add_outcome (1, ATTEMPT_FAILED);
  now_ms += OUTCOME_DIGEST_INTERVAL_MS;
  EXPECT_EQ (collect (HOST).size (), 1u);
}

/* A host's own failure must not return to it as another one. */
TEST_F (OutcomeDigest, LeavesOutFailuresThatTheHostObserved)
{
  add_outcome (1, ATTEMPT_FAILED, HOST);
  add_outcome (2, ATTEMPT_FAILED);
  EXPECT_EQ (collect (HOST), (std::set<uint64_t>{ 2 }));
  EXPECT_EQ (collect (HOST + 1), (std::set<uint64_t>{ 1, 2 }));
}

/* A host that sends many requests must not get a digest for each. */
TEST_F (OutcomeDigest, KeepsTheIntervalBetweenDigestsForAHost)
{
  EXPECT_TRUE (collect (HOST).empty ());
  add_outcome (1, ATTEMPT_FAILED);
  now_ms += OUTCOME_DIGEST_INTERVAL_MS - 1;
  EXPECT_TRUE (collect (HOST).empty ());
  now_ms += 1;
  EXPECT_EQ (collect (HOST).size (), 1u);
}

TEST_F (OutcomeDigest, LeavesOutOldFailures)
{
  add_outcome (1, ATTEMPT_FAILED);
  now_ms += OUTCOME_DIGEST_AGE_MAX_MS + 1;
  add_outcome (2, ATTEMPT_FAILED);
  EXPECT_EQ (collect (HOST), (std::set<uint64_t>{ 2 }));
}

/* Memory must not grow with targets and hosts: the oldest entries are
   replaced. */
TEST_F (OutcomeDigest, KeepsTheLatestOfTooMany)
{
  for (uint64_t t = 0; t < 2 * OUTCOME_DIGEST_TARGETS_MAX; t++)
    {
      now_ms++;
      add_outcome (t, ATTEMPT_FAILED);
    }
  const auto collected = collect (HOST);
  EXPECT_EQ (collected.size (), (size_t)OUTCOME_DIGEST_TARGETS_MAX);
  EXPECT_EQ (*collected.begin (), (uint64_t)OUTCOME_DIGEST_TARGETS_MAX);
  for (uint64_t h = 0; h < 2 * OUTCOME_DIGEST_HOSTS_MAX; h++)
    collect (100 + h);
  EXPECT_EQ (digest.host_count, (uint32_t)OUTCOME_DIGEST_HOSTS_MAX);
}

}
