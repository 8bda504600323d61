#include "node/caller/tests/caller_fixture.h"

class KeptConnectionTest : public CallerTest
{
};

/* A target that leaves is probed every two seconds, over a new connection.
   libcurl closes the connections of all targets that have been idle for longer
   than the call that it starts allows, so a probe that allows none would make
   each target need a new connection for its next request. */
TEST_F (KeptConnectionTest, ProbesKeepTheConnectionsOfOtherTargets)
{
  target_server *kept = add_target ("t1");
  target_server *leaving = add_target ("t2");
  start ();
  put_service (usual_routes);
  target_server_faults (leaving)->leave = 1;
  ASSERT_TRUE (run_until ([&] {
    get ("/calendar", "r");
    return target_server_counts (leaving).connections > 0
           && target_server_counts (kept).runs > 0;
  }));
  get ("/calendar", "kept");
  const uint64_t before = target_server_counts (kept).connections;
  const uint64_t probes = target_server_counts (leaving).connections;
  ASSERT_TRUE (run_until ([&] {
    return target_server_counts (leaving).connections >= probes + 2;
  }));
  EXPECT_EQ (get ("/calendar", "again")->field ("x-target"), "t1");
  EXPECT_EQ (target_server_counts (kept).connections, before);
}
