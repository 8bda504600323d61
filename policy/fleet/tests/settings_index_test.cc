#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/fleet/settings_index.h"
}

namespace
{
struct delivery
{
  uint64_t key;
  uint64_t version;
};

std::vector<delivery>
make_history (rng *random)
{
  std::vector<delivery> history;
  for (int object = 0; object < 40; object++)
    {
      const auto name = "service-" + std::to_string (object);
      const uint64_t key = settings_key ("service", name.c_str ());
      const uint64_t versions = 1 + rng_below (random, 8);
      for (uint64_t version = 1; version <= versions; version++)
        for (uint64_t copy = 0; copy <= rng_below (random, 2); copy++)
          history.push_back ({ key, version });
    }
  return history;
}

void
shuffle (rng *random, std::vector<delivery> *history)
{
  for (size_t i = history->size (); i > 1; i--)
    std::swap ((*history)[i - 1], (*history)[rng_below (random, i)]);
}
}

/* Guards against a setting that reverts because an older version arrives
   late over a slow link, or twice: callers would be sent to a target that
   an operator removed.  In any order and with duplicates, a version never
   decreases, and two hosts that received all versions hold the same ones
   and have the same hash. */
TEST (SettingsIndex, NeverRevertsAndConvergesInAnyOrder)
{
  rng random;
  rng_seed (&random, 21);
  for (int round = 0; round < 200; round++)
    {
      auto history = make_history (&random);
      settings_index *first = settings_index_create (0);
      settings_index *second = settings_index_create (0);
      std::map<uint64_t, uint64_t> reference;
      shuffle (&random, &history);
      for (const auto &d : history)
        {
          const uint64_t before = settings_index_version (first, d.key);
          const bool raised = settings_index_update (first, d.key, d.version);
          ASSERT_EQ (raised, d.version > reference[d.key]);
          reference[d.key] = std::max (reference[d.key], d.version);
          ASSERT_EQ (settings_index_version (first, d.key), reference[d.key]);
          ASSERT_GE (settings_index_version (first, d.key), before);
        }
      ASSERT_NE (settings_index_hash (first), settings_index_hash (second));
      shuffle (&random, &history);
      for (const auto &d : history)
        settings_index_update (second, d.key, d.version);
      ASSERT_EQ (settings_index_hash (first), settings_index_hash (second));
      for (uint32_t b = 0; b < SETTINGS_BUCKETS; b++)
        ASSERT_EQ (settings_index_bucket_hash (first, b),
                   settings_index_bucket_hash (second, b));
      settings_index_destroy (first);
      settings_index_destroy (second);
    }
}

TEST (SettingsIndex, ListsEachObjectInItsBucket)
{
  settings_index *index = settings_index_create (0);
  for (uint64_t i = 1; i <= 3000; i++)
    settings_index_update (index, i * 7919, i);
  size_t total = 0;
  settings_version versions[64];
  for (uint32_t b = 0; b < SETTINGS_BUCKETS; b++)
    {
      const size_t count = settings_index_list (index, b, versions, 64);
      ASSERT_LE (count, 64u);
      for (size_t i = 0; i < count; i++)
        {
          EXPECT_EQ (settings_bucket (versions[i].key), b);
          EXPECT_EQ (versions[i].key, versions[i].version * 7919);
        }
      total += count;
    }
  EXPECT_EQ (total, 3000u);
  settings_index_destroy (index);
}

/* Guards against tombstones of replaced hosts that are exchanged for ever
   because two hosts drop them at different times and their hashes differ.
   While it is kept, a tombstone must still reject the old record. */
TEST (SettingsIndex, RetiredEntryRejectsOldVersionsButIsNotHashed)
{
  settings_index *index = settings_index_create (0);
  const uint64_t removed = settings_key ("host", "gone");
  const uint64_t other = settings_key ("host", "other");
  settings_index_update (index, other, 3);
  const uint64_t before = settings_index_hash (index);
  settings_index_update (index, removed, 5);
  const uint64_t with_record = settings_index_hash (index);
  settings_index_update (index, removed, 9);
  settings_index_retire (index, removed);
  settings_index_retire (index, removed);
  EXPECT_EQ (settings_index_hash (index), before);
  EXPECT_FALSE (settings_index_update (index, removed, 5));
  settings_version listed[4];
  EXPECT_GE (settings_index_list (index, settings_bucket (removed), listed, 4),
             1u);
  settings_index_drop (index, other);
  EXPECT_EQ (settings_index_count (index), 2u);
  settings_index_drop (index, removed);
  EXPECT_EQ (settings_index_count (index), 1u);
  EXPECT_EQ (settings_index_hash (index), before);
  EXPECT_TRUE (settings_index_update (index, removed, 5));
  EXPECT_EQ (settings_index_hash (index), with_record);
  settings_index_retire (index, removed);
  EXPECT_TRUE (settings_index_update (index, removed, 12));
  EXPECT_NE (settings_index_hash (index), before);
  settings_index_destroy (index);
}
