#include <gtest/gtest.h>

#include <string>

extern "C"
{
#include "wire/target_record.h"
}

namespace
{
const char *const full_text
    = "{ \"service\": \"holds\", \"address\": \"10.1.0.9:8080\","
      " \"dc\": \"north-a\", \"slots\": 3, \"state\": \"drained\","
      " \"warm_up_ms\": \"1.5s\", \"software\": \"v2\" }";

TEST (TargetRecord, ParsedAndFormattedRecordsAreEqual)
{
  target_record record;
  ASSERT_EQ (target_record_parse ("i-1", full_text, &record), STATUS_OK)
      << status_message ();
  EXPECT_STREQ (record.name, "i-1");
  EXPECT_STREQ (record.service, "holds");
  EXPECT_STREQ (record.address, "10.1.0.9:8080");
  EXPECT_STREQ (record.dc, "north-a");
  EXPECT_EQ (record.slots, 3u);
  EXPECT_EQ (record.state, TARGET_STATE_DRAINED);
  EXPECT_EQ (record.warm_up_ms, 1500u);
  EXPECT_STREQ (record.software, "v2");
  char *text = target_record_format (&record);
  target_record again;
  ASSERT_EQ (target_record_parse ("i-1", text, &again), STATUS_OK);
  free (text);
  EXPECT_EQ (memcmp (&record, &again, sizeof record), 0);
}

TEST (TargetRecord, ErrorsNameTheMember)
{
  target_record record;
  EXPECT_EQ (target_record_parse ("i-1", "{ \"service\": \"a\" }", &record),
             STATUS_INVALID);
  EXPECT_NE (std::string (status_message ()).find ("address"),
             std::string::npos);
  EXPECT_EQ (
      target_record_parse (std::string (80, 'x').c_str (), full_text, &record),
      STATUS_INVALID);
}
} // namespace
