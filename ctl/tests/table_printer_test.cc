#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "ctl/table_printer.h"
}

static std::string
print (const char *rows)
{
  char *text = nullptr;
  size_t size = 0;
  FILE *out = open_memstream (&text, &size);
  struct json_object *array = json_tokener_parse (rows);
  table_printer_print (out, array);
  json_object_put (array);
  fclose (out);
  const std::string copy (text, size);
  free (text);
  return copy;
}

TEST (TablePrinter, AlignsTextLeftAndNumbersRight)
{
  EXPECT_EQ (
      print ("[{\"target\":\"a\",\"slots\":4,\"ok\":true},"
             " {\"target\":\"holds-10\",\"slots\":12000,\"ok\":false}]"),
      "TARGET    SLOTS  OK\n"
      "a             4  yes\n"
      "holds-10  12000  no\n");
}

TEST (TablePrinter, RowsMayHaveDifferentMembers)
{
  EXPECT_EQ (
      print ("[{\"a\":1},{\"b\":[\"x\",\"y\"],\"a\":null},{\"b\":\"\"}]"),
      "A  B\n"
      "1  -\n"
      "-  x,y\n"
      "-  -\n");
  EXPECT_EQ (print ("[]"), "");
}

TEST (TablePrinter, CountsCharactersNotBytes)
{
  EXPECT_EQ (print ("[{\"n\":\"\xc3\xa9t\xc3\xa9\",\"m\":\"x\"},"
                    "{\"n\":\"hiver\",\"m\":\"y\"}]"),
             "N      M\n"
             "\xc3\xa9t\xc3\xa9    x\n"
             "hiver  y\n");
}

/* A target's name that contains terminal escapes could move the cursor and
   overwrite the row that shows it as ejected. */
TEST (TablePrinter, ReplacesControlCharacters)
{
  const std::string text
      = print ("[{\"n\\u001b[m\":\"a\\u001b[2Jb\\nc\\u007f\"}]");
  EXPECT_EQ (text, "N?[M\na?[2Jb?c?\n");
}
