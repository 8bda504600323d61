/* Attempts at targets that only other hosts can reach. */
#include "node/caller/tests/two_hosts_fixture.h"

namespace
{

/* The second host is outside the set. */
class IndirectAttempt : public TwoHostsTest
{
protected:
  void
  SetUp () override
  {
    TwoHostsTest::SetUp ();
    put_hosts ({ host ("host-1", caller_task_address (task)) });
    put_other_hosts (the_bus, BUS_HOST_SAMPLE,
                     { host ("host-2", caller_task_address (other)) });
    put_other_hosts (other_bus, BUS_HOST_SET,
                     { host ("host-1", caller_task_address (task)) });
    /* Nothing listens on port 1. */
    put_targets (the_bus, { { "t1", "127.0.0.1:1" } });
    put_targets (other_bus, { { "t1", target_server_address (target) } });
  }

  /* A sample of hosts, or the set of another service. */
  static void
  put_other_hosts (struct bus *bus, bus_topic topic,
                   const std::vector<bus_host_entry> &hosts)
  {
    bus_message message = {};
    message.topic = topic;
    strcpy (message.host_set.service, "other");
    message.host_set.count = hosts.size ();
    message.host_set.hosts = static_cast<bus_host_entry *> (
        calloc (hosts.size () + 1, sizeof (bus_host_entry)));
    for (size_t i = 0; i < hosts.size (); i++)
      message.host_set.hosts[i] = hosts[i];
    bus_post (bus, &message);
  }

  /* The host has learned that it can't connect to t1. */
  void
  learn_that_t1_is_unreachable ()
  {
    for (int i = 0; i < 3; i++)
      get ("/calendar", "first-" + std::to_string (i));
  }

  /* An attempt at t1 as another host requests it from host-2. */
  std::unique_ptr<Call>
  request_attempt (const std::string &method, const std::string &id,
                   const std::string &name = "t1")
  {
    auto call = make (method, "/calendar", id);
    call->url
        = std::string ("http://") + caller_task_address (other) + "/calendar";
    call->fields.push_back ("Jaystair-Relayed: 1");
    call->fields.push_back ("Jaystair-Service: holds");
    call->fields.push_back ("Jaystair-Target: " + name);
    finish (call.get ());
    return call;
  }
};

/* The path from every host of the set to a target is cut: the target would
   stay idle, and its requests fail, though other hosts reach it. */
TEST_F (IndirectAttempt, TargetIsReachedThroughAnotherHost)
{
  learn_that_t1_is_unreachable ();
  for (int i = 0; i < 5; i++)
    {
      const std::string id = "read-" + std::to_string (i);
      const auto call = get ("/calendar", id);
      EXPECT_EQ (call->status, 200) << call->answer;
      EXPECT_EQ (call->answer.rfind ("t1 " + id, 0), 0u) << call->answer;
      EXPECT_EQ (call->field ("jaystair-outcome"), "ran");
      EXPECT_EQ (target_server_runs (target, id.c_str ()), 1u);
    }
}

/* Guards against a target whose connections aren't kept, because the answer of
   another host named that host's own idle timeout. */
TEST_F (IndirectAttempt, IdleTimeoutOfTheOtherHostIsNotTheTargets)
{
  other_settings.times.shutdown_ms = 3000; /* a second */
  target_server *direct = target_server_create (loop, "127.0.0.1:0", "t1");
  const std::string address = target_server_address (direct);
  target_server_destroy (direct);
  put_targets (the_bus, { { "t1", address } });
  learn_that_t1_is_unreachable ();
  ASSERT_EQ (get ("/calendar", "indirect")->status, 200);
  ASSERT_EQ (target_server_runs (target, "indirect"), 1U);
  direct = target_server_create (loop, address.c_str (), "t1");
  ASSERT_NE (direct, nullptr);
  const auto run_directly = [&] (uint64_t runs) {
    EXPECT_TRUE (run_until ([&] {
      get ("/calendar", "direct");
      return target_server_counts (direct).runs >= runs;
    }));
  };
  run_directly (1);
  const uint64_t before = target_server_counts (direct).connections;
  run_directly (6);
  EXPECT_EQ (target_server_counts (direct).connections, before);
  target_server_destroy (direct);
}

/* An unrepeatable request must not run twice, nor may its caller be told that
   it didn't run, when the other host doesn't know. */
TEST_F (IndirectAttempt, UnrepeatableRequestRunsOnce)
{
  learn_that_t1_is_unreachable ();
  auto call = make ("POST", "/holds", "hold");
  finish (call.get ());
  EXPECT_EQ (call->status, 200) << call->answer;
  EXPECT_EQ (target_server_runs (target, "hold"), 1u);
  target_server_faults (target)->cut = 100;
  auto lost = make ("POST", "/holds", "lost");
  finish (lost.get ());
  EXPECT_EQ (lost->status, 502) << lost->answer;
  EXPECT_EQ (lost->field ("jaystair-outcome"), "unknown");
  EXPECT_EQ (target_server_runs (target, "lost"), 1u);
}

/* The other host can't reach the target either.  Its response must not pass
   for the target's, and another target serves the request. */
TEST_F (IndirectAttempt, UnreachedTargetIsReplacedByAnother)
{
  put_targets (other_bus, { { "t1", "127.0.0.1:1" } });
  learn_that_t1_is_unreachable ();
  put_targets (the_bus, { { "t1", "127.0.0.1:1" },
                          { "t2", target_server_address (target) } });
  for (int i = 0; i < 20; i++)
    {
      const auto call = get ("/calendar", "read-" + std::to_string (i));
      EXPECT_EQ (call->status, 200) << call->answer;
      EXPECT_EQ (call->field ("jaystair-unreached"), "");
    }
}

/* A host that makes an attempt for another one must not retry: the other one
   does, and the service would get the retries of both. */
TEST_F (IndirectAttempt, HostMakesOneAttemptForAnother)
{
  target_server *second = add_target ("t2");
  put_targets (other_bus, { { "t1", target_server_address (target) },
                            { "t2", target_server_address (second) } });
  target_server_faults (target)->fail = 100;
  const auto failed = request_attempt ("GET", "once");
  EXPECT_EQ (failed->status, 500);
  EXPECT_EQ (failed->field ("jaystair-unreached"), "") << "it is the target's";
  EXPECT_EQ (target_server_runs (target, "once"), 1u);
  EXPECT_EQ (target_server_runs (second, "once"), 0u);
}

/* A target that was removed, or that the other host doesn't know yet. */
TEST_F (IndirectAttempt, UnknownTargetIsRefused)
{
  const auto call = request_attempt ("POST", "unknown", "t9");
  EXPECT_EQ (call->status, 503);
  EXPECT_EQ (call->field ("jaystair-unreached"), "1");
  EXPECT_EQ (call->field ("jaystair-outcome"), "not-run");
  EXPECT_EQ (target_server_runs (target, "unknown"), 0u);
}

/* A caller that names a target would get round the choice among them. */
TEST_F (IndirectAttempt, OnlyHostsNameATarget)
{
  target_server *second = add_target ("t2");
  put_other_hosts (other_bus, BUS_HOST_SET,
                   { host ("host-1", "127.0.0.9:1") });
  put_targets (other_bus, { { "t1", target_server_address (target) },
                            { "t2", target_server_address (second) } });
  const auto call = request_attempt ("GET", "forged");
  EXPECT_EQ (call->status, 503);
  EXPECT_EQ (target_server_runs (target, "forged"), 0u);
  EXPECT_EQ (target_server_runs (second, "forged"), 0u);
}

} // namespace
