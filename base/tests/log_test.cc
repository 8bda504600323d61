#include <gtest/gtest.h>

#include <string>
#include <unistd.h>

#include <json-c/json.h>

#define LOG_MODULE "test"
extern "C"
{
#include "base/log.h"
}

namespace
{

class Log : public testing::Test
{
protected:
  int ends[2];

  void
  configure (bool json, uint32_t repeats, uint32_t warnings = 0)
  {
    ASSERT_EQ (pipe (ends), 0);
    log_options options{};
    options.level = LOG_LEVEL_INFO;
    options.json = json;
    options.fd = ends[1];
    options.repeats_per_second = repeats;
    options.warnings_per_second = warnings;
    log_configure (&options);
  }

  std::string
  finish ()
  {
    log_options options{};
    options.level = LOG_LEVEL_INFO;
    log_configure (&options);
    close (ends[1]);
    std::string text;
    char buffer[4096];
    for (ssize_t n; (n = read (ends[0], buffer, sizeof buffer)) > 0;)
      text.append (buffer, (size_t)n);
    close (ends[0]);
    return text;
  }
};

TEST_F (Log, TextQuotesValuesThatAParserCouldSplit)
{
  configure (false, 0);
  LOG_INFO ("route", LOG_STR ("why", "a \"b\"\nc"), LOG_INT ("attempt", 2));
  const std::string text = finish ();
  EXPECT_NE (text.find (" info test route why=\"a \\\"b\\\"\\u000ac\" "
                        "attempt=2\n"),
             std::string::npos)
      << text;
}

TEST_F (Log, JsonLinesAreValidForAnyValue)
{
  configure (true, 0);
  const std::string wide (3000, '"');
  LOG_WARN ("cut", LOG_STR ("text", wide.c_str ()));
  const std::string text = finish ();
  json_object *line = json_tokener_parse (text.c_str ());
  ASSERT_NE (line, nullptr) << text;
  EXPECT_STREQ (
      json_object_get_string (json_object_object_get (line, "event")), "cut");
  json_object_put (line);
}

TEST_F (Log, LowerLevelsAreNotWritten)
{
  configure (false, 0);
  EXPECT_FALSE (log_enabled (LOG_LEVEL_DEBUG));
  LOG_AT (LOG_LEVEL_DEBUG, "hidden");
  EXPECT_EQ (finish (), "");
}

/* If the reader of the log stops, its pipe fills up.  A line that waited for
   free space would block all requests of the host, so lines are dropped
   instead and their number is logged once there is space. */
TEST_F (Log, AStoppedReaderDoesNotBlock)
{
  configure (false, 0);
  const std::string wide (1500, 'x');
  for (int i = 0; i < 200; i++)
    LOG_INFO ("fill", LOG_STR ("text", wide.c_str ()));
  std::string text;
  char buffer[65536];
  const ssize_t count = read (ends[0], buffer, sizeof buffer);
  ASSERT_GT (count, 0);
  text.append (buffer, (size_t)count);
  LOG_INFO ("after");
  text += finish ();
  size_t lines = 0;
  for (size_t at = text.find (" fill "); at != std::string::npos;
       at = text.find (" fill ", at + 1))
    lines++;
  EXPECT_LT (lines, 200u);
  const std::string note = "log-lost lines=" + std::to_string (200 - lines);
  const size_t lost = text.find (note);
  ASSERT_NE (lost, std::string::npos) << note;
  EXPECT_GT (text.find ("test after"), lost);
}

/* An event that is logged for every request must not overload the reader of
   the log: beyond the limit, lines are counted instead of written. */
TEST_F (Log, LinesBeyondTheRateLimitAreSuppressed)
{
  configure (false, 3);
  for (int i = 0; i < 100; i++)
    LOG_INFO ("again");
  LOG_INFO ("other");
  const std::string text = finish ();
  size_t again = 0;
  for (size_t at = text.find ("test again"); at != std::string::npos;
       at = text.find ("test again", at + 1))
    again++;
  EXPECT_LE (again, 6u); /* the current second may change in between */
  EXPECT_NE (text.find ("test other"), std::string::npos);
}

/* If a host serves a thousand requests per second and forty of them fail, most
   of the forty would be missing from the log with a common limit for all
   lines, and couldn't be looked up afterwards. */
TEST_F (Log, WarningsHaveASeparateRateLimit)
{
  configure (false, 3, 40);
  for (int i = 0; i < 100; i++)
    LOG_INFO ("good");
  for (int i = 0; i < 100; i++)
    LOG_WARN ("bad");
  const std::string text = finish ();
  size_t bad = 0;
  for (size_t at = text.find ("test bad"); at != std::string::npos;
       at = text.find ("test bad", at + 1))
    bad++;
  EXPECT_GE (bad, 40u);
  EXPECT_LE (bad, 80u); /* the current second may change in between */
}

} // namespace
