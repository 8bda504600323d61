#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "ctl/log_line.h"
}

namespace
{

TEST (LogLine, ParsesTextWithQuotedValues)
{
  log_line line;
  ASSERT_TRUE (log_line_read (
      "2026-12-02T21:41:00.123Z warning caller attempt-broken id=ab service=s "
      "why=\"no \\\"way\\\" there\" took_us=42\n",
      &line));
  EXPECT_STREQ (line.time, "2026-12-02T21:41:00.123Z");
  EXPECT_STREQ (line.source, "");
  EXPECT_STREQ (line.level, "warning");
  EXPECT_STREQ (line.module, "caller");
  EXPECT_STREQ (line.event, "attempt-broken");
  EXPECT_STREQ (log_line_text (&line, "why"), "no \"way\" there");
  EXPECT_EQ (log_line_number (&line, "took_us"), 42);
  EXPECT_STREQ (log_line_text (&line, "nothing"), "");
  log_line_release (&line);
}

TEST (LogLine, ParsesJson)
{
  log_line line;
  ASSERT_TRUE (log_line_read (
      "host-3 {\"time\":\"2026-12-02T21:41:00.123Z\",\"level\":\"info\","
      "\"module\":\"caller\",\"event\":\"route\",\"id\":\"a b\",\"n\":7}\n",
      &line));
  EXPECT_STREQ (line.source, "host-3");
  EXPECT_STREQ (line.event, "route");
  EXPECT_STREQ (log_line_text (&line, "id"), "a b");
  EXPECT_EQ (log_line_number (&line, "n"), 7);
  log_line_release (&line);
}

TEST (LogLine, TakesHostFromWordBeforeTime)
{
  log_line line;
  ASSERT_TRUE (log_line_read (
      "  30.0461 host-a 2026-12-02T21:41:00.123Z info main serving x=1",
      &line));
  EXPECT_STREQ (line.source, "host-a");
  EXPECT_STREQ (line.event, "serving");
  log_line_release (&line);
}

TEST (LogLine, RefusesOtherLines)
{
  log_line line;
  for (const char *text :
       { "", "\n", "some words", "{\"time\":1}", "{", "2026-12-02 info a b",
         "2026-12-02T21:41:00.123Z", "2026-12-02T21:41:00.123Z info caller" })
    EXPECT_FALSE (log_line_read (text, &line)) << text;
}

/* A truncated line must neither crash the parser nor leak memory. */
TEST (LogLine, ParsesTruncatedLines)
{
  const std::string complete
      = "2026-12-02T21:41:00.123Z info caller attempt id=ab why=\"x y\" n=1";
  for (size_t length = 0; length < complete.size (); length++)
    {
      log_line line;
      if (log_line_read (complete.substr (0, length).c_str (), &line))
        log_line_release (&line);
    }
}

} // namespace
