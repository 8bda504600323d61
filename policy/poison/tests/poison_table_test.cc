#include <gtest/gtest.h>

#include <vector>

extern "C"
{
#include "policy/poison/poison_table.h"
}

namespace
{
constexpr uint32_t block_ms = 60000;
constexpr uint32_t block_max_ms = 200000;

class PoisonTable : public testing::Test
{
protected:
  poison_table *table = make_table ();
  int64_t now = 1000000;

  static poison_table *
  make_table ()
  {
    const poison_options options = { 3, block_ms, block_max_ms };
    return poison_table_create (&options);
  }

  ~PoisonTable () override
  {
    poison_table_destroy (table);
  }

  static fingerprint
  request (uint64_t number)
  {
    return { number % 7, number, ~number };
  }

  /* Request NUMBER is sent to TARGET and crashes it 80 ms later. */
  bool
  crash (uint64_t number, uint64_t target, poison_row *row = nullptr)
  {
    poison_row unused;
    const poison_crash observed = { request (number), target, now, now + 80 };
    now += 100;
    return poison_table_add_crash (table, now, &observed,
                                   row != nullptr ? row : &unused);
  }

  poison_verdict
  check (uint64_t number, bool owns_trials = true)
  {
    const fingerprint print = request (number);
    left_ms = 0;
    return poison_table_check (table, now, &print, owns_trials, &left_ms);
  }

  void
  block (uint64_t number)
  {
    for (uint64_t target = 1; target <= 3; target++)
      crash (number, number * 100 + target);
    ASSERT_EQ (check (number), POISON_BLOCKED);
  }

  bool
  answer (uint64_t number)
  {
    poison_row row;
    const fingerprint print = request (number);
    return poison_table_clear (table, now, &print, &row);
  }

  uint32_t left_ms = 0;
};

/* Guards against a request that crashes targets without limit. */
TEST_F (PoisonTable, ThirdCrashBlocks)
{
  EXPECT_TRUE (crash (1, 11));
  EXPECT_TRUE (crash (1, 12));
  EXPECT_EQ (check (1), POISON_PASS);
  EXPECT_TRUE (crash (1, 13));
  EXPECT_EQ (check (1), POISON_BLOCKED);
  EXPECT_EQ (left_ms, block_ms);
  EXPECT_EQ (check (2), POISON_PASS);
}

/* Guards against counting a crash once for each host that observed it. */
TEST_F (PoisonTable, CrashReportedByManyHostsCountsOnce)
{
  for (int host = 0; host < 5; host++)
    {
      const poison_row observed
          = { request (1), 11, 0, 0, 0, 200, (uint32_t)(20 + host) };
      EXPECT_EQ (poison_table_merge (table, now + host, &observed), host == 0);
    }
  EXPECT_EQ (check (1), POISON_PASS);
}

/* Guards against blocking a popular request that was running on many targets
   when they failed at the same time. */
TEST_F (PoisonTable, SimultaneousCrashesCountOnce)
{
  for (uint64_t target = 1; target <= 10; target++)
    {
      poison_row row;
      const poison_crash observed
          = { request (1), target, now - 50, now + (int64_t)target };
      poison_table_add_crash (table, now + 20, &observed, &row);
    }
  EXPECT_EQ (check (1), POISON_PASS);
}

/* Guards against ignoring repeated crashes of a target: a service may have
   fewer targets than the crash limit. */
TEST_F (PoisonTable, RestartedTargetCountsAgain)
{
  for (int i = 0; i < 3; i++)
    {
      crash (1, 11);
      now += 3000;
    }
  EXPECT_EQ (check (1), POISON_BLOCKED);
}

/* Guards against counting crashes from before a complete response. */
TEST_F (PoisonTable, CompleteAnswerClearsRequest)
{
  crash (1, 11);
  crash (1, 12);
  EXPECT_TRUE (answer (1));
  crash (1, 13);
  EXPECT_EQ (check (1), POISON_PASS);
  EXPECT_FALSE (answer (2));
}

/* Guards against blocking requests that only shared the crashed targets. */
TEST_F (PoisonTable, CrashesOfBlockedRequestCountForNoOther)
{
  for (uint64_t target = 11; target <= 13; target++)
    {
      poison_row row;
      const poison_crash other = { request (2), target, now, now + 80 };
      crash (1, target);
      poison_table_add_crash (table, now, &other, &row);
    }
  EXPECT_EQ (check (1), POISON_BLOCKED);
  EXPECT_EQ (check (2), POISON_PASS);
  crash (2, 21);
  crash (2, 22);
  EXPECT_EQ (check (2), POISON_PASS);
}

/* Guards against more than one crash after each block, and against blocks that
   do not grow. */
TEST_F (PoisonTable, FailedTrialDoublesBlock)
{
  block (1);
  now += block_ms + 1;
  EXPECT_EQ (check (1, false), POISON_BLOCKED);
  EXPECT_EQ (check (1), POISON_TRIAL);
  EXPECT_EQ (check (1), POISON_BLOCKED);
  crash (1, 99);
  EXPECT_EQ (check (1), POISON_BLOCKED);
  EXPECT_EQ (left_ms, 2 * block_ms);
  now += 2 * block_ms + 1;
  EXPECT_EQ (check (1), POISON_TRIAL);
  crash (1, 98);
  check (1);
  EXPECT_EQ (left_ms, block_max_ms);
  now += block_max_ms + 1;
  EXPECT_EQ (check (1), POISON_TRIAL);
  EXPECT_TRUE (answer (1));
  EXPECT_EQ (check (1), POISON_PASS);
}

/* Guards against a permanent block when the result of a trial is lost. */
TEST_F (PoisonTable, TrialWithoutResultIsRepeated)
{
  block (1);
  now += block_ms + 1;
  EXPECT_EQ (check (1), POISON_TRIAL);
  now += POISON_TRIAL_TIMEOUT_MS;
  EXPECT_EQ (check (1), POISON_TRIAL);
}

/* Guards against blocks that are extended each time hosts exchange them. */
TEST_F (PoisonTable, RepeatedMergesDoNotExtendBlock)
{
  poison_row rows[8];
  block (1);
  poison_table *other = make_table ();
  for (int i = 0; i < 100; i++)
    {
      size_t count = poison_table_export (table, now, rows, 8);
      now += 5;
      for (size_t k = 0; k < count; k++)
        poison_table_merge (other, now, &rows[k]);
      count = poison_table_export (other, now, rows, 8);
      now += 5;
      for (size_t k = 0; k < count; k++)
        EXPECT_FALSE (poison_table_merge (table, now, &rows[k]));
    }
  const fingerprint print = request (1);
  EXPECT_LE (poison_table_get_block (other, now, &print).left_ms,
             block_ms - 100 * 10 + 5);
  poison_table_destroy (other);
}

/* Guards against a stale row that blocks a cleared request again. */
TEST_F (PoisonTable, ClearedRequestIgnoresStaleRows)
{
  const fingerprint print = request (1);
  block (1);
  const poison_row stale = poison_table_get_block (table, now, &print);
  EXPECT_TRUE (answer (1));
  EXPECT_FALSE (poison_table_merge (table, now, &stale));
  EXPECT_EQ (check (1), POISON_PASS);
}

/* Guards against unbounded memory, and against evicted blocks, when many
   different requests crash targets. */
TEST_F (PoisonTable, IsBoundedAndRetainsBlocks)
{
  block (1);
  for (uint64_t number = 2; number < 5000; number++)
    crash (number, number);
  std::vector<poison_summary> summaries (2 * POISON_ENTRIES_MAX);
  EXPECT_EQ (
      poison_table_list (table, now, summaries.data (), summaries.size ()),
      (size_t)POISON_ENTRIES_MAX);
  EXPECT_NE (check (1), POISON_PASS);
}

TEST_F (PoisonTable, ExpiresOldCrashesAndBlocks)
{
  block (1);
  crash (2, 21);
  crash (2, 22);
  now += POISON_CRASH_RETENTION_MS;
  crash (2, 23);
  EXPECT_EQ (check (2), POISON_PASS);
  poison_table_expire (table, now + block_ms + POISON_BLOCK_RETENTION_MS + 1);
  EXPECT_TRUE (poison_table_is_empty (table));
}

/* Guards against blocking a request because of its head hash alone. */
TEST_F (PoisonTable, HeadHashAloneDoesNotBlock)
{
  block (1);
  EXPECT_TRUE (poison_table_has_head (table, 1));
  EXPECT_FALSE (poison_table_has_head (table, 2));
  EXPECT_EQ (check (8), POISON_PASS);
}

/* Guards against crashes that are not counted because reports of other hosts
   arrive out of order. */
TEST_F (PoisonTable, CrashesReportedOutOfOrderAreCounted)
{
  const int order[] = { 2, 0, 1 };
  for (const int i : order)
    {
      const poison_row reported = { request (1),
                                    (uint64_t)(11 + i),
                                    0,
                                    0,
                                    0,
                                    (uint32_t)(1000 - 100 * i),
                                    (uint32_t)(950 - 100 * i) };
      EXPECT_TRUE (poison_table_merge (table, now, &reported));
    }
  EXPECT_EQ (check (1), POISON_BLOCKED);
}
} // namespace
