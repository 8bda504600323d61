#include <algorithm>

#include <json-c/json.h>

#include "node/caller/tests/caller_fixture.h"

extern "C"
{
#include "base/clock.h"
#include "policy/detection/recorder.h"
}

static bus_host_entry
host (const char *name, const char *address)
{
  bus_host_entry entry = {};
  strcpy (entry.name, name);
  strcpy (entry.dc, "dc-a");
  strcpy (entry.caller_address, address);
  return entry;
}

class CallerTaskTest : public CallerTest
{
protected:
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    settings.limits.keep_answer_ms = 60;
    settings.times.suspect_after_ms = 20;
    target = add_target ("t1");
    start ();
    put_service (usual_routes);
  }

  /* Start the task again, after what was put in force before has arrived. */
  void
  restart_without_services ()
  {
    ev_run (loop, EVRUN_NOWAIT);
    caller_task_destroy (task);
    start ();
  }

  std::unique_ptr<Call>
  get_addresses (const std::string &service = "holds")
  {
    return get ("/.well-known/jaystair/addresses?service=" + service);
  }

  std::vector<std::string>
  strings (const Call &answer, const char *list, const char *member)
  {
    std::vector<std::string> all;
    json_object *body = json_tokener_parse (answer.answer.c_str ());
    json_object *entries = json_object_object_get (body, list);
    for (size_t i = 0;
         entries != nullptr && i < json_object_array_length (entries); i++)
      {
        json_object *entry = json_object_array_get_idx (entries, i);
        if (member != nullptr)
          entry = json_object_object_get (entry, member);
        all.push_back (json_object_get_string (entry));
      }
    json_object_put (body);
    return all;
  }

  std::unique_ptr<Call>
  send_with_ticket (const std::string &ticket, const std::string &id)
  {
    auto call = make ("POST", "/holds", id);
    call->fields.push_back ("Jaystair-Ticket: " + ticket);
    finish (call.get ());
    return call;
  }

  target_server *target = nullptr;
};

/* Guards against a host that has just started and answers "not found" until
   its services are in force: callers take that answer for final. */
TEST_F (CallerTaskTest, RequestWaitsForTheServicesOfAStartingHost)
{
  restart_without_services ();
  auto call = make ("GET", "/calendar", "early");
  begin (call.get ());
  for (int i = 0; i < 20; i++)
    ev_run (loop, EVRUN_NOWAIT);
  put_service (usual_routes);
  ASSERT_TRUE (run_until ([&] { return call->done; }));
  EXPECT_EQ (call->status, 200);
}

/* Without any service in force the answer must not be final either. */
TEST_F (CallerTaskTest, HostWithoutServicesRefusesForNow)
{
  restart_without_services ();
  const auto call = get ("/calendar", "early");
  EXPECT_EQ (call->status, 503);
  EXPECT_NE (call->field ("retry-after"), "");
}

TEST_F (CallerTaskTest, AddressesRotateWithEachAnswer)
{
  put_hosts ({ host ("host-1", caller_task_address (task)),
               host ("host-2", "127.0.0.2:7001"),
               host ("host-3", "127.0.0.3:7001") });
  std::vector<std::string> firsts;
  for (int i = 0; i < 3; i++)
    {
      auto answer = get_addresses ();
      EXPECT_EQ (answer->status, 200);
      const auto addresses = strings (*answer, "addresses", "address");
      ASSERT_EQ (addresses.size (), 3u) << answer->answer;
      firsts.push_back (addresses[0]);
    }
  std::sort (firsts.begin (), firsts.end ());
  EXPECT_EQ (std::unique (firsts.begin (), firsts.end ()), firsts.end ());
}

TEST_F (CallerTaskTest, UnknownServiceGetsErrorWithRemedy)
{
  auto answer = get_addresses ("nobody");
  EXPECT_EQ (answer->status, 404);
  EXPECT_EQ (answer->field ("jaystair-outcome"), "not-run");
  EXPECT_NE (answer->answer.find ("declare the service"), std::string::npos);
  EXPECT_EQ (get ("/.well-known/jaystair/addresses")->status, 400);
}

/* A caller times out and sends an unrepeatable request again.  Without the
   ticket it would run twice. */
TEST_F (CallerTaskTest, TicketRunsOnceHoweverOftenItIsSent)
{
  const auto tickets = strings (*get_addresses (), "tickets", nullptr);
  ASSERT_GE (tickets.size (), 2u);
  EXPECT_EQ (send_with_ticket (tickets[0], "h1")->status, 200);
  auto again = send_with_ticket (tickets[0], "h1");
  EXPECT_EQ (again->status, 409);
  EXPECT_EQ (again->field ("jaystair-outcome"), "unknown");
  EXPECT_EQ (target_server_runs (target, "h1"), 1u);
  EXPECT_EQ (send_with_ticket (tickets[1], "h2")->status, 200);
}

TEST_F (CallerTaskTest, TicketThatDidNotRunCanBeSentAgain)
{
  const auto tickets = strings (*get_addresses (), "tickets", nullptr);
  target_server_faults (target)->shed = 100;
  auto refused = send_with_ticket (tickets[0], "h1");
  EXPECT_EQ (refused->field ("jaystair-outcome"), "not-run");
  target_server_faults (target)->shed = 0;
  EXPECT_EQ (send_with_ticket (tickets[0], "h1")->status, 200);
  EXPECT_EQ (target_server_runs (target, "h1"), 1u);
}

TEST_F (CallerTaskTest, ForgedTicketIsNotRun)
{
  auto tickets = strings (*get_addresses (), "tickets", nullptr);
  std::string forged = tickets[0];
  forged.back () = forged.back () == '0' ? '1' : '0';
  for (const std::string &bad : { forged, std::string ("nonsense") })
    {
      auto answer = send_with_ticket (bad, "h1");
      EXPECT_EQ (answer->status, 400);
      EXPECT_EQ (answer->field ("jaystair-outcome"), "not-run");
    }
  EXPECT_EQ (target_server_runs (target, "h1"), 0u);
}

/* A second send reaches another host, which must not run the request but relay
   it to the host that issued the ticket. */
TEST_F (CallerTaskTest, TicketOfOtherHostRunsOnlyThere)
{
  host_settings other_settings = settings;
  strcpy (other_settings.name, "host-2");
  caller_task_options options = {};
  options.loop = loop;
  options.bus = the_bus;
  options.settings = &other_settings;
  options.counters = the_counters;
  options.seed = 2;
  caller_task *other = caller_task_create (&options);
  ASSERT_NE (other, nullptr);
  put_service (usual_routes);
  put_hosts ({ host ("host-1", caller_task_address (task)),
               host ("host-2", caller_task_address (other)) });
  const auto tickets = strings (*get_addresses (), "tickets", nullptr);
  for (int i = 0; i < 2; i++)
    {
      auto call = make ("POST", "/holds", "h1");
      call->url
          = std::string ("http://") + caller_task_address (other) + "/holds";
      call->fields.push_back ("Jaystair-Ticket: " + tickets[0]);
      finish (call.get ());
      EXPECT_EQ (call->status, i == 0 ? 200 : 409) << call->answer;
      EXPECT_EQ (call->field ("jaystair-outcome"), i == 0 ? "ran" : "unknown");
    }
  EXPECT_EQ (target_server_runs (target, "h1"), 1u);
  /* The issuing host is gone, so the outcome is unknown. */
  put_hosts ({ host ("host-1", "127.0.0.1:1") });
  auto lost = make ("POST", "/holds", "h2");
  lost->url = std::string ("http://") + caller_task_address (other) + "/holds";
  lost->fields.push_back ("Jaystair-Ticket: " + tickets[1]);
  finish (lost.get ());
  EXPECT_EQ (lost->field ("jaystair-outcome"), "unknown");
  EXPECT_EQ (target_server_runs (target, "h2"), 0u);
  caller_task_destroy (other);
}

/* A host is replaced.  Callers that still use its address, and a request that
   takes longer than the addresses are kept, must get their responses. */
TEST_F (CallerTaskTest, LeavingHostServesRequestsInFlight)
{
  put_hosts ({ host ("host-1", caller_task_address (task)),
               host ("host-2", "127.0.0.2:7001") });
  target_server_faults (target)->delay_ms = 300;
  auto slow = make ("GET", "/slow", "slow");
  begin (slow.get ());
  ASSERT_TRUE (
      run_until ([this] { return caller_task_in_flight (task) == 1; }));
  bool done = false;
  caller_task_begin_leaving (
      task, [] (void *owner) { *static_cast<bool *> (owner) = true; }, &done);
  auto addresses = get_addresses ();
  EXPECT_EQ (strings (*addresses, "addresses", "address"),
             std::vector<std::string>{ "127.0.0.2:7001" });
  EXPECT_EQ (addresses->field ("connection"), "close");
  target_server_faults (target)->delay_ms = 0;
  EXPECT_EQ (get ("/late-comer", "late")->status, 200);
  ASSERT_TRUE (run_until ([&slow, &done] { return slow->done || done; }));
  EXPECT_FALSE (done);
  EXPECT_EQ (slow->status, 200);
  EXPECT_EQ (slow->field ("connection"), "close");
  EXPECT_TRUE (run_until ([&done] { return done; }));
}

/* The shutdown time is over and a target still hangs.  Its caller must get a
   response instead of a closed connection.  A 503 would mean that the request
   has not run, and the caller would send it again. */
TEST_F (CallerTaskTest, AbortRespondsToPendingRequests)
{
  target_server_faults (target)->hang = 100;
  auto call = make ("POST", "/holds", "h1");
  begin (call.get ());
  ASSERT_TRUE (
      run_until ([this] { return target_server_runs (target, "h1") == 1; }));
  bool done = false;
  settings.limits.keep_answer_ms = 3600000;
  caller_task_begin_leaving (
      task, [] (void *owner) { *static_cast<bool *> (owner) = true; }, &done);
  caller_task_answer_all_now (task);
  ASSERT_TRUE (run_until ([&done] { return done; }));
  ASSERT_TRUE (run_until ([&call] { return call->done; }));
  EXPECT_EQ (call->status, 502);
  EXPECT_EQ (call->field ("jaystair-outcome"), "unknown");
}

TEST_F (CallerTaskTest, OutcomesReachTheRecorder)
{
  get ("/calendar", "r1");
  detection_recorder *recorder = caller_task_recorder (task, "holds");
  ASSERT_NE (recorder, nullptr);
  detection_report_item items[4];
  ASSERT_EQ (detection_recorder_collect (recorder, items, 4), 1u);
  EXPECT_EQ (items[0].evidence.requests, 1u);
  EXPECT_EQ (caller_task_recorder (task, "nobody"), nullptr);
}

/* A caller uploads for a long time over a slow connection.  The target is not
   at fault and must not be taken for a slow one. */
TEST_F (CallerTaskTest, SlowUploadDoesNotMakeTheTargetLookSlow)
{
  const int64_t start_us = clock_now_us ();
  auto raw = connect_raw ();
  raw->write ("POST /plans HTTP/1.1\r\nHost: a\r\nContent-Length: 8\r\n"
              "Connection: close\r\n\r\nhalf");
  ASSERT_TRUE (run_until (
      [this] { return target_server_counts (target).connections == 1; }));
  const int64_t stall_us = clock_now_us ();
  ASSERT_TRUE (
      run_until ([stall_us] { return clock_now_us () - stall_us > 100000; }));
  const int64_t stalled_us = clock_now_us () - stall_us;
  raw->write ("half");
  ASSERT_TRUE (run_until ([&raw] { return raw->closed; }));
  EXPECT_NE (raw->received.find ("HTTP/1.1 200"), std::string::npos);
  const int64_t all_us = clock_now_us () - start_us;
  detection_report_item items[4];
  detection_recorder *recorder = caller_task_recorder (task, "holds");
  ASSERT_EQ (detection_recorder_collect (recorder, items, 4), 1u);
  uint32_t bucket = 0;
  while (items[0].evidence.latency[bucket] == 0)
    bucket++;
  EXPECT_LE (detection_evidence_bucket_min_us (bucket), all_us - stalled_us);
  raw->hang_up ();
}

TEST_F (CallerTaskTest, RemovedServiceFinishesRequestsInFlight)
{
  target_server_faults (target)->delay_ms = 50;
  auto call = make ("GET", "/slow", "slow");
  begin (call.get ());
  ASSERT_TRUE (
      run_until ([this] { return caller_task_in_flight (task) == 1; }));
  bus_message message = {};
  message.topic = BUS_SERVICE_REMOVED;
  strcpy (message.service_removed.name, "holds");
  message.service_removed.version = version + 1;
  bus_post (the_bus, &message);
  ASSERT_TRUE (run_until ([&call] { return call->done; }));
  EXPECT_EQ (call->status, 200);
  EXPECT_EQ (get ("/calendar")->status, 404);
}

/* A caller that received the host's address earlier sends a request in the
   second half of the host's shutdown time, for example four seconds after the
   host began to leave.  If it were forwarded, the process could exit before
   the target responds, and the caller would get a broken connection. */
TEST_F (CallerTaskTest, LateRequestAtLeavingHostIsRefused)
{
  settings.times.shutdown_ms = 400;
  put_service (usual_routes);
  EXPECT_EQ (get ("/calendar", "before")->status, 200);
  bool has_left = false;
  caller_task_begin_leaving (
      task, [] (void *owner) { *static_cast<bool *> (owner) = true; },
      &has_left);
  EXPECT_EQ (get ("/calendar", "early")->status, 200);
  /* Keeps the host from ending before the second half. */
  target_server_faults (target)->delay_ms = 500;
  auto slow = make ("GET", "/slow", "slow");
  begin (slow.get ());
  const double second_half_s = ev_now (loop) + 0.25;
  ASSERT_TRUE (run_until ([&] { return ev_now (loop) >= second_half_s; }));
  const auto late = get ("/calendar", "late");
  EXPECT_EQ (late->status, 503);
  EXPECT_EQ (late->field ("jaystair-outcome"), "not-run");
  EXPECT_EQ (late->field ("connection"), "close");
  EXPECT_EQ (target_server_runs (target, "late"), 0u);
  EXPECT_FALSE (has_left);
  EXPECT_TRUE (run_until ([&] { return slow->done; }));
  EXPECT_EQ (slow->status, 200);
  EXPECT_TRUE (run_until ([&] { return has_left; }));
}

/* A host is stopped immediately: nothing may be left behind, whatever was in
   flight. */
TEST_F (CallerTaskTest, DestroyedWithWorkInFlight)
{
  target_server_faults (target)->hang = 100;
  auto first = make ("GET", "/a", "a");
  auto second = make ("POST", "/b", "b");
  second->body = std::string (200000, 'x');
  begin (first.get ());
  begin (second.get ());
  ASSERT_TRUE (
      run_until ([this] { return caller_task_in_flight (task) == 2; }));
  caller_task_destroy (task);
  task = nullptr;
  ASSERT_TRUE (run_until ([&] { return first->done && second->done; }));
  EXPECT_EQ (first->status, 0);
  EXPECT_EQ (second->status, 0);
}
