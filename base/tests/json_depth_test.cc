#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

extern "C"
{
#include "base/json_depth.h"
}

namespace
{

std::string
limited (const std::string &text, size_t depth_max)
{
  char *changed = json_depth_limit (text.data (), text.size (), depth_max);
  const std::string taken = changed == nullptr ? "(unchanged)" : changed;
  free (changed);
  return taken;
}

/* Guards against text that is changed though no part of it is nested too
   deeply, or because of brackets in strings. */
TEST (JsonDepth, ShallowTextIsUnchanged)
{
  for (const char *text :
       { "", "3", "[]", "{\"a\":[1,{\"b\":2}]}", "[\"[[[[[[\"]",
         "[\"\\\"[[[[\",\"\\\\\",{}]", "]]]][", "[{}],[{}],[{}]" })
    EXPECT_EQ (limited (text, 3), "(unchanged)") << text;
}

/* Guards against a replacement that reaches beyond the nested value, which
   would change its neighbours. */
TEST (JsonDepth, DeepValuesAreReplaced)
{
  EXPECT_EQ (limited ("[[]]", 1), "[0 ]");
  EXPECT_EQ (limited ("{\"a\":{\"b\":[1,[2]]},\"c\":[3]}", 2),
             "{\"a\":{\"b\":0      },\"c\":[3]}");
  EXPECT_EQ (limited ("[[\"]\",\"\\\"]\"],[4]]", 1), "[0          ,0  ]");
  EXPECT_EQ (limited ("[[[", 1), "[0 ");
}

} // namespace
