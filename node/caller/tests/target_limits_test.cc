/* Rate limits that targets set in their responses. */
#include "node/caller/tests/caller_fixture.h"

#include <cstring>

extern "C"
{
#include "base/clock.h"
#include "base/hash.h"
}

class TargetLimitsTest : public CallerTest
{
protected:
  void
  start_with_two_targets ()
  {
    limited_target = add_target ("t1");
    other_target = add_target ("t2");
    target_server_faults (limited_target)->delay_ms = 5;
    target_server_faults (other_target)->delay_ms = 30;
    bus_subscribe (the_bus, BUS_LIMITS_ANNOUNCED, on_announced, this);
    start ();
    put_service (usual_routes);
    for (int i = 0; i < 20; i++)
      get ("/calendar", "before");
  }

  void
  TearDown () override
  {
    bus_unsubscribe (the_bus, this);
    CallerTest::TearDown ();
  }

  static void
  on_announced (void *owner, const bus_message *message)
  {
    auto *test = static_cast<TargetLimitsTest *> (owner);
    if (message->limits.to == LIMIT_TO_SET)
      test->announced.push_back (message->limits.rows[0]);
  }

  void
  set_limit (const char *text)
  {
    strcpy (target_server_faults (limited_target)->limit, text);
  }

  /* Sends requests one after the other for MS milliseconds.
     @return how many ran at the limited target */
  uint64_t
  send_for_ms (int64_t ms)
  {
    const uint64_t before = target_server_counts (limited_target).runs;
    const int64_t until_ms = clock_now_ms () + ms;
    while (clock_now_ms () < until_ms)
      {
        EXPECT_EQ (get ("/calendar", "r")->status, 200);
        sent++;
      }
    return target_server_counts (limited_target).runs - before;
  }

  /* Sends COUNT requests.
     @return how many ran at the limited target */
  uint64_t
  send_requests (int count)
  {
    const uint64_t before = target_server_counts (limited_target).runs;
    for (int i = 0; i < count; i++)
      EXPECT_EQ (get ("/calendar", "r")->status, 200);
    return target_server_counts (limited_target).runs - before;
  }

  /* Sends requests until CHANGES changes of limits were announced. */
  void
  send_until_announced (size_t changes)
  {
    for (int i = 0; i < 10000 && announced.size () < changes; i++)
      get ("/calendar", "r");
    ASSERT_EQ (announced.size (), changes);
  }

  void
  put_host_set (const std::vector<std::string> &names)
  {
    std::vector<bus_host_entry> hosts;
    for (const std::string &name : names)
      {
        bus_host_entry host = {};
        strcpy (host.name, name.c_str ());
        strcpy (host.dc, "dc-a");
        strcpy (host.caller_address, "127.0.0.1:1");
        hosts.push_back (host);
      }
    put_hosts (hosts);
    ev_run (loop, EVRUN_NOWAIT);
  }

  target_server *limited_target = nullptr;
  target_server *other_target = nullptr;
  std::vector<limit_row> announced;
  int sent = 0;
};

/* The target must get its rate limit, neither more nor much less. */
TEST_F (TargetLimitsTest, TargetReceivesItsLimitAndNoMore)
{
  start_with_two_targets ();
  set_limit ("10");
  send_until_announced (1);
  EXPECT_EQ (announced[0].rate_millis, 10000u);
  const uint64_t runs = send_for_ms (2000);
  EXPECT_LE (runs, 2 * 10u + 4);
  EXPECT_GE (runs, 18u - 1);
}

/* A small limit must be used by one host of the set only, not by each host in
   full. */
TEST_F (TargetLimitsTest, OneHostOfTheSetSendsWithSmallLimit)
{
  start_with_two_targets ();
  int senders = 0;
  set_limit ("1.5");
  send_until_announced (1);
  for (int own = 0; own < 6; own++)
    {
      std::vector<std::string> names = { "host-1" };
      for (int i = 0; i < 5; i++)
        names.push_back ("other-" + std::to_string (10 * own + i));
      put_host_set (names);
      const uint64_t runs = send_for_ms (100);
      EXPECT_LE (runs, 3u);
      senders += runs > 0;
    }
  EXPECT_LE (senders, 4);
}

/* An invalid value must neither stop a host from sending nor withdraw the
   limit in force. */
TEST_F (TargetLimitsTest, InvalidValuesChangeNothing)
{
  start_with_two_targets ();
  for (const char *invalid : { "0", "-1", "nan", "many", "1e9" })
    {
      set_limit (invalid);
      EXPECT_GT (send_requests (100), 5u) << invalid;
    }
  EXPECT_TRUE (announced.empty ());
  set_limit ("5");
  send_until_announced (1);
  set_limit ("-1");
  EXPECT_LE (send_for_ms (1500), 5 * 1.5 + 4);
  EXPECT_EQ (announced.size (), 1u);
}

/* Responses without the field must withdraw a limit, but only after
   LIMIT_WITHDRAWAL_DELAY_US, not already the first of them. */
TEST_F (TargetLimitsTest, ChangedAndWithdrawnLimitsTakeEffect)
{
  start_with_two_targets ();
  set_limit ("5");
  send_until_announced (1);
  set_limit ("50");
  send_until_announced (2);
  EXPECT_EQ (announced[1].rate_millis, 50000u);
  EXPECT_GT (send_for_ms (500), 15u);
  set_limit ("");
  EXPECT_LE (send_for_ms (500), 45u);
  EXPECT_EQ (announced.size (), 2u);
  send_for_ms (1000);
  ASSERT_EQ (announced.size (), 3u);
  EXPECT_EQ (announced[2].rate_millis, 0u);
  send_for_ms (500);
  EXPECT_GT (send_requests (100), 25u);
}

/* A host must enforce limits that other hosts report. */
TEST_F (TargetLimitsTest, LimitReportedByAnotherHostIsEnforced)
{
  start_with_two_targets ();
  set_limit ("5");
  send_until_announced (1);
  const limit_row row = announced[0];
  caller_task_destroy (task);
  start ();
  put_service (usual_routes);
  bus_message message = {};
  message.topic = BUS_LIMITS_RECEIVED;
  strcpy (message.limits.service, "holds");
  message.limits.rows
      = static_cast<limit_row *> (calloc (1, sizeof (limit_row)));
  message.limits.rows[0] = row;
  message.limits.count = 1;
  bus_post (the_bus, &message);
  ev_run (loop, EVRUN_NOWAIT);
  EXPECT_LE (send_for_ms (500), 6u);
}
