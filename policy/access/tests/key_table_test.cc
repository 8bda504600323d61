#include <gtest/gtest.h>

#include <memory>
#include <string>

extern "C"
{
#include "policy/access/key_table.h"
}

namespace
{
using table_ptr = std::unique_ptr<key_table, void (*) (key_table *)>;

digest
digest_of_text (const std::string &text)
{
  return digest_of (text.data (), text.size ());
}

TEST (KeyTable, FindsEachKeyAndNoOther)
{
  const uint32_t count = 20000;
  const table_ptr table = { key_table_create (count), key_table_destroy };
  for (uint32_t i = 0; i < count; i++)
    {
      const digest key = digest_of_text ("key-" + std::to_string (i));
      key_table_add (table.get (), &key, i / 2);
    }
  EXPECT_EQ (key_table_count (table.get ()), count);
  for (uint32_t i = 0; i < count; i++)
    {
      const digest key = digest_of_text ("key-" + std::to_string (i));
      EXPECT_EQ (key_table_find (table.get (), &key), i / 2);
      const digest other = digest_of_text ("other-" + std::to_string (i));
      EXPECT_EQ (key_table_find (table.get (), &other),
                 KEY_TABLE_NO_WORKSPACE);
    }
}

TEST (KeyTable, EmptyTableFindsNothing)
{
  const table_ptr table = { key_table_create (0), key_table_destroy };
  const digest key = digest_of_text ("key");
  EXPECT_EQ (key_table_find (table.get (), &key), KEY_TABLE_NO_WORKSPACE);
}

/* Guards against hosts that disagree on the workspace of a key that a
   configuration lists twice, as after a wrong merge of two versions: the
   first workspace keeps it on every host. */
TEST (KeyTable, KeyKeepsItsFirstWorkspace)
{
  const table_ptr table = { key_table_create (2), key_table_destroy };
  const digest key = digest_of_text ("key");
  key_table_add (table.get (), &key, 1);
  key_table_add (table.get (), &key, 2);
  EXPECT_EQ (key_table_find (table.get (), &key), 1u);
  EXPECT_EQ (key_table_count (table.get ()), 1u);
}
} // namespace
