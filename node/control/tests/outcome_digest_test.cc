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
    IN_SET = 1,
  };
  outcome_digest digest = {};
  int64_t now_ms = 1000000;

  void
  note (uint64_t target, attempt_end end, uint64_t by = IN_SET)
  {
    outcome_digest_add (&digest, now_ms, by, target, end);
  }

  std::set<uint64_t>
  tell (uint64_t host)
  {
    outcome_digest_target targets[OUTCOME_DIGEST_TARGETS_MAX];
    std::set<uint64_t> told;
    const size_t count
        = outcome_digest_collect (&digest, now_ms, host, targets);
    for (size_t i = 0; i < count; i++)
      told.insert (targets[i].key);
    return told;
  }
};

/* Guards against hosts that are told to avoid what is well again. */
TEST_F (OutcomeDigest, TellsTargetsWhoseLastAttemptFailed)
{
  note (1, ATTEMPT_FAILED);
  note (2, ATTEMPT_TIMED_OUT);
  note (3, ATTEMPT_CUT);
  note (4, ATTEMPT_ANSWERED);
  note (5, ATTEMPT_SHED);
  note (6, ATTEMPT_NOT_SENT);
  note (2, ATTEMPT_ANSWERED);
  EXPECT_EQ (tell (HOST), (std::set<uint64_t>{ 1, 3 }));
}

/* Guards against one failure that counts again with each digest. */
TEST_F (OutcomeDigest, TellsEachHostOfAFailureOnce)
{
  note (1, ATTEMPT_FAILED);
  now_ms += 10;
  EXPECT_EQ (tell (HOST).size (), 1u);
  now_ms += 1000;
  EXPECT_TRUE (tell (HOST).empty ());
  EXPECT_EQ (tell (HOST + 1).size (), 1u);
  note (1, ATTEMPT_FAILED);
  now_ms += OUTCOME_DIGEST_INTERVAL_MS;
  EXPECT_EQ (tell (HOST).size (), 1u);
}

/* Guards against a host's own failure that comes back to it as another one. */
TEST_F (OutcomeDigest, TellsNoHostOfWhatItHasSeenItself)
{
  note (1, ATTEMPT_FAILED, HOST);
  note (2, ATTEMPT_FAILED);
  EXPECT_EQ (tell (HOST), (std::set<uint64_t>{ 2 }));
  EXPECT_EQ (tell (HOST + 1), (std::set<uint64_t>{ 1, 2 }));
}

/* Guards against a digest for each of many requests. */
TEST_F (OutcomeDigest, PausesBetweenTwoDigestsForOneHost)
{
  EXPECT_TRUE (tell (HOST).empty ());
  note (1, ATTEMPT_FAILED);
  now_ms += OUTCOME_DIGEST_INTERVAL_MS - 1;
  EXPECT_TRUE (tell (HOST).empty ());
  now_ms += 1;
  EXPECT_EQ (tell (HOST).size (), 1u);
}

TEST_F (OutcomeDigest, LeavesOutOldFailures)
{
  note (1, ATTEMPT_FAILED);
  now_ms += OUTCOME_DIGEST_AGE_MAX_MS + 1;
  note (2, ATTEMPT_FAILED);
  EXPECT_EQ (tell (HOST), (std::set<uint64_t>{ 2 }));
}

/* Guards against memory that grows with targets and hosts: the oldest rows
 * make room. */
TEST_F (OutcomeDigest, KeepsTheLatestOfTooMany)
{
  for (uint64_t t = 0; t < 2 * OUTCOME_DIGEST_TARGETS_MAX; t++)
    {
      now_ms++;
      note (t, ATTEMPT_FAILED);
    }
  const auto told = tell (HOST);
  EXPECT_EQ (told.size (), (size_t)OUTCOME_DIGEST_TARGETS_MAX);
  EXPECT_EQ (*told.begin (), (uint64_t)OUTCOME_DIGEST_TARGETS_MAX);
  for (uint64_t h = 0; h < 2 * OUTCOME_DIGEST_HOSTS_MAX; h++)
    tell (100 + h);
  EXPECT_EQ (digest.host_count, (uint32_t)OUTCOME_DIGEST_HOSTS_MAX);
}

}
