#include "node/caller/tests/caller_fixture.h"

class AtMostOnceTest : public CallerTest
{
};

/* On a reused connection, a target runs a request and closes before the first
   byte of its response.  libcurl takes the connection for stale and sends the
   request again by itself: it runs twice, and the caller gets one successful
   response. */
TEST_F (AtMostOnceTest, PostOnKeptConnectionIsNotSentAgain)
{
  target_server *target = add_target ("t1");
  start ();
  put_service (usual_routes);
  get ("/warm-up", "warm");
  target_server_faults (target)->close_reused = 1;
  auto post = make ("POST", "/holds", "hold-1");
  finish (post.get ());
  EXPECT_EQ (target_server_runs (target, "hold-1"), 1u);
  EXPECT_EQ (post->status, 200);
  EXPECT_EQ (post->field ("jaystair-outcome"), "ran");
}

/* The same with `reuse_idle_once_ms`, which lets unrepeatable requests use
   kept connections to save their targets a handshake each.  The request must
   run once, and its caller must get the outcome "unknown". */
TEST_F (AtMostOnceTest, PostOnReusedConnectionRunsAtMostOnce)
{
  settings.limits.reuse_idle_once_ms = 30000;
  target_server *target = add_target ("t1");
  start ();
  put_service (usual_routes);
  get ("/warm-up", "warm");
  auto reused = make ("POST", "/holds", "hold-1");
  finish (reused.get ());
  EXPECT_EQ (reused->status, 200);
  EXPECT_EQ (target_server_counts (target).connections, 1u);
  target_server_faults (target)->close_reused = 1;
  auto post = make ("POST", "/holds", "hold-2");
  post->body = "date=2027-02-14";
  finish (post.get ());
  EXPECT_EQ (target_server_runs (target, "hold-2"), 1u);
  EXPECT_EQ (post->status, 502);
  EXPECT_EQ (post->field ("jaystair-outcome"), "unknown");
}

/* All targets close every connection without a response, so the outcome is
   unknown and must be reported as such. */
TEST_F (AtMostOnceTest, PostWithLostResponseIsUnknown)
{
  target_server *first = add_target ("t1");
  target_server *second = add_target ("t2");
  target_server_faults (first)->close = 100;
  target_server_faults (second)->close = 100;
  start ();
  put_service (usual_routes);
  auto post = make ("POST", "/holds", "hold-1");
  post->body = "date=2027-02-14";
  finish (post.get ());
  EXPECT_EQ (target_server_runs (first, "hold-1")
                 + target_server_runs (second, "hold-1"),
             1u);
  EXPECT_EQ (post->status, 502);
  EXPECT_EQ (post->field ("jaystair-outcome"), "unknown");
}

/* libcurl's own resend of a repeatable request would be a retry that no retry
   budget counts.  Only retries that are counted as attempts may happen, so
   with a limit of one attempt the request runs once. */
TEST_F (AtMostOnceTest, ResendOfGetIsACountedRetry)
{
  target_server *target = add_target ("t1");
  start ();
  put_service (usual_routes, ", 'limits': { 'attempts': 1 }");
  get ("/warm-up", "warm");
  target_server_faults (target)->close_reused = 1;
  auto call = get ("/calendar", "page-1");
  EXPECT_EQ (target_server_runs (target, "page-1"), 1u);
  EXPECT_EQ (call->status, 502);
  EXPECT_EQ (call->field ("jaystair-outcome"), "unknown");
}

/* Shows that the protection is needed: libcurl alone runs a POST twice.  If
   this test fails with a later version, the protection can be removed. */
TEST_F (AtMostOnceTest, LibcurlAloneRunsPostTwice)
{
  target_server *target = add_target ("t1");
  start ();
  const std::string base
      = std::string ("http://") + target_server_address (target);
  auto first = make ("GET", "/", "warm");
  first->url = base + "/";
  finish (first.get ());
  target_server_faults (target)->close_reused = 1;
  auto post = make ("POST", "/", "hold-1");
  post->url = base + "/holds";
  post->body = "date=2027-02-14";
  finish (post.get ());
  EXPECT_EQ (post->status, 200);
  EXPECT_EQ (target_server_runs (target, "hold-1"), 2u);
}
