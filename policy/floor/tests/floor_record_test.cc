#include <cstdlib>
#include <string>

#include <gtest/gtest.h>

extern "C"
{
#include "policy/floor/floor_record.h"
}

namespace
{
std::string
format (const floor_record &record)
{
  char *text = floor_record_format (&record);
  const std::string copy = text;
  free (text);
  return copy;
}

struct FloorRecord : testing::Test
{
  floor_record record = {};
  floor_record other = {};
  void
  SetUp () override
  {
    record.epoch = 7;
    snprintf (record.owner, sizeof record.owner, "h1");
    record.incarnation = 0xffffffffffffffffu;
    record.write_id = 0x8000000000000001u;
    record.spec_version = 12;
    record.reserve = 8;
    record.old_reserve = 4;
    record.hold_ms = 90000;
    record.settled = true;
    floor_claim *claim = floor_record_add (&record, "t1");
    claim->state = FLOOR_CLAIM_EJECTED;
    claim->score = 31;
    floor_record_add (&record, "t\"2")->manual = true;
  }
  ~FloorRecord () override
  {
    floor_record_clear (&record);
    floor_record_clear (&other);
  }
};

TEST_F (FloorRecord, ParsesItsOwnText)
{
  ASSERT_EQ (floor_record_parse (format (record).c_str (), &other), STATUS_OK);
  EXPECT_TRUE (floor_record_equivalent (&record, &other));
  EXPECT_EQ (other.write_id, record.write_id);
  EXPECT_EQ (other.spec_version, 12U);
  EXPECT_EQ (floor_record_find (&other, "t1")->score, 31U);
  EXPECT_EQ (format (record), format (other));
}

TEST_F (FloorRecord, RejectsInvalidText)
{
  const std::string good = format (record);
  const char *const bad[][2] = { { "\"epoch\":7", "\"epoch\":0" },
                                 { "\"epoch\":7", "\"epoch\":-7" },
                                 { "\"reserve\":8", "\"reserve\":\"8\"" },
                                 { "\"reserve\":8", "\"reserved\":8" },
                                 { "\"owner\":\"h1\"", "\"owner\":1" },
                                 { "\"settled\":true", "\"settled\":1" },
                                 { "8000000000000001", "80000000000000010" },
                                 { "8000000000000001", "x" },
                                 { "\"ejected\"", "\"out\"" },
                                 { "t\\\"2", "t1" },
                                 { "\"claims\":[", "\"claims\":[1," } };
  for (const auto &change : bad)
    {
      std::string text = good;
      const size_t at = text.find (change[0]);
      ASSERT_NE (at, std::string::npos) << change[0];
      text.replace (at, strlen (change[0]), change[1]);
      EXPECT_EQ (floor_record_parse (text.c_str (), &other), STATUS_INVALID)
          << text;
      EXPECT_EQ (other.epoch, 0U);
    }
  EXPECT_EQ (floor_record_parse ("{", &other), STATUS_INVALID);
  EXPECT_EQ (floor_record_parse ("[]", &other), STATUS_INVALID);
}

TEST_F (FloorRecord, PlannedAndEjectedClaimsAreEquivalent)
{
  floor_record_assign (&other, &record);
  floor_record_find (&other, "t1")->state = FLOOR_CLAIM_PLANNED;
  EXPECT_TRUE (floor_record_equivalent (&record, &other));
  floor_record_find (&other, "t1")->state = FLOOR_CLAIM_RELEASING;
  EXPECT_FALSE (floor_record_equivalent (&record, &other));
}
}
