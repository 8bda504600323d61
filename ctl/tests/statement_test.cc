#include <gtest/gtest.h>

#include <random>
#include <sstream>
#include <string>
#include <vector>

extern "C"
{
#include "ctl/statement.h"
}

static enum status
parse (const std::vector<std::string> &words, struct statement *statement)
{
  std::vector<const char *> pointers;
  for (const std::string &word : words)
    pointers.push_back (word.c_str ());
  return statement_parse (pointers.data (), pointers.size (), statement);
}

static std::vector<std::string>
split (const std::string &text)
{
  std::istringstream stream (text);
  std::vector<std::string> words;
  for (std::string word; stream >> word;)
    words.push_back (word);
  return words;
}

TEST (Statement, ShowParsesConditionsWithAnySpacing)
{
  for (const char *text :
       { "show targets where state=ejected dc!=north-a",
         "SHOW Targets WHERE state = ejected AND dc != north-a",
         "show TARGETS where state= ejected and dc !=north-a" })
    {
      struct statement statement;
      ASSERT_EQ (parse (split (text), &statement), STATUS_OK)
          << status_message ();
      EXPECT_EQ (statement.kind, STATEMENT_SHOW);
      EXPECT_STREQ (statement.table, "targets");
      ASSERT_EQ (statement.filter_count, 2u);
      EXPECT_STREQ (statement.filters[0].field, "state");
      EXPECT_EQ (statement.filters[0].comparison, FILTER_EQUAL);
      EXPECT_STREQ (statement.filters[0].value, "ejected");
      EXPECT_STREQ (statement.filters[1].field, "dc");
      EXPECT_EQ (statement.filters[1].comparison, FILTER_NOT_EQUAL);
      EXPECT_STREQ (statement.filters[1].value, "north-a");
    }
}

TEST (Statement, KeepsQuotedValues)
{
  struct statement statement;
  ASSERT_EQ (parse ({ "show", "decisions", "where", "why~a = b" }, &statement),
             STATUS_OK);
  EXPECT_EQ (statement.filters[0].comparison, FILTER_CONTAINS);
  EXPECT_STREQ (statement.filters[0].value, "a = b");
}

TEST (Statement, Commands)
{
  const struct
  {
    const char *text;
    const char *command;
    const char *service;
    const char *target;
    int64_t floor;
    uint64_t version;
  } cases[]
      = { { "drain holds-1", "drain", "", "holds-1", -1, 0 },
          { "undrain holds/holds-1", "undrain", "holds", "holds-1", -1, 0 },
          { "EJECT t at VERSION 7", "eject", "", "t", -1, 7 },
          { "reinstate s/t at version 9", "reinstate", "s", "t", -1, 9 },
          { "pause ejection s", "pause-ejection", "s", "", -1, 0 },
          { "resume Ejection s", "resume-ejection", "s", "", -1, 0 },
          { "set floor s 24 at version 3", "set-floor", "s", "", 24, 3 },
          { "set floor s 0", "set-floor", "s", "", 0, 0 } };
  for (const auto &c : cases)
    {
      struct statement statement;
      ASSERT_EQ (parse (split (c.text), &statement), STATUS_OK)
          << c.text << ": " << status_message ();
      EXPECT_EQ (statement.kind, STATEMENT_COMMAND);
      EXPECT_STREQ (statement.command, c.command);
      EXPECT_STREQ (statement.service, c.service);
      EXPECT_STREQ (statement.target, c.target);
      EXPECT_EQ (statement.floor, c.floor);
      EXPECT_EQ (statement.version, c.version);
    }
}

TEST (Statement, ClearParsesFingerprint)
{
  struct statement statement;
  ASSERT_EQ (parse ({ "clear", "Poison", "0f" }, &statement), STATUS_OK);
  EXPECT_STREQ (statement.command, "clear-poison");
  EXPECT_STREQ (statement.fingerprint, "0f");
}

TEST (Statement, ErrorsNameFoundAndExpectedWords)
{
  const struct
  {
    const char *text;
    const char *part;
  } cases[] = { { "", "expected show, explain" },
                { "reboot", "found \"reboot\"" },
                { "show", "at the end of the line" },
                { "show dragons", "found \"dragons\"" },
                { "show hosts if", "found \"if\"" },
                { "show hosts where", "expected FIELD=VALUE" },
                { "show hosts where =x", "the name of a field" },
                { "show hosts where a", "one of = != < > ~" },
                { "show hosts where a!x", "one of = != < > ~" },
                { "show hosts where a=", "expected a value" },
                { "show hosts where a=1 and", "expected FIELD=VALUE" },
                { "explain t", "expected target" },
                { "explain target", "the name of a target" },
                { "drain", "the name of a target" },
                { "drain /t", "before '/'" },
                { "drain s/", "the name of a target" },
                { "drain t now", "at version N" },
                { "drain t at", "expected version" },
                { "drain t at version x", "found \"x\"" },
                { "drain t at version 99999999999999999999", "version" },
                { "pause holds", "expected ejection" },
                { "set floor s", "capacity" },
                { "set floor s -3", "found \"-3\"" },
                { "set floor s 4294967296", "capacity" },
                { "clear", "expected poison" },
                { "clear poison", "the fingerprint of a request" },
                { "addresses", "name of a service" } };
  for (const auto &c : cases)
    {
      struct statement statement;
      EXPECT_EQ (parse (split (c.text), &statement), STATUS_INVALID) << c.text;
      EXPECT_NE (std::string (status_message ()).find (c.part),
                 std::string::npos)
          << c.text << ": " << status_message ();
    }
}

TEST (Statement, SurvivesGarbage)
{
  std::mt19937 random (99);
  const std::vector<std::string> vocabulary = {
    "show", "targets", "where", "and", "=", "!=", "a=b", "~", "drain",
    "set",  "floor",   "at",    "s/t", "7", "/",  "",    "<", "version",
  };
  int accepted = 0;
  for (int i = 0; i < 50000; i++)
    {
      std::vector<std::string> words;
      for (uint32_t n = random () % 8; n > 0; n--)
        words.push_back (random () % 20 == 0
                             ? std::string (random () % 300, 'x')
                             : vocabulary[random () % vocabulary.size ()]);
      struct statement statement;
      accepted += parse (words, &statement) == STATUS_OK;
    }
  EXPECT_GT (accepted, 0);
  std::vector<std::string> too_many = split ("show hosts where");
  for (int i = 0; i <= STATEMENT_FILTERS_MAX; i++)
    too_many.push_back ("a=b");
  struct statement statement;
  EXPECT_EQ (parse (too_many, &statement), STATUS_INVALID);
}
