/* Blocking of requests that crash targets, on a single host. */
#include "node/caller/tests/caller_fixture.h"
#include "node/caller/tests/staged_target.h"

#include <cstring>
#include <sys/socket.h>

extern "C"
{
#include "policy/poison/poison_row.h"
}

class PoisonTest : public CallerTest
{
protected:
  void
  start_with (int count)
  {
    for (int i = 1; i <= count; i++)
      target_server_faults (add_target ("t" + std::to_string (i)))->crash = 1;
    bus_subscribe (the_bus, BUS_POISON_ANNOUNCED, on_announced, this);
    start ();
    put_service (usual_routes);
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
    auto *test = static_cast<PoisonTest *> (owner);
    if (message->poison.rows[0].strikes > 0)
      test->block = message->poison.rows[0];
    if (message->poison.is_stored)
      test->stored++;
  }

  void
  receive (const poison_row &row)
  {
    bus_message message = {};
    message.topic = BUS_POISON_RECEIVED;
    strcpy (message.poison.service, "holds");
    message.poison.rows
        = static_cast<poison_row *> (calloc (1, sizeof (poison_row)));
    message.poison.rows[0] = row;
    message.poison.count = 1;
    bus_post (the_bus, &message);
    ev_run (loop, EVRUN_NOWAIT);
  }

  uint64_t
  runs () const
  {
    uint64_t total = 0;
    for (const target_server *target : targets)
      total += target_server_counts (target).runs;
    return total;
  }

  std::unique_ptr<Call>
  put (const std::string &path, const std::string &body)
  {
    auto call = make ("PUT", path, "r" + std::to_string (++sent));
    call->body = body;
    finish (call.get ());
    return call;
  }

  poison_row block = {};
  int stored = 0;
  int sent = 0;
};

/* A request must not crash one target after another, even under new request
   ids. */
TEST_F (PoisonTest, RequestIsBlockedAfterThreeCrashes)
{
  start_with (12);
  for (int i = 0; i < 10; i++)
    {
      const auto call = put ("/crash", "the same");
      EXPECT_GE (call->status, 502);
    }
  EXPECT_LE (runs (), 4u);
  EXPECT_EQ (block.strikes, 1u);
  EXPECT_EQ (stored, 1);
  const auto refused = put ("/crash", "the same");
  EXPECT_EQ (refused->status, 503);
  EXPECT_EQ (refused->field ("jaystair-outcome"), "not-run");
  EXPECT_EQ (refused->field ("retry-after"), "60");
  EXPECT_NE (exposed ().find ("reason=\"poison-request\""), std::string::npos);
}

/* Requests that differ from the blocked one must not be refused. */
TEST_F (PoisonTest, OtherRequestsAreServed)
{
  start_with (12);
  for (int i = 0; i < 5; i++)
    put ("/crash", "the same");
  ASSERT_EQ (block.strikes, 1u);
  EXPECT_EQ (put ("/echo", "the same")->status, 200);
  EXPECT_EQ (get ("/calendar", "r")->status, 200);
  for (target_server *target : targets)
    target_server_faults (target)->crash = 0;
  EXPECT_EQ (put ("/crash", "another")->status, 200);
  EXPECT_EQ (put ("/crash?page=2", "the same")->status, 200);
  EXPECT_EQ (put ("/crash", "the same")->status, 503);
}

/* A request must not be sent before its fingerprint is available. */
TEST_F (PoisonTest, WaitsForBodyPrefixBeforeSending)
{
  start_with (8);
  const std::string small (3000, 'p');
  for (int i = 0; i < 5; i++)
    put ("/crash", small);
  ASSERT_EQ (block.strikes, 1u);
  const uint64_t before = runs ();
  auto raw = connect_raw ();
  raw->write ("PUT /crash HTTP/1.1\r\nHost: 127.0.0.1\r\n"
              "Content-Length: 3000\r\nX-Request-Id: slow\r\n\r\n"
              + small.substr (0, 1000));
  for (int i = 0; i < 20; i++)
    get ("/calendar", "between");
  EXPECT_EQ (raw->received, "");
  const uint64_t between = runs ();
  raw->write (small.substr (1000));
  ASSERT_TRUE (run_until ([&raw] {
    return raw->received.find (" 503 ") != std::string::npos;
  })) << raw->received;
  EXPECT_EQ (runs (), between);
  EXPECT_EQ (between, before + 20);
  for (target_server *target : targets)
    target_server_faults (target)->crash = 0;
  const auto longer = put ("/crash", small + "and more");
  EXPECT_EQ (longer->status, 200);
  auto chunked = make ("PUT", "/crash", "long");
  chunked->body = std::string (300000, 'q');
  chunked->chunked = true;
  finish (chunked.get ());
  EXPECT_EQ (chunked->status, 200);
}

/* The body doesn't come before the deadline: 408 says that the request has not
   run, so that it must not run when the rest of the body comes. */
TEST_F (PoisonTest, RequestWithLateBodyNeverRuns)
{
  start_with (8);
  const std::string small (3000, 'p');
  for (int i = 0; i < 5; i++)
    {
      auto call = make ("POST", "/crash", "c" + std::to_string (i));
      call->body = small;
      finish (call.get ());
    }
  ASSERT_GE (block.strikes, 1u);
  for (target_server *target : targets)
    target_server_faults (target)->crash = 0;
  auto raw = connect_raw ();
  raw->write ("POST /crash HTTP/1.1\r\nHost: 127.0.0.1\r\n"
              "Content-Length: 3000\r\nX-Request-Id: late\r\n"
              "Jaystair-Deadline-Ms: 200\r\n\r\n"
              + small.substr (0, 1000));
  ASSERT_TRUE (run_until ([&raw] {
    return raw->received.find (" 408 ") != std::string::npos;
  })) << raw->received;
  EXPECT_NE (raw->received.find ("not-run"), std::string::npos);
  send (raw->fd, small.data (), 2000, MSG_NOSIGNAL);
  EXPECT_TRUE (run_until ([&raw] { return raw->closed; }));
  EXPECT_EQ (get ("/calendar", "after")->status, 200);
  for (target_server *target : targets)
    EXPECT_EQ (target_server_runs (target, "late"), 0u);
}

/* A host that observed no crash must enforce a block of another host. */
TEST_F (PoisonTest, BlockFromAnotherHostIsEnforced)
{
  start_with (12);
  for (int i = 0; i < 5; i++)
    put ("/crash", "the same");
  ASSERT_EQ (block.strikes, 1u);
  caller_task_destroy (task);
  start ();
  put_service (usual_routes);
  receive (block);
  const uint64_t before = runs ();
  EXPECT_EQ (put ("/crash", "the same")->status, 503);
  EXPECT_EQ (runs (), before);
}

/* Sent and queued duplicates must not continue after the request is
   blocked. */
TEST_F (PoisonTest, InFlightDuplicatesAreCancelled)
{
  target_options = ", 'slots': 1";
  start_with (8);
  for (int i = 0; i < 5; i++)
    put ("/crash", "the same");
  ASSERT_EQ (block.strikes, 1u);
  caller_task_destroy (task);
  start ();
  put_service (usual_routes);
  for (target_server *target : targets)
    {
      target_server_faults (target)->crash = 0;
      target_server_faults (target)->delay_ms = 5000;
    }
  std::vector<std::unique_ptr<Call>> calls;
  for (int i = 0; i < 12; i++)
    {
      calls.push_back (make ("PUT", "/crash", "c" + std::to_string (i)));
      calls.back ()->body = "the same";
      begin (calls.back ().get ());
    }
  const uint64_t before = runs ();
  ASSERT_TRUE (run_until ([&] { return runs () >= before + 4; }));
  receive (block);
  ASSERT_TRUE (run_until ([&calls] {
    for (const auto &call : calls)
      if (!call->done)
        return false;
    return true;
  }));
  int unknown = 0;
  for (const auto &call : calls)
    {
      EXPECT_TRUE (call->status == 502 || call->status == 503) << call->status;
      unknown += call->field ("jaystair-outcome") == "unknown";
    }
  EXPECT_GE (unknown, 4);
}

/* Guards against a cancelled attempt that is used after a block, received
   while its server error arrives, has stopped the next attempt. */
TEST_F (PoisonTest, BlockBeforeRetryOfServerError)
{
  start_with (8);
  for (int i = 0; i < 5; i++)
    put ("/crash", "the same");
  ASSERT_EQ (block.strikes, 1u);
  caller_task_destroy (task);
  settings.limits.hold_answer_bytes = 1024;
  start ();
  StagedTarget first (loop), second (loop);
  std::string list;
  for (const auto *staged : { &first, &second })
    list += std::string (list.empty () ? "" : ",") + "{ 'name': '"
            + (list.empty () ? "s1" : "s2") + "', 'address': '"
            + staged->address ()
            + "', 'dc': 'dc-a', 'slots': 64, 'connections': 200 }";
  post_service (list, usual_routes, ", 'limits': { 'retry_percent': 100 }");
  auto call = make ("PUT", "/crash", "late");
  call->body = "the same";
  begin (call.get ());
  ASSERT_TRUE (run_until ([&] {
    return (first.received + second.received).find ("the same")
           != std::string::npos;
  }));
  StagedTarget &staged = first.received.empty () ? second : first;
  staged.write ("HTTP/1.1 500 Error\r\nTransfer-Encoding: chunked\r\n\r\n"
                "1\r\nx\r\n");
  /* The host has read the head before it answers later requests. */
  for (int i = 0; i < 3; i++)
    ASSERT_EQ (get ("/.well-known/jaystair/addresses?service=holds")->status,
               200);
  receive (block);
  ASSERT_FALSE (call->done) << call->status << call->answer;
  const size_t size = settings.limits.hold_answer_bytes + 1;
  char length[32];
  snprintf (length, sizeof length, "%zx\r\n", size);
  staged.write (length + std::string (size, 'x') + "\r\n");
  ASSERT_TRUE (run_until ([&] { return call->done; }));
  EXPECT_EQ (call->status, 502) << call->answer;
  EXPECT_EQ (call->field ("jaystair-outcome"), "unknown");
}

/* A block must not persist if the targets were at fault. */
TEST_F (PoisonTest, SuccessfulTrialLiftsBlock)
{
  settings.poison.block_ms = 50;
  start_with (8);
  for (int i = 0; i < 5; i++)
    put ("/crash", "the same");
  ASSERT_EQ (block.strikes, 1u);
  for (target_server *target : targets)
    target_server_faults (target)->crash = 0;
  bool lifted = false;
  for (int i = 0; i < 20000 && !lifted; i++)
    lifted = put ("/crash", "the same")->status == 200;
  EXPECT_TRUE (lifted);
  EXPECT_EQ (put ("/crash", "the same")->status, 200);
  EXPECT_EQ (stored, 2);
}
