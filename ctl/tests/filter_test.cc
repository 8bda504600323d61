#include <gtest/gtest.h>

#include <algorithm>
#include <random>
#include <string>

extern "C"
{
#include "ctl/filter.h"
}

static std::string
lower (std::string text)
{
  std::transform (text.begin (), text.end (), text.begin (), ::tolower);
  return text;
}

/** A naive implementation of the manual: whole numbers by value, everything
 * else as text. */
static bool
naive_match (const struct filter &filter, struct json_object *row)
{
  struct json_object *value;
  const bool found = json_object_object_get_ex (row, filter.field, &value);
  if (!found)
    return filter.comparison == FILTER_NOT_EQUAL;
  const std::string left = lower (json_object_get_string (value));
  const std::string right = lower (filter.value);
  const auto is_number = [] (const std::string &text) {
    return !text.empty ()
           && text.find_first_not_of ("0123456789") == std::string::npos;
  };
  bool less = left < right;
  bool equal = left == right;
  if (is_number (left) && is_number (right))
    {
      less = std::stoll (left) < std::stoll (right);
      equal = std::stoll (left) == std::stoll (right);
    }
  switch (filter.comparison)
    {
    case FILTER_EQUAL:
      return equal;
    case FILTER_NOT_EQUAL:
      return !equal;
    case FILTER_LESS:
      return less;
    case FILTER_GREATER:
      return !less && !equal;
    case FILTER_CONTAINS:
      return left.find (right) != std::string::npos;
    }
  return false;
}

static struct json_object *
random_value (std::mt19937 &random)
{
  static const char *const words[]
      = { "active", "Ejected", "north-a", "NORTH-B", "a", "10", "9" };
  if (random () % 2 == 0)
    return json_object_new_int64 (random () % 12);
  return json_object_new_string (words[random () % 7]);
}

TEST (Filter, AgreesWithNaiveImplementation)
{
  std::mt19937 random (42);
  const char *const fields[] = { "state", "dc", "slots" };
  int matched = 0;
  for (int i = 0; i < 20000; i++)
    {
      struct json_object *row = json_object_new_object ();
      for (const char *field : fields)
        if (random () % 4 != 0)
          json_object_object_add (row, field, random_value (random));
      struct json_object *value = random_value (random);
      struct filter filter = {};
      snprintf (filter.field, sizeof filter.field, "%s",
                fields[random () % 3]);
      snprintf (filter.value, sizeof filter.value, "%s",
                json_object_get_string (value));
      filter.comparison = static_cast<enum filter_operator> (random () % 5);
      const bool expected = naive_match (filter, row);
      matched += expected;
      ASSERT_EQ (filter_match (&filter, row), expected)
          << filter.field << " " << filter.comparison << " " << filter.value
          << " on " << json_object_to_json_string (row);
      json_object_put (value);
      json_object_put (row);
    }
  EXPECT_GT (matched, 2000);
}

TEST (Filter, IgnoresCaseAndHandlesNullsAndFractions)
{
  struct json_object *row = json_tokener_parse (
      "{\"Name\":null,\"load\":0.25,\"odd\":\"nan\",\"up\":true}");
  const auto match = [row] (const char *field, enum filter_operator comparison,
                            const char *value) {
    struct filter filter = {};
    snprintf (filter.field, sizeof filter.field, "%s", field);
    snprintf (filter.value, sizeof filter.value, "%s", value);
    filter.comparison = comparison;
    return filter_match (&filter, row);
  };
  EXPECT_FALSE (match ("name", FILTER_EQUAL, "x"));
  EXPECT_TRUE (match ("NAME", FILTER_NOT_EQUAL, "x"));
  EXPECT_TRUE (match ("load", FILTER_LESS, ".5"));
  EXPECT_TRUE (match ("load", FILTER_EQUAL, "2.5e-1"));
  EXPECT_FALSE (match ("odd", FILTER_EQUAL, "7"));
  EXPECT_TRUE (match ("up", FILTER_EQUAL, "TRUE"));
  json_object_put (row);
}
