/* Encoding and parsing of quota messages, including malformed ones from other
   hosts. */
#include <memory>

#include <gtest/gtest.h>

extern "C"
{
#include "base/rng.h"
#include "node/quota/quota_messages.h"
}

namespace
{
struct Values
{
  int64_t *values = nullptr;
  ~Values ()
  {
    free (values);
  }
};

TEST (QuotaMessages, ReportSurvivesEncoding)
{
  const auto sent = std::make_unique<quota_report> ();
  const auto read = std::make_unique<quota_report> ();
  *sent = {};
  sent->stamp = UINT64_MAX - 1;
  sent->echo = 77;
  sent->hosts = 118;
  sent->leases_share = true;
  sent->is_coordinator = true;
  sent->row_count = 2;
  sent->rows[0] = { UINT64_MAX, 3, 2, 150, 900 };
  sent->rows[1] = { 1, 0, 0, 0, 0 };
  Values owned;
  const peer_message message
      = quota_report_message (PEER_QUOTA_REQUEST, sent.get (), &owned.values);
  size_t size;
  char *bytes = peer_message_encode (&message, &size);
  peer_message decoded;
  ASSERT_EQ (peer_message_decode (bytes, size, &decoded), STATUS_OK);
  free (bytes);
  ASSERT_TRUE (quota_report_read (&decoded, read.get ()));
  peer_message_release (&decoded);
  EXPECT_EQ (read->stamp, sent->stamp);
  EXPECT_EQ (read->echo, sent->echo);
  EXPECT_EQ (read->hosts, sent->hosts);
  EXPECT_EQ (read->leases_share, sent->leases_share);
  EXPECT_EQ (read->is_coordinator, sent->is_coordinator);
  ASSERT_EQ (read->row_count, sent->row_count);
  EXPECT_EQ (read->rows[0].workspace, UINT64_MAX);
  EXPECT_EQ (read->rows[0].tokens, 2u);
  EXPECT_EQ (read->rows[0].next_token_ms, 900u);
  EXPECT_EQ (read->rows[1].workspace, 1u);
}

TEST (QuotaMessages, MalformedReportsAreRefused)
{
  const auto read = std::make_unique<quota_report> ();
  int64_t values[12] = {};
  peer_message message = {};
  message.type = PEER_QUOTA_REQUEST;
  message.report.values = values;
  for (const uint32_t columns : { 0u, 1u, 4u, 6u })
    {
      message.report.columns = columns;
      message.report.value_count = 10;
      EXPECT_FALSE (quota_report_read (&message, read.get ())) << columns;
    }
  message.report.columns = 5;
  for (const size_t count : { 0u, 4u, 6u, 11u })
    {
      message.report.value_count = count;
      EXPECT_FALSE (quota_report_read (&message, read.get ())) << count;
    }
}

TEST (QuotaMessages, RandomNumbersAreReadWithinBounds)
{
  const auto read = std::make_unique<quota_report> ();
  rng random;
  rng_seed (&random, 3);
  for (int i = 0; i < 10000; i++)
    {
      int64_t values[25];
      for (int64_t &value : values)
        value = (int64_t)rng_next (&random);
      peer_message message = {};
      message.report.columns = 5;
      message.report.values = values;
      message.report.value_count = 5 * (1 + rng_below (&random, 5));
      ASSERT_TRUE (quota_report_read (&message, read.get ()));
      EXPECT_LE (read->row_count, 4u);
    }
}
} // namespace
