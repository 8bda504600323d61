/* Requests at a host whose settings may be old. */
#include "node/caller/tests/caller_fixture.h"

extern "C"
{
#include "base/clock.h"
#include "node/bus.h"
}

namespace
{

constexpr int64_t old_ms = 5000;

void
count_request (void *owner, const bus_message *)
{
  ++*static_cast<int *> (owner);
}

class ContactTest : public CallerTest
{
protected:
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    target = add_target ("t1");
    start ();
    put_service (usual_routes);
    put_config ("");
    bus_subscribe (the_bus, BUS_CONTACT_REQUESTED, count_request, &requested);
    post_contact (clock_now_ms () - old_ms);
    ev_run (loop, EVRUN_NOWAIT);
  }

  void
  TearDown () override
  {
    bus_unsubscribe (the_bus, &requested);
    CallerTest::TearDown ();
  }

  void
  post_contact (int64_t at_ms)
  {
    bus_message message{};
    message.topic = BUS_CONTACT;
    message.contact.at_ms = at_ms;
    bus_post (the_bus, &message);
  }

  target_server *target = nullptr;
  int requested = 0;
};

/* Guards against a request that is handled before the settings that arrived
   while the process stood still. */
TEST_F (ContactTest, RequestWaitsForNewerSettings)
{
  auto call = make ("GET", "/open/x", "r1");
  begin (call.get ());
  ASSERT_TRUE (run_until ([&] { return requested == 1; }));
  EXPECT_EQ (target_server_counts (target).runs, 0u);
  post_contact (clock_now_ms ());
  ASSERT_TRUE (run_until ([&] { return call->done; }));
  EXPECT_EQ (call->status, 200);
  EXPECT_EQ (requested, 1);
}

/* Guards against requests that are held again and again during an outage. */
TEST_F (ContactTest, OnlyTheFirstRequestsWaitWhileNobodyAnswers)
{
  EXPECT_EQ (get ("/open/x", "r1")->status, 200);
  EXPECT_EQ (requested, 1);
  EXPECT_EQ (get ("/open/x", "r2")->status, 200);
  EXPECT_EQ (requested, 1);
}

TEST_F (ContactTest, RecentSettingsNeedNoWait)
{
  post_contact (clock_now_ms ());
  ev_run (loop, EVRUN_NOWAIT);
  EXPECT_EQ (get ("/open/x", "r1")->status, 200);
  EXPECT_EQ (requested, 0);
}

} // namespace
