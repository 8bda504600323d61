#include <gtest/gtest.h>

#include <cstring>
#include <string>

extern "C"
{
#include "base/options.h"
}

namespace
{

class Options : public testing::Test
{
protected:
  json_object *tree = nullptr;
  options top{};

  void
  begin (const char *text)
  {
    ASSERT_EQ (options_parse ("f.json", text, strlen (text), &tree), STATUS_OK)
        << status_message ();
    options_begin (&top, "f.json", "", tree);
  }

  void
  TearDown () override
  {
    json_object_put (tree);
  }
};

TEST_F (Options, CommentsAreAllowed)
{
  begin ("{ // one\n \"a\": 1, /* two */ \"b\": \"x\" }");
  int64_t a = 0;
  char b[8];
  options_int (&top, "a", 0, 9, &a);
  options_string (&top, "b", true, b, sizeof b);
  EXPECT_EQ (options_end (&top), STATUS_OK) << status_message ();
  EXPECT_EQ (a, 1);
  EXPECT_STREQ (b, "x");
}

/* A truncated settings file must be refused with the position of its end, and
   must not be accepted as a complete one. */
TEST_F (Options, EveryTruncatedTextIsRefused)
{
  const std::string full_text = "{ \"a\": { \"b\": [1, 2] }, \"c\": \"x\" }";
  for (size_t size = 0; size < full_text.size (); size++)
    {
      EXPECT_EQ (options_parse ("f.json", full_text.data (), size, &tree),
                 STATUS_INVALID)
          << size;
      EXPECT_EQ (tree, nullptr);
      EXPECT_NE (strstr (status_message (), "f.json:1:"), nullptr);
    }
}

TEST_F (Options, TextAfterTheEndIsRefused)
{
  EXPECT_EQ (options_parse ("f.json", "{}\n}", 4, &tree), STATUS_INVALID);
  EXPECT_NE (strstr (status_message (), "f.json:2:1"), nullptr)
      << status_message ();
}

TEST_F (Options, AnUnknownMemberIsReported)
{
  begin ("{ \"limits\": { \"queu\": 3 } }");
  options child;
  ASSERT_TRUE (options_object (&top, "limits", true, &child));
  int64_t queue = 1;
  options_int (&child, "queue", 0, 9, &queue);
  options_end_child (&top, &child);
  EXPECT_EQ (options_end (&top), STATUS_INVALID);
  EXPECT_STREQ (status_message (),
                "f.json: limits.queu: no such option; known here: queue");
}

struct bad_value
{
  const char *text;
  const char *message_part;
};

class BadValue : public testing::TestWithParam<bad_value>
{
};

TEST_P (BadValue, ErrorNamesPositionAndExpectation)
{
  json_object *tree;
  const char *text = GetParam ().text;
  ASSERT_EQ (options_parse ("f.json", text, strlen (text), &tree), STATUS_OK);
  options top;
  options_begin (&top, "f.json", "", tree);
  int64_t number = 5;
  double fraction = 0.5;
  bool flag = true;
  char word[4] = "";
  char address[56] = "";
  int choice = 0;
  const char *const names[] = { "red", "blue" };
  options_int (&top, "number", 1, 10, &number);
  options_double (&top, "fraction", 0, 1, &fraction);
  options_bool (&top, "flag", &flag);
  options_string (&top, "word", false, word, sizeof word);
  options_address (&top, "address", false, address, sizeof address);
  options_enum (&top, "choice", names, 2, &choice);
  options_array (&top, "list", 2);
  EXPECT_EQ (options_end (&top), STATUS_INVALID);
  EXPECT_NE (strstr (status_message (), GetParam ().message_part), nullptr)
      << status_message ();
  json_object_put (tree);
}

INSTANTIATE_TEST_SUITE_P (
    All, BadValue,
    testing::Values (
        bad_value{ "[]", "top: expected an object" },
        bad_value{ "{\"number\":0}",
                   "number: expected a whole number from 1" },
        bad_value{ "{\"number\":11}", "found 11" },
        bad_value{ "{\"number\":1.5}", "found 1.5" },
        bad_value{ "{\"number\":null}", "found null" },
        bad_value{ "{\"number\":\"5\"}", "found \"5\"" },
        bad_value{ "{\"fraction\":2}", "fraction: expected a number" },
        bad_value{ "{\"flag\":1}", "flag: expected true or false" },
        bad_value{ "{\"word\":\"long\"}", "word: expected a string" },
        bad_value{ "{\"word\":\"a\\u0000\"}", "word: expected a string" },
        bad_value{ "{\"address\":\"localhost:80\"}",
                   "IP:PORT with a numeric IP" },
        bad_value{ "{\"address\":\"127.0.0.1\"}",
                   "IP:PORT with a numeric IP" },
        bad_value{ "{\"address\":\"127.0.0.1:70000\"}", "IP:PORT" },
        bad_value{ "{\"address\":\"[::1:80\"}", "IP:PORT" },
        bad_value{ "{\"choice\":\"green\"}", "one of \"red\", \"blue\"" },
        bad_value{ "{\"list\":[1,2,3]}", "at most 2 elements" },
        bad_value{ "{\"list\":{}}", "expected an array" }));

TEST_F (Options, DurationsAreMillisecondsOrStringsWithAUnit)
{
  begin ("{ \"a\": 20, \"b\": \"1500ms\", \"c\": \"2.5s\" }");
  int64_t a = 0, b = 0, c = 0, d = 7;
  options_duration (&top, "a", 1, 9000, &a);
  options_duration (&top, "b", 1, 9000, &b);
  options_duration (&top, "c", 1, 9000, &c);
  options_duration (&top, "d", 1, 9000, &d);
  EXPECT_EQ (options_end (&top), STATUS_OK) << status_message ();
  EXPECT_EQ (a, 20);
  EXPECT_EQ (b, 1500);
  EXPECT_EQ (c, 2500);
  EXPECT_EQ (d, 7);
}

/* If a duration such as "2 minutes" were read as 2 ms, every call would time
   out.  The error must name the position and the accepted forms. */
TEST_F (Options, ADurationOfAnotherFormIsRefused)
{
  for (const char *text : { "2 minutes", "2", "-1s", "s", "1e3h", "99s" })
    {
      const std::string json = std::string ("{ \"a\": \"") + text + "\" }";
      begin (json.c_str ());
      int64_t a = 0;
      options_duration (&top, "a", 1, 9000, &a);
      EXPECT_EQ (options_end (&top), STATUS_INVALID) << text;
      EXPECT_NE (strstr (status_message (), "1500ms"), nullptr);
      EXPECT_EQ (a, 0);
      json_object_put (tree);
      tree = nullptr;
    }
}
} // namespace
