#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "base/digest.h"
}

namespace
{
std::string
text_of (const digest &digest)
{
  char text[DIGEST_TEXT_SIZE];
  digest_format (&digest, text);
  return text;
}

/* The example from FIPS 180-4. */
TEST (Digest, IsSha256)
{
  EXPECT_EQ (
      text_of (digest_of ("abc", 3)),
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

TEST (Digest, ParsesItsFormattedText)
{
  const digest written = digest_of ("key", 3);
  digest read = {};
  ASSERT_TRUE (digest_parse (text_of (written).c_str (), &read));
  EXPECT_TRUE (digest_equal (&written, &read));
  std::string upper = text_of (written);
  for (char &c : upper)
    c = (char)toupper (c);
  ASSERT_TRUE (digest_parse (upper.c_str (), &read));
  EXPECT_TRUE (digest_equal (&written, &read));
}

TEST (Digest, InvalidTextsAreRefused)
{
  digest read = {};
  const std::string full_text = text_of (digest_of ("key", 3));
  EXPECT_FALSE (digest_parse ("", &read));
  EXPECT_FALSE (digest_parse (full_text.substr (1).c_str (), &read));
  EXPECT_FALSE (digest_parse ((full_text + "0").c_str (), &read));
  EXPECT_FALSE (digest_parse ((full_text.substr (1) + "g").c_str (), &read));
}

TEST (Digest, DiffersWithEachByte)
{
  const digest a = digest_of ("key-1", 5);
  const digest b = digest_of ("key-2", 5);
  EXPECT_FALSE (digest_equal (&a, &b));
}
} // namespace
