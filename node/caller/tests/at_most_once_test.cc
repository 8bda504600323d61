#include "node/caller/tests/caller_fixture.h"

class AtMostOnceTest : public CallerTest
{
};

/* A planner's hold is placed twice.  Her request goes out on a kept
   connection; the target runs it and closes before the first byte of its
   answer; libcurl takes the connection for stale and sends the request again
   by itself.  The planner sees one good answer, and a second couple is
   blocked. */
TEST_F (AtMostOnceTest, PostOnKeptConnectionIsNotSentAgain)
{
  target_server *target = add_target ("t1");
  start ();
  put_service (usual_routes);
  get ("/warm-up", "warm");
  target_server_faults (target)->close_reused = 1;
  auto hold = make ("POST", "/holds", "hold-1");
  finish (hold.get ());
  EXPECT_EQ (target_server_runs (target, "hold-1"), 1u);
  EXPECT_EQ (hold->status, 200);
  EXPECT_EQ (hold->field ("jaystair-outcome"), "ran");
}

/* Holds go out on kept connections, to save their targets a handshake each.
   The target runs one and closes before the first byte of its answer; sent
   again by libcurl, it would run twice.  It runs once, and the planner is
   told that nobody knows. */
TEST_F (AtMostOnceTest, PostThatReusesAConnectionRunsOnceAtMost)
{
  settings.limits.reuse_idle_once_ms = 30000;
  target_server *target = add_target ("t1");
  start ();
  put_service (usual_routes);
  get ("/warm-up", "warm");
  auto kept = make ("POST", "/holds", "hold-1");
  finish (kept.get ());
  EXPECT_EQ (kept->status, 200);
  EXPECT_EQ (target_server_counts (target).connections, 1u);
  target_server_faults (target)->close_reused = 1;
  auto hold = make ("POST", "/holds", "hold-2");
  hold->body = "date=2027-02-14";
  finish (hold.get ());
  EXPECT_EQ (target_server_runs (target, "hold-2"), 1u);
  EXPECT_EQ (hold->status, 502);
  EXPECT_EQ (hold->field ("jaystair-outcome"), "unknown");
}

/* The same at a target that closes every connection: nobody knows whether the
   hold was placed, and the planner is told just that. */
TEST_F (AtMostOnceTest, PostThatLosesItsAnswerIsUnknown)
{
  target_server *first = add_target ("t1");
  target_server *second = add_target ("t2");
  target_server_faults (first)->close = 100;
  target_server_faults (second)->close = 100;
  start ();
  put_service (usual_routes);
  auto hold = make ("POST", "/holds", "hold-1");
  hold->body = "date=2027-02-14";
  finish (hold.get ());
  EXPECT_EQ (target_server_runs (first, "hold-1")
                 + target_server_runs (second, "hold-1"),
             1u);
  EXPECT_EQ (hold->status, 502);
  EXPECT_EQ (hold->field ("jaystair-outcome"), "unknown");
}

/* A repeatable request meets the same trap.  The library's own resend would
   be a retry that no budget knows of; it must come as a counted one. */
TEST_F (AtMostOnceTest, ResendOfGetIsACountedRetry)
{
  target_server *target = add_target ("t1");
  start ();
  put_service (usual_routes, ", 'limits': { 'attempts': 1 }");
  get ("/warm-up", "warm");
  target_server_faults (target)->close_reused = 1;
  auto page = get ("/calendar", "page-1");
  EXPECT_EQ (target_server_runs (target, "page-1"), 1u);
  EXPECT_EQ (page->status, 502);
  EXPECT_EQ (page->field ("jaystair-outcome"), "unknown");
}

/* What our guards rest on: libcurl by itself does run a POST twice.  Should a
   later version no longer do so, this test says that they may go. */
TEST_F (AtMostOnceTest, LibcurlAloneRunsPostTwice)
{
  target_server *target = add_target ("t1");
  start ();
  const std::string base
      = std::string ("http://") + target_server_address (target);
  auto warm = make ("GET", "/", "warm");
  warm->url = base + "/";
  finish (warm.get ());
  target_server_faults (target)->close_reused = 1;
  auto hold = make ("POST", "/", "hold-1");
  hold->url = base + "/holds";
  hold->body = "date=2027-02-14";
  finish (hold.get ());
  EXPECT_EQ (hold->status, 200);
  EXPECT_EQ (target_server_runs (target, "hold-1"), 2u);
}
