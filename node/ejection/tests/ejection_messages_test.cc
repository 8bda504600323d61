#include <cstring>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "base/rng.h"
#include "node/ejection/ejection_messages.h"
}

namespace
{
// A transport that keeps the last message as the receiver decodes it.
struct capture_transport
{
  ejection_transport base; // first
  peer_message message;
  bool has = false;
};

status
capture (ejection_transport *transport, const char *to,
         const peer_message *message)
{
  auto *k = reinterpret_cast<capture_transport *> (transport);
  size_t size;
  char *bytes = peer_message_encode (message, &size);
  const status decoded = peer_message_decode (bytes, size, &k->message);
  k->has = decoded == STATUS_OK;
  free (bytes);
  return decoded;
}

const ejection_transport_ops ops = { capture };

struct EjectionMessages : testing::Test
{
  capture_transport last = { { &ops }, {} };
  ~EjectionMessages () override
  {
    if (last.has)
      peer_message_release (&last.message);
  }
  peer_report *
  report ()
  {
    return &last.message.report;
  }
};

TEST_F (EjectionMessages, ReportSurvivesEncoding)
{
  detection_report_item items[2] = {};
  items[0].target_key = UINT64_MAX;
  items[0].evidence.requests = 7;
  items[0].evidence.failures = 3;
  items[0].evidence.latency[31] = 4;
  items[1].target_key = 5;
  const ejection_report sent
      = { "holds", 9, UINT64_MAX - 1, 123, "north-a", 77, items, 2 };
  ASSERT_EQ (ejection_send_report (&last.base, "h", &sent), STATUS_OK);
  ASSERT_EQ (ejection_message_kind (report ()), EJECTION_REPORT);
  ejection_report read;
  ASSERT_TRUE (ejection_read_report (report (), &read));
  EXPECT_STREQ (read.service, "holds");
  EXPECT_STREQ (read.dc, "north-a");
  EXPECT_EQ (read.epoch, 9U);
  EXPECT_EQ (read.incarnation, UINT64_MAX - 1);
  EXPECT_EQ (read.poll_ms, 123);
  EXPECT_EQ (read.demand, 77U);
  ASSERT_EQ (read.count, 2U);
  EXPECT_EQ (memcmp (read.items, items, sizeof items), 0);
  free ((void *)read.items);
}

TEST_F (EjectionMessages, NoticeSurvivesEncoding)
{
  const char names[2][PEER_NAME_SIZE] = { "t1", "t2" };
  const uint32_t shares[2] = { 0, 50 };
  const char avoid[1][PEER_NAME_SIZE] = { "t7" };
  const ejection_notice sent = {
    EJECTION_DECISION, "holds", 3, 4, 900, 5, 6, names, shares, 2, avoid, 1,
    { 350, 1250 }
  };
  ASSERT_EQ (ejection_send_notice (&last.base, "h", &sent), STATUS_OK);
  ejection_notice read;
  ASSERT_TRUE (ejection_read_notice (report (), &read));
  EXPECT_EQ (read.kind, EJECTION_DECISION);
  EXPECT_EQ (read.sequence, 4U);
  EXPECT_EQ (read.enforce_ms, 900U);
  EXPECT_EQ (read.incarnation, 5U);
  EXPECT_EQ (read.poll_ms, 6);
  ASSERT_EQ (read.count, 2U);
  EXPECT_STREQ (read.names[1], "t2");
  EXPECT_EQ (read.trial_permille[1], 50U);
  ASSERT_EQ (read.avoided_count, 1U);
  EXPECT_STREQ (read.avoided[0], "t7");
  EXPECT_EQ (read.share.from_permille, 350U);
  EXPECT_EQ (read.share.permille, 1250U);
  free ((void *)read.trial_permille);
  // A target to avoid before an ejected one; an invalid flag.
  report ()->values[report ()->columns + 1] = 1;
  EXPECT_FALSE (ejection_read_notice (report (), &read));
  report ()->values[report ()->columns + 1] = 2;
  EXPECT_FALSE (ejection_read_notice (report (), &read));
}

TEST_F (EjectionMessages, CommandMessageSurvivesEncoding)
{
  const ejection_command_message sent
      = { EJECTION_RESULT, "holds", "t1", UINT64_MAX, 8, 5, 3, 2 };
  ASSERT_EQ (ejection_send_command_message (&last.base, "h", &sent),
             STATUS_OK);
  ejection_command_message read;
  ASSERT_TRUE (ejection_read_command_message (report (), &read));
  EXPECT_EQ (read.id, UINT64_MAX);
  EXPECT_EQ (read.version, 8U);
  EXPECT_EQ (read.verb, 5);
  EXPECT_EQ (read.status, 3);
  EXPECT_EQ (read.reason, 2);
  EXPECT_STREQ (read.target, "t1");
}

TEST_F (EjectionMessages, MalformedMessagesAreRefused)
{
  detection_report_item item = {};
  item.target_key = 5;
  item.evidence.requests = 2;
  const ejection_report sent = { "holds", 1, 1, 1, "dc", 0, &item, 1 };
  ASSERT_EQ (ejection_send_report (&last.base, "h", &sent), STATUS_OK);
  ejection_report read;
  int64_t *row = report ()->values + report ()->columns;
  for (const int64_t bad : { (int64_t)-1, (int64_t)UINT32_MAX + 1 })
    {
      row[1] = bad;
      EXPECT_FALSE (ejection_read_report (report (), &read));
    }
  row[1] = 2;
  row[2] = 3; // more failures than requests
  EXPECT_FALSE (ejection_read_report (report (), &read));
  row[2] = 0;
  row[0] = 0;
  EXPECT_FALSE (ejection_read_report (report (), &read));
  report ()->values[0] = 77;
  EXPECT_EQ (ejection_message_kind (report ()), 0);
  report ()->values[0] = EJECTION_REPORT;
  report ()->value_count--;
  EXPECT_EQ (ejection_message_kind (report ()), 0);
  ejection_notice notice;
  report ()->value_count++;
  EXPECT_FALSE (ejection_read_notice (report (), &notice));
  ejection_command_message command;
  EXPECT_FALSE (ejection_read_command_message (report (), &command));
}

// A faulty peer must not be able to grant a host an excessive share of the
// slots.
TEST_F (EjectionMessages, SharesOutOfBoundsAreRefused)
{
  ejection_notice sent = {};
  sent.kind = EJECTION_DECISION;
  sent.service = "holds";
  ASSERT_EQ (ejection_send_notice (&last.base, "h", &sent), STATUS_OK);
  ejection_notice read;
  ASSERT_TRUE (ejection_read_notice (report (), &read));
  free ((void *)read.trial_permille);
  for (const int column : { 4, 5 })
    {
      for (const int64_t bad : { (int64_t)-1, (int64_t)4001, INT64_MAX })
        {
          report ()->values[column] = bad;
          EXPECT_FALSE (ejection_read_notice (report (), &read)) << column;
        }
      report ()->values[column] = 0;
    }
}

// Reports and decisions of random numbers are refused, or read within their
// bounds, which the sanitizers check.
TEST_F (EjectionMessages, RandomNumbersStayWithinBounds)
{
  struct rng rng;
  rng_seed (&rng, 29);
  char names[1][PEER_NAME_SIZE] = { "dc" };
  for (int i = 0; i < 200000; i++)
    {
      int64_t values[80];
      for (int64_t &v : values)
        v = rng_below (&rng, 3) == 0 ? (int64_t)rng_next (&rng)
                                     : (int64_t)rng_below (&rng, 5000);
      values[0] = (int64_t)rng_below (&rng, 8);
      peer_report r = {};
      r.columns = 6 + (uint32_t)rng_below (&rng, 40);
      r.values = values;
      r.value_count = r.columns * (1 + rng_below (&rng, 80 / r.columns));
      r.names = names;
      r.name_count = rng_below (&rng, 2);
      ejection_report report;
      ejection_notice notice;
      if (ejection_read_report (&r, &report))
        free ((void *)report.items);
      if (!ejection_read_notice (&r, &notice))
        continue;
      EXPECT_LE (notice.share.from_permille, 4000U);
      EXPECT_LE (notice.share.permille, 4000U);
      free ((void *)notice.trial_permille);
    }
}
}
