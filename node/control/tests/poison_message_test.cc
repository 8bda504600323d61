#include <gtest/gtest.h>

#include <cstdlib>
#include <string>

extern "C"
{
#include "node/control/poison_message.h"
#include "node/control/poison_record.h"
}

namespace
{
const poison_row a_row
    = { { UINT64_MAX, 1ull << 63, 7 }, UINT64_MAX - 1, 1, 2, 60000, 90, 10 };

void
expect_same (const poison_row &a, const poison_row &b)
{
  EXPECT_TRUE (fingerprint_equal (&a.fingerprint, &b.fingerprint));
  EXPECT_EQ (a.fingerprint.head_hash, b.fingerprint.head_hash);
  EXPECT_EQ (a.target, b.target);
  EXPECT_EQ (a.epoch, b.epoch);
  EXPECT_EQ (a.strikes, b.strikes);
  EXPECT_EQ (a.left_ms, b.left_ms);
  EXPECT_EQ (a.sent_ago_ms, b.sent_ago_ms);
  EXPECT_EQ (a.crashed_ago_ms, b.crashed_ago_ms);
}

TEST (PoisonMessage, RoundTrip)
{
  int64_t *values;
  poison_row *rows;
  const poison_row two[] = { a_row, {} };
  const peer_message message = poison_message_make ("holds", two, 2, &values);
  EXPECT_STREQ (message.report.service, "holds");
  ASSERT_EQ (poison_message_read (&message, &rows), 2u);
  expect_same (rows[0], two[0]);
  expect_same (rows[1], two[1]);
  free (rows);
  free (values);
}

/* Malformed reports must not be decoded as crashes. */
TEST (PoisonMessage, RejectsMalformedReports)
{
  int64_t *values;
  poison_row *rows;
  const peer_message good = poison_message_make ("holds", &a_row, 1, &values);
  peer_message bad = good;
  bad.report.columns++;
  EXPECT_EQ (poison_message_read (&bad, &rows), 0u);
  bad = good;
  bad.report.value_count--;
  EXPECT_EQ (poison_message_read (&bad, &rows), 0u);
  bad.report.value_count = 0;
  EXPECT_EQ (poison_message_read (&bad, &rows), 0u);
  EXPECT_EQ (rows, nullptr);
  free (values);
}

TEST (PoisonRecord, RoundTrip)
{
  poison_record written = {};
  poison_record read;
  char name[FINGERPRINT_TEXT_SIZE];
  written.row.fingerprint = a_row.fingerprint;
  written.row.epoch = 3;
  written.row.strikes = 2;
  written.expires_unix_ms = 1790000000000;
  strcpy (written.service, "holds");
  fingerprint_format (&written.row.fingerprint, name);
  char *text = poison_record_format (&written);
  ASSERT_EQ (poison_record_parse (name, text, &read), STATUS_OK)
      << status_message ();
  expect_same (read.row, written.row);
  EXPECT_EQ (read.expires_unix_ms, written.expires_unix_ms);
  EXPECT_STREQ (read.service, "holds");
  free (text);
}

/* Foreign and damaged records must be rejected. */
TEST (PoisonRecord, RejectsInvalidRecords)
{
  const std::string name (32, 'a');
  const std::string good = "{\"service\":\"holds\",\"head\":\"1f\","
                           "\"strikes\":1,\"until_ms\":1}";
  poison_record read;
  EXPECT_EQ (poison_record_parse (name.c_str (), good.c_str (), &read),
             STATUS_OK);
  for (const std::string bad_name : { "", "x", "A123" })
    EXPECT_EQ (poison_record_parse (bad_name.c_str (), good.c_str (), &read),
               STATUS_INVALID);
  EXPECT_EQ (poison_record_parse ((name + "a").c_str (), good.c_str (), &read),
             STATUS_INVALID);
  for (const char *bad :
       { "", "[]", "{}", "{\"service\":\"holds\",\"head\":\"1f\"",
         "{\"service\":\"holds\",\"head\":\"1f\",\"strikes\":-1}" })
    EXPECT_EQ (poison_record_parse (name.c_str (), bad, &read), STATUS_INVALID)
        << bad;
}
} // namespace
