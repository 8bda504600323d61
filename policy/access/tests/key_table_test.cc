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
key_of (const std::string &text)
{
  return digest_of (text.data (), text.size ());
}

TEST (KeyTable, FindsEachKeyAndNoOther)
{
  const uint32_t count = 20000;
  const table_ptr table = { key_table_create (count), key_table_destroy };
  for (uint32_t i = 0; i < count; i++)
    {
      const digest key = key_of ("key-" + std::to_string (i));
      key_table_add (table.get (), &key, i / 2);
    }
  EXPECT_EQ (key_table_count (table.get ()), count);
  for (uint32_t i = 0; i < count; i++)
    {
      const digest key = key_of ("key-" + std::to_string (i));
      EXPECT_EQ (key_table_find (table.get (), &key), i / 2);
      const digest other = key_of ("other-" + std::to_string (i));
      EXPECT_EQ (key_table_find (table.get (), &other),
                 KEY_TABLE_NO_WORKSPACE);
    }
}

TEST (KeyTable, AnEmptyOneFindsNothing)
{
  const table_ptr table = { key_table_create (0), key_table_destroy };
  const digest key = key_of ("key");
  EXPECT_EQ (key_table_find (table.get (), &key), KEY_TABLE_NO_WORKSPACE);
}

/* Two versions of a configuration are merged wrongly and name a key twice.
   Whichever workspace had it first keeps it, on every host alike. */
TEST (KeyTable, AKeyStaysWithItsFirstWorkspace)
{
  const table_ptr table = { key_table_create (2), key_table_destroy };
  const digest key = key_of ("key");
  key_table_add (table.get (), &key, 1);
  key_table_add (table.get (), &key, 2);
  EXPECT_EQ (key_table_find (table.get (), &key), 1u);
  EXPECT_EQ (key_table_count (table.get ()), 1u);
}
} // namespace
