#include "node/control/tests/registry_fixture.h"

namespace
{

/* The users' bound `Drain`, in seconds. */
constexpr double drain_s = 2;
/* Records of targets that are written this often expire within expiry_s, which
   is longer than back-offs after one failure. */
constexpr uint32_t heartbeat_ms = 500;
constexpr double expiry_s = 1.5;
constexpr uint32_t short_watch_ms = 50;

class ControlOutage : public ControlRegistry
{
protected:
  void
  put_targets ()
  {
    store.put ("config", "main", config_text (1));
    store.put ("target", "t1", target_text ());
    store.put ("target", "t2", target_text ());
    ASSERT_TRUE (until ([&] { return all_have_targets ({ "t1", "t2" }); }));
  }

  /* Cuts off the waiting watches of all hosts COUNT times, and lets them
     watch again in between. */
  void
  cut_watches (int count, double interval_s)
  {
    for (int i = 0; i < count; i++)
      {
        ASSERT_TRUE (until ([&] {
          return std::all_of (nodes.begin (), nodes.end (), [] (auto &n) {
            return n->platform.has_call ("watch", "target",
                                         PLATFORM_READ_LATEST);
          });
        }));
        for (auto &n : nodes)
          n->platform.cut_watches ();
        run_for (interval_s);
      }
  }

  /* Removes t1.
     @return after how many seconds no host has it */
  double
  remove_t1 ()
  {
    const double start = ev_now (loop);
    store.remove ("target", "t1");
    EXPECT_TRUE (until ([&] { return all_have_targets ({ "t2" }); }));
    return ev_now (loop) - start;
  }
};

/* Guards against a removed target that gets requests for longer than Drain
   because watches were cut off. */
TEST_F (ControlOutage, RemovalAfterCutWatchesIsAppliedAtOnce)
{
  start_registry (1);
  put_targets ();
  cut_watches (2, 0.03);
  EXPECT_LT (remove_t1 (), drain_s);
}

/* Guards against cuts that add up to an outage although the platform answers
   between them. */
TEST_F (ControlOutage, RemovalAfterManyCutsIsAppliedAtOnce)
{
  start_with_short_records (1, heartbeat_ms, short_watch_ms);
  put_targets ();
  cut_watches (10, 0.15);
  EXPECT_LT (remove_t1 (), drain_s);
}

/* Guards against an outage too short for records to expire that holds
   removals. */
TEST_F (ControlOutage, RemovalAfterAShortOutageIsAppliedAtOnce)
{
  start_registry (1);
  put_targets ();
  nodes[0]->platform.is_down = true;
  run_for (0.3);
  nodes[0]->platform.is_down = false;
  EXPECT_LT (remove_t1 (), drain_s);
}

/* Guards against failed reads of one kind that hold removals although the
   platform answers others. */
TEST_F (ControlOutage, FailureOfOneKindIsNoOutage)
{
  start_with_short_records (1, heartbeat_ms, short_watch_ms);
  put_targets ();
  nodes[0]->platform.failing_kind = "target";
  run_for (expiry_s);
  nodes[0]->platform.failing_kind = "";
  EXPECT_LT (remove_t1 (), drain_s);
}

/* Guards against a host that holds removals because the platform refused it
   while it served the others. */
TEST_F (ControlOutage, RefusalOfOneHostIsNoOutage)
{
  start_with_short_records (2, heartbeat_ms, short_watch_ms);
  put_targets ();
  nodes[1]->platform.refuses = true;
  run_for (expiry_s);
  nodes[1]->platform.refuses = false;
  EXPECT_LT (remove_t1 (), drain_s);
}

/* Guards against running targets that are dropped after an outage because a
   host that hasn't noticed it passes on the removal of their records. */
TEST_F (ControlOutage, RemovalFromAnotherHostIsHeldAfterAnOutage)
{
  start_with_short_records (2, heartbeat_ms, short_watch_ms);
  put_targets ();
  nodes[1]->settings.times.target_heartbeat_ms = 3600 * 1000;
  for (auto &n : nodes)
    n->platform.is_down = true;
  run_for (expiry_s);
  store.remove ("target", "t1");
  for (auto &n : nodes)
    n->platform.is_down = false;
  const std::vector<std::string> both = { "t1", "t2" }, rest = { "t2" };
  ASSERT_TRUE (until ([&] { return nodes[1]->targets["holds"] == rest; }));
  run_for (0.5);
  EXPECT_EQ (nodes[0]->targets["holds"], both);
  EXPECT_TRUE (until ([&] { return all_have_targets (rest); }));
}
} // namespace
