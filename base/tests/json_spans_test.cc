#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "base/json_spans.h"
}

namespace
{

std::string
string_of (json_span span)
{
  return std::string (span.text, span.size);
}

json_span
span_of (const std::string &text)
{
  return { text.data (), text.size () };
}

/* Elements of the array TEXT, with "!" after them if it isn't whole. */
std::vector<std::string>
elements (const std::string &text)
{
  /* A copy of this size lets the sanitizers see reads beyond the text. */
  const std::vector<char> copy (text.begin (), text.end ());
  std::vector<std::string> all;
  json_spans spans;
  json_span element;
  if (!json_spans_open_array (&spans, { copy.data (), copy.size () }))
    return { "none" };
  while (json_spans_next_element (&spans, &element))
    all.push_back (string_of (element));
  if (!spans.is_complete)
    all.push_back ("!");
  return all;
}

std::string
member (const std::string &text, const char *key)
{
  json_span value;
  const bool is_complete = json_spans_member (span_of (text), key, &value);
  return (value.text != nullptr ? string_of (value) : "(none)")
         + (is_complete ? "" : "!");
}

using strings = std::vector<std::string>;

TEST (JsonSpans, Elements)
{
  EXPECT_EQ (elements ("[]"), strings{});
  EXPECT_EQ (elements (" [ ] \n"), strings{});
  EXPECT_EQ (
      elements ("[1, \"a,]\\\"\" ,{\"b\":[1,2]},[[],[3]],null ]"),
      (strings{ "1", "\"a,]\\\"\"", "{\"b\":[1,2]}", "[[],[3]]", "null" }));
  EXPECT_EQ (elements ("{}"), strings{ "none" });
  EXPECT_EQ (elements (""), strings{ "none" });
}

/* Guards against a value that no parser accepts and that shifts or hides those
   after it. */
TEST (JsonSpans, BrokenValuesCostThemselves)
{
  for (const char *bad :
       { "tru", "1e", "--1", "1e400", "{\"a\":]}", "{\"a\" 1}", "{[}", "[{]",
         "\"\\x\"", "\"\xff\xfe\"", "{a:}", "{{}:}" })
    EXPECT_EQ (elements (std::string ("[1,") + bad + ",{\"n\":2}]"),
               (strings{ "1", bad, "{\"n\":2}" }));
}

TEST (JsonSpans, DeepNestingNeedsNoStack)
{
  const std::string deep
      = std::string (1000000, '[') + std::string (1000000, ']');
  EXPECT_EQ (elements ("[" + deep + ",2]"), (strings{ deep, "2" }));
}

/* Guards against a text that ends early, or goes on after its end, and counts
   as whole. */
TEST (JsonSpans, TruncatedTextIsNotComplete)
{
  const std::string text
      = "[1,\"a\\\"b\\\\\",{\"b\":[1,\"]\"]},[[],[3]],null,true]";
  EXPECT_NE (elements (text).back (), "!");
  for (size_t size = 1; size < text.size (); size++)
    EXPECT_EQ (elements (text.substr (0, size)).back (), "!") << size;
  for (const char *more : { "]", ",1", "x", "[]" })
    EXPECT_EQ (elements (text + more).back (), "!") << more;
  for (const char *broken : { "[1 2]", "[,]", "[1,]", "[1,,2]", "[}]" })
    EXPECT_EQ (elements (broken).back (), "!") << broken;
}

TEST (JsonSpans, Members)
{
  const std::string text
      = "{ \"a\" : 1 , \"b\":{\"a\":2},\"c\\\"\":[\"a\",3], \"b\":\"4\" }";
  EXPECT_EQ (member (text, "a"), "1");
  EXPECT_EQ (member (text, "b"), "\"4\"") << "the last one";
  EXPECT_EQ (member (text, "c\\\""), "[\"a\",3]");
  EXPECT_EQ (member (text, "d"), "(none)");
  EXPECT_EQ (member ("{}", "a"), "(none)");
  EXPECT_EQ (member ("[]", "a"), "(none)!");
  for (size_t size = 0; size < text.size (); size++)
    EXPECT_EQ (member (text.substr (0, size), "a").back (), '!') << size;
  for (const char *broken :
       { "{\"a\"}", "{\"a\":}", "{\"a\":1,}", "{a:1}", "{\"a\":1]" })
    EXPECT_EQ (member (broken, "a").back (), '!') << broken;
}

} // namespace
