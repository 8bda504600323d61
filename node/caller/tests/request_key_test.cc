/* Parsing of the key of a request, in the spellings that callers send. */
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "base/rng.h"
#include "node/caller/request_key.h"
}

namespace
{
struct Fields
{
  header_list list = {};

  explicit Fields (const std::vector<std::string> &lines)
  {
    for (const std::string &line : lines)
      {
        const size_t colon = line.find (':');
        const std::string value
            = line.substr (line.find_first_not_of (' ', colon + 1));
        header_list_add (&list, line.c_str (), colon, value.c_str (),
                         value.size ());
      }
  }
  Fields (const Fields &) = delete;
  Fields &operator= (const Fields &) = delete;
  ~Fields ()
  {
    header_list_release (&list);
  }
};

request_key
read (const std::vector<std::string> &lines)
{
  const Fields fields (lines);
  return request_key_read (&fields.list);
}

bool
is_key (const std::vector<std::string> &lines, const std::string &key)
{
  const request_key got = read (lines);
  const digest wanted = digest_of (key.data (), key.size ());
  return got.state == REQUEST_KEY_GIVEN && digest_equal (&got.digest, &wanted);
}

TEST (RequestKey, IsReadInAnyCaseOfNameAndScheme)
{
  EXPECT_TRUE (is_key ({ "Authorization: Bearer k-1" }, "k-1"));
  EXPECT_TRUE (is_key ({ "authorization: bearer k-1" }, "k-1"));
  EXPECT_TRUE (is_key ({ "AUTHORIZATION: BEARER   k-1 \t" }, "k-1"));
  EXPECT_TRUE (
      is_key ({ "Host: a", "Authorization: Bearer a/b+c=" }, "a/b+c="));
  EXPECT_EQ (read ({ "Host: a" }).state, REQUEST_KEY_NONE);
}

TEST (RequestKey, OtherCredentialsAreMalformed)
{
  for (const char *line :
       { "Authorization: x", "Authorization: Bearer",
         "Authorization: Bearer  ", "Authorization: Basic YTpi",
         "Authorization: Bearerk-1", "Authorization: Bearer a b",
         "Authorization: Bearer a,b", "Authorization: Bearer a\tb",
         "Authorization: Bearer \x01" })
    EXPECT_EQ (read ({ line }).state, REQUEST_KEY_MALFORMED) << line;
}

/* A caller sends two keys, in two spellings of the field's name.  The target
   could use the second one, though only the first was checked. */
TEST (RequestKey, SeveralFieldsAreMalformedInAnySpelling)
{
  for (const char *second :
       { "Authorization: Bearer k-2", "authorization: Bearer k-1",
         "Authorization : Bearer k-2", "AUTHORIZATION: x" })
    EXPECT_EQ (read ({ "Authorization: Bearer k-1", second }).state,
               REQUEST_KEY_MALFORMED)
        << second;
}

TEST (RequestKey, AllSpellingsOfAFieldAreRemoved)
{
  Fields fields ({ "X-Kept: 1", "Some-Field: 1", "some_field: 2",
                   "SOME-FIELD : 3", "Some-Fields: 4", "Some-Fiel: 5" });
  header_list_remove_equivalent (&fields.list, "Some-Field");
  ASSERT_EQ (fields.list.count, 3u);
  EXPECT_STREQ (header_list_name (&fields.list, 1), "Some-Fields");
  EXPECT_STREQ (header_list_name (&fields.list, 2), "Some-Fiel");
}

/* Random bytes must cause no crash, and no key other than the one sent. */
TEST (RequestKey, RandomBytesYieldNoOtherKey)
{
  rng random;
  rng_seed (&random, 7);
  for (int i = 0; i < 100000; i++)
    {
      std::string value = i % 2 == 0 ? "Bearer " : "";
      for (uint64_t n = rng_below (&random, 40); n > 0; n--)
        value += (char)(1 + rng_below (&random, 255));
      header_list list = {};
      header_list_add (&list, "Authorization", 13, value.c_str (),
                       value.size ());
      const request_key key = request_key_read (&list);
      if (key.state == REQUEST_KEY_GIVEN)
        {
          size_t from = value.find_first_not_of (' ', 6);
          size_t to = value.find_last_not_of (" \t") + 1;
          const digest sent = digest_of (value.data () + from, to - from);
          EXPECT_TRUE (digest_equal (&key.digest, &sent)) << value;
        }
      header_list_release (&list);
    }
}
} // namespace
