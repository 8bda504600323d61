/* Requests that were passed on to another host of which either ends or
 * changes. */
#include "node/caller/tests/answer_parser.h"
#include "node/caller/tests/two_hosts_fixture.h"

namespace
{

/* The host of the fixture passes requests on whole to another one. */
class LostForward : public TwoHostsTest
{
protected:
  void
  SetUp () override
  {
    TwoHostsTest::SetUp ();
    put_both ();
    get ("/calendar", "first");
    ASSERT_TRUE (run_until ([this] {
      return exposed ().find ("\njaystair_cut_from_targets 1")
             != std::string::npos;
    }));
    ASSERT_EQ (get ("/calendar", "relayed")->status, 200);
  }

  std::unique_ptr<Call>
  begin_running (const std::string &method)
  {
    const std::string id = "running-" + std::to_string (++running_count);
    auto call = make (method, "/calendar", id);
    begin (call.get ());
    EXPECT_TRUE (run_until (
        [&] { return target_server_runs (target, id.c_str ()) > 0; }));
    return call;
  }

  void
  put_both ()
  {
    put_hosts ({ host ("host-1", caller_task_address (task)),
                 host ("host-2", caller_task_address (other)) });
    put_targets (the_bus, { { "t1", "127.0.0.1:1" } });
    put_targets (other_bus, { { "t1", target_server_address (target) } });
    ev_run (loop, EVRUN_NOWAIT);
  }

  /* Requests are passed on. */
  bool
  is_served ()
  {
    return get ("/calendar", "next")->status == 200;
  }

  int running_count = 0;
  bool has_left = false;
};

/* Guards against a request that ends without an answer because the host that
   it was passed on to ends. */
TEST_F (LostForward, EndOfTheOtherHostIsAnswered)
{
  target_server_faults (target)->hang = 100;
  auto read = begin_running ("GET");
  auto write = begin_running ("POST");
  caller_task_destroy (other);
  other = nullptr;
  ASSERT_TRUE (run_until ([&] { return read->done && write->done; }));
  EXPECT_EQ (read->status, 502) << read->answer;
  EXPECT_EQ (write->status, 502) << write->answer;
  EXPECT_EQ (read->code, CURLE_OK);
  EXPECT_EQ (write->code, CURLE_OK);
}

/* Guards against an answer that is lost while either host leaves. */
TEST_F (LostForward, AnswerArrivesWhileEitherHostLeaves)
{
  target_server_faults (target)->delay_ms = 60;
  for (caller_task *leaving : { other, task })
    {
      auto call = begin_running ("POST");
      caller_task_begin_leaving (
          leaving, [] (void *owner) { *static_cast<bool *> (owner) = true; },
          &has_left);
      ASSERT_TRUE (run_until ([&] { return call->done; }));
      EXPECT_EQ (call->code, CURLE_OK);
      EXPECT_EQ (call->status, 200) << call->answer;
      /* Over the connections that the hosts have kept. */
      for (int i = 0; i < 3; i++)
        EXPECT_EQ (get ("/calendar", "kept")->status, 200);
    }
}

/* Guards against a request that was passed on and whose service or target is
   removed at either host. */
TEST_F (LostForward, RemovalAtEitherHostLeavesTheAnswer)
{
  target_server_faults (target)->delay_ms = 60;
  for (struct bus *bus : { the_bus, other_bus })
    for (const bool is_service : { false, true })
      {
        auto call = begin_running ("POST");
        if (is_service)
          {
            bus_message message = {};
            message.topic = BUS_SERVICE_REMOVED;
            strcpy (message.service_removed.name, "holds");
            message.service_removed.version = ++version;
            bus_post (bus, &message);
          }
        else
          put_targets (bus, {});
        ev_run (loop, EVRUN_NOWAIT);
        ASSERT_TRUE (run_until ([&] { return call->done; }));
        EXPECT_EQ (call->code, CURLE_OK);
        EXPECT_EQ (call->status, 200) << call->answer;
        put_both ();
        ASSERT_TRUE (run_until ([this] { return is_served (); }));
      }
}

/* Guards against an answer through another host that ends early and looks
   whole. */
TEST_F (LostForward, AnswerThatEndsEarlyIsVisiblyCut)
{
  auto raw = connect_raw ();
  raw->write ("GET /bytes/5000000 HTTP/1.1\r\nHost: a\r\n\r\n");
  ASSERT_TRUE (run_until ([&] { return raw->received.size () > 60000; }));
  caller_task_destroy (other);
  other = nullptr;
  ASSERT_TRUE (run_until ([&] { return raw->closed; }));
  const auto answers = parse_answers (raw->received);
  ASSERT_EQ (answers.size (), 1U);
  EXPECT_FALSE (answers[0].is_whole);
  raw->hang_up ();
}

} // namespace
