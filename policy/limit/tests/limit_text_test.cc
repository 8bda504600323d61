#include <gtest/gtest.h>

extern "C"
{
#include "policy/limit/limit_share.h"
#include "policy/limit/limit_text.h"
}

namespace
{
TEST (LimitText, ReadsDecimalNumbers)
{
  const struct
  {
    const char *text;
    uint32_t limit_millis;
  } cases[] = { { "1", 1000 },
                { "2.1", 2100 },
                { "0.5", 500 },
                { ".5", 500 },
                { "3.", 3000 },
                { "0.001", 1 },
                { "007", 7000 },
                { "99999999999", LIMIT_MILLIS_MAX },
                { "1000000", LIMIT_MILLIS_MAX } };
  for (const auto &c : cases)
    {
      uint32_t limit_millis = 0;
      EXPECT_TRUE (limit_text_parse (c.text, &limit_millis)) << c.text;
      EXPECT_EQ (limit_millis, c.limit_millis) << c.text;
    }
}

/* Guards against an invalid value that stops a host from sending or lifts its
   limit. */
TEST (LimitText, RefusesInvalidText)
{
  for (const char *text :
       { "", " ", "0", "0.0", "0.0004", "-1", "+1", "nan", "inf", "1e3",
         "0x10", "1 2", "1,5", "1.2.3", ".", "one", "1 " })
    {
      uint32_t limit_millis = 77;
      EXPECT_FALSE (limit_text_parse (text, &limit_millis)) << text;
      EXPECT_EQ (limit_millis, 77u) << text;
    }
}
} // namespace
