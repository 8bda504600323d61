/* A host whose platform sends responses that can't be read. */
#include "node/control/tests/control_fixture.h"

namespace
{

class ControlUnreadable : public ControlFixture
{
protected:
  /* Starts a host that knows version 1 of a service, and whose first watch
     follows. */
  node &
  start_host ()
  {
    store.put ("service", "a", service_text ("a", 1));
    node &host = add ("h0", "d0");
    host.start (loop);
    EXPECT_TRUE (until ([&] {
      return host.version ("a") == 1
             && host.platform.has_call ("watch", "service",
                                        PLATFORM_READ_LATEST);
    }));
    return host;
  }

  void
  run_for (double seconds)
  {
    const double end = ev_now (loop) + seconds;
    until ([&] { return ev_now (loop) >= end; });
  }

  std::string
  exposed (const node &host)
  {
    char *text = counters_expose (host.counters);
    const std::string taken = text;
    free (text);
    return taken;
  }
};

/* Guards against a watch that is repeated for ever, since its response can't
   be read. */
TEST_F (ControlUnreadable, WatchIsFollowedByAList)
{
  node &host = start_host ();
  host.platform.unreadable_watch = "service";
  const uint64_t version = store.put ("service", "a", service_text ("a", 2));
  EXPECT_TRUE (until ([&] { return host.version ("a") == version; }));
  EXPECT_NE (exposed (host).find (
                 "jaystair_platform_unreadable_total{kind=\"service\"}"),
             std::string::npos);
  host.platform.unreadable_watch.clear ();
  const uint64_t next = store.put ("service", "a", service_text ("a", 3));
  EXPECT_TRUE (until ([&] { return host.version ("a") == next; }));
}

/* Guards against lists and watches in a busy loop while no watch can be
   read. */
TEST_F (ControlUnreadable, WatchesAndListsAreSpacedOut)
{
  node &host = start_host ();
  host.platform.unreadable_watch = "service";
  const int before = host.platform.lists;
  run_for (5);
  const int made = host.platform.lists - before;
  EXPECT_GT (made, 1);
  EXPECT_LE (made, 5000 / 400 + 4) << "at most one in half of 800 ms, and the "
                                      "first ones";
}

/* Guards against lists in a busy loop while none can be read, and against one
   that isn't read once it can be. */
TEST_F (ControlUnreadable, ListsBackOff)
{
  node &host = start_host ();
  host.platform.unreadable_watch = "service";
  host.platform.unreadable_list = "service";
  const uint64_t version = store.put ("service", "a", service_text ("a", 2));
  const int before = host.platform.lists;
  run_for (5);
  EXPECT_GT (host.platform.lists - before, 1);
  EXPECT_LE (host.platform.lists - before, 8) << "200 ms, doubled each time";
  EXPECT_EQ (host.version ("a"), 1U);
  host.platform.unreadable_list.clear ();
  EXPECT_TRUE (until ([&] { return host.version ("a") == version; }));
}

/* Guards against a watch that is repeated for ever, since its response is cut
   each time. */
TEST_F (ControlUnreadable, WatchThatIsCutAgainAndAgain)
{
  node &host = start_host ();
  host.platform.cut_watch = "service";
  const uint64_t version = store.put ("service", "a", service_text ("a", 2));
  EXPECT_TRUE (until ([&] { return host.version ("a") == version; }));
}

/* Guards against lists by all hosts after an outage, in which nothing was
   answered at all. */
TEST_F (ControlUnreadable, WatchWithoutAResponseIsRepeated)
{
  node &host = start_host ();
  const int before = host.platform.lists;
  host.platform.is_down = true;
  run_for (3);
  host.platform.is_down = false;
  const uint64_t version = store.put ("service", "a", service_text ("a", 2));
  EXPECT_TRUE (until ([&] { return host.version ("a") == version; }));
  EXPECT_EQ (host.platform.lists, before);
}

} // namespace
