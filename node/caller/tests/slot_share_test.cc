#include <json-c/json.h>

#include "node/caller/tests/caller_fixture.h"

class SlotShareTest : public CallerTest
{
protected:
  static constexpr int CALL_COUNT = 8;

  void
  SetUp () override
  {
    CallerTest::SetUp ();
    target = add_target ("t1");
    start ();
    target_options = ", 'slots': 8";
  }

  void
  post_share (uint32_t permille)
  {
    bus_message message = {};
    message.topic = BUS_SLOT_SHARES;
    strcpy (message.slot_shares.service, "holds");
    message.slot_shares.share = { 0, permille };
    bus_post (the_bus, &message);
  }

  static auto
  new_name_list (const char *name)
  {
    auto names = static_cast<char (*)[SERVICE_NAME_SIZE]> (
        calloc (1, SERVICE_NAME_SIZE));
    strcpy (names[0], name);
    return names;
  }

  void
  post_path_fault (const char *name)
  {
    bus_message message = {};
    message.topic = BUS_PATH_FAULTS;
    strcpy (message.path_faults.service, "holds");
    message.path_faults.targets = new_name_list (name);
    message.path_faults.count = 1;
    bus_post (the_bus, &message);
  }

  void
  post_ejection (const char *name)
  {
    bus_message message = {};
    message.topic = BUS_EJECTIONS;
    strcpy (message.ejections.service, "holds");
    message.ejections.targets = new_name_list (name);
    message.ejections.count = 1;
    bus_post (the_bus, &message);
  }

  void
  post_host_set (size_t count)
  {
    put_hosts (std::vector<bus_host_entry> (count));
  }

  /** Begin calls that the target doesn't respond to. */
  void
  begin_hanging_calls ()
  {
    target_server_faults (target)->hang = 100;
    for (int i = 0; i < CALL_COUNT; i++)
      {
        calls.push_back (make ("GET", "/seats", "c" + std::to_string (i)));
        begin (calls.back ().get ());
      }
  }

  int
  count_at_target ()
  {
    int sum = 0;
    for (int i = 0; i < CALL_COUNT; i++)
      sum += (int)target_server_runs (target,
                                      ("c" + std::to_string (i)).c_str ());
    return sum;
  }

  int
  count_queued ()
  {
    json_object *rows = tables_read (the_tables, "services");
    json_object *row = json_object_array_get_idx (rows, 0);
    const int count
        = json_object_get_int (json_object_object_get (row, "queued"));
    json_object_put (rows);
    return count;
  }

  /** Wait until RUNNING calls are at the target and all others are queued.
   * @return false on a timeout */
  bool
  settles_with_running (int running)
  {
    return run_until ([this, running] {
      return count_at_target () == running
             && count_queued () == CALL_COUNT - running;
    });
  }

  target_server *target = nullptr;
  std::vector<std::unique_ptr<Call>> calls;
};

/* Without shares, a target with 8 slots would get 8 requests at once from each
   host of the set, and be overloaded. */
TEST_F (SlotShareTest, ShareBoundsConcurrentAttempts)
{
  post_share (250); // received before the service itself
  put_service (usual_routes);
  begin_hanging_calls ();
  ASSERT_TRUE (settles_with_running (2)) << count_at_target ();
  EXPECT_EQ (caller_task_demand (task, "holds"), (uint32_t)CALL_COUNT);
  EXPECT_EQ (caller_task_demand (task, "nobody"), 0u);
  post_share (625);
  EXPECT_TRUE (settles_with_running (5)) << count_at_target ();
  post_share (1250);
  EXPECT_TRUE (settles_with_running (8)) << count_at_target ();
}

/* Without a message from the owner, a host must not use all slots: if each
   host did, the target would get as many times its slots as the set has
   hosts. */
TEST_F (SlotShareTest, WithoutAShareTheHostsOfTheSetGetEqualShares)
{
  post_share (1250);
  post_host_set (4);
  post_share (0);
  put_service (usual_routes);
  begin_hanging_calls ();
  // 8 / 4 + 2 * sqrt (8 / 4), rounded up
  ASSERT_TRUE (settles_with_running (5)) << count_at_target ();
  post_host_set (2);
  EXPECT_TRUE (settles_with_running (8)) << count_at_target ();
}

/* A target refuses connections beyond its limit even if it has free slots. */
TEST_F (SlotShareTest, SharesApplyToConnectionsToo)
{
  target_options = ", 'slots': 8, 'connections': 4";
  post_share (500);
  put_service (usual_routes);
  begin_hanging_calls ();
  EXPECT_TRUE (settles_with_running (2)) << count_at_target ();
}

/* Other hosts of this data centre have reported that responses of one target
   are lost on the path to it.  Without the report, requests of this host's
   callers would have to fail first. */
TEST_F (SlotShareTest, FaultyPathIsAvoidedButStillUsable)
{
  add_target ("t2");
  put_service (usual_routes);
  post_path_fault ("t1");
  for (int i = 0; i < 40; i++)
    EXPECT_EQ (get ("/seats")->status, 200);
  EXPECT_LE (target_server_counts (target).runs, 4u);
  EXPECT_EQ (target_server_counts (target).runs
                 + target_server_counts (targets[1]).runs,
             40u);
  // If the other target is ejected, it gets all requests: it wasn't ejected.
  post_ejection ("t2");
  for (int i = 0; i < 10; i++)
    EXPECT_EQ (get ("/seats")->status, 200);
  EXPECT_GE (target_server_counts (target).runs, 10u);
  EXPECT_LE (target_server_counts (targets[1]).runs, 40u);
}
