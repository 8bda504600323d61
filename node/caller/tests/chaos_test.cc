/* Many callers against targets with all kinds of faults at once.  What each
   target ran is recorded independently and compared with the outcomes that
   callers got. */
#include <algorithm>
#include <random>

#include <json-c/json.h>

#include "node/caller/tests/caller_fixture.h"

class ChaosTest : public CallerTest
{
protected:
  static constexpr int requests = 600;
  static constexpr int concurrent_calls = 24;

  std::unique_ptr<Call>
  make_random_call (int number)
  {
    const std::string id = "id-" + std::to_string (number);
    const char *const methods[] = { "GET", "POST", "PUT" };
    auto call = make (methods[random () % 3], "/echo", id);
    if (call->method != "GET")
      call->body = id + std::string (random () % 100000, 'b');
    call->chunked = random () % 2 == 0;
    if (random () % 8 == 0)
      call->fields.push_back ("Jaystair-Deadline-Ms: "
                              + std::to_string (random () % 20));
    return call;
  }

  void
  add_faulty_targets ()
  {
    for (const char *name : { "t1", "t2", "t3", "t4" })
      {
        target_faults *faults = target_server_faults (add_target (name));
        faults->fail = 5;
        faults->cut = 5;
        faults->close = 5;
        faults->shed = 10;
        faults->early = 3;
        faults->hang = 2;
        faults->delay_ms = 4;
        faults->jitter = 1;
      }
  }

  std::vector<std::string>
  take_tickets (size_t count)
  {
    std::vector<std::string> tickets;
    while (tickets.size () < count)
      {
        auto answer = get ("/.well-known/jaystair/addresses?service=holds");
        json_object *body = json_tokener_parse (answer->answer.c_str ());
        json_object *list = json_object_object_get (body, "tickets");
        for (size_t i = 0; i < json_object_array_length (list); i++)
          tickets.push_back (
              json_object_get_string (json_object_array_get_idx (list, i)));
        json_object_put (body);
      }
    return tickets;
  }

  uint32_t
  runs (const Call &call) const
  {
    uint32_t total = 0;
    const std::string id = call.fields[0].substr (strlen ("X-Request-Id: "));
    for (const target_server *target : targets)
      total += target_server_runs (target, id.c_str ());
    return total;
  }

  void
  check (const Call &call)
  {
    const std::string outcome = call.field ("jaystair-outcome");
    const uint32_t ran = runs (call);
    EXPECT_TRUE (call.method != "POST" || ran <= 1) << call.fields[0];
    if (call.code != CURLE_OK)
      return;
    outcome_counts[outcome]++;
    EXPECT_TRUE (outcome == "ran" || outcome == "not-run"
                 || outcome == "unknown")
        << call.status;
    EXPECT_TRUE (outcome != "not-run" || ran == 0) << call.fields[0];
    EXPECT_TRUE (outcome != "ran" || ran >= 1) << call.fields[0];
    EXPECT_TRUE (call.status != 200 || call.answer == call.body)
        << call.method << " " << call.fields[0] << ": " << call.answer.size ()
        << " of " << call.body.size () << " bytes, outcome " << outcome
        << ", ran " << ran << ", " << call.answer.substr (0, 200);
  }

  std::mt19937 random{ 3 };
  std::map<std::string, int> outcome_counts;
};

TEST_F (ChaosTest, ReportedOutcomesAreCorrect)
{
  add_faulty_targets ();
  target_options = ", 'slots': 4";
  start ();
  put_service (usual_routes, ", 'limits': { 'timeout_ms': 200,"
                             " 'queue_requests': 12 }");
  std::vector<std::unique_ptr<Call>> calls;
  std::vector<std::unique_ptr<RawCaller>> aborted_callers;
  size_t open = 0;
  while (calls.size () < requests || open > 0)
    {
      while (calls.size () < requests && open < concurrent_calls)
        {
          calls.push_back (make_random_call ((int)calls.size ()));
          begin (calls.back ().get ());
          open++;
          if (random () % 10 != 0)
            continue;
          aborted_callers.push_back (connect_raw ());
          aborted_callers.back ()->write ("PUT /quit HTTP/1.1\r\nHost: a\r\n"
                                          "Content-Length: 6\r\n\r\nhalf");
        }
      ASSERT_TRUE (run_until ([&] {
        size_t still_open = 0;
        for (const auto &call : calls)
          still_open += !call->done;
        const bool changed = still_open < open;
        open = still_open;
        return changed;
      }));
      if (!aborted_callers.empty () && random () % 4 == 0)
        {
          aborted_callers.back ()->hang_up ();
          aborted_callers.pop_back ();
        }
    }
  for (auto &caller : aborted_callers)
    caller->hang_up ();
  for (const auto &call : calls)
    check (*call);
  ASSERT_TRUE (
      run_until ([this] { return caller_task_in_flight (task) == 0; }));
  for (const char *outcome : { "ran", "not-run", "unknown" })
    EXPECT_GT (outcome_counts[outcome], 0) << outcome;
}

/* Callers without a response send an unrepeatable request several times, also
   some time later.  At most one send may run, and at most one may get the
   outcome "ran". */
TEST_F (ChaosTest, RepeatedTicketRunsOnce)
{
  add_faulty_targets ();
  target_options = ", 'slots': 4";
  start ();
  put_service (usual_routes, ", 'limits': { 'timeout_ms': 200 }");
  const std::vector<std::string> tickets = take_tickets (96);
  std::map<std::string, int> ran_counts;
  for (size_t first = 0; first + 8 <= tickets.size (); first += 8)
    for (const size_t tries : { 24, 8 })
      {
        std::vector<std::unique_ptr<Call>> calls;
        for (size_t i = 0; i < tries; i++)
          {
            const size_t number = first + i % 8;
            calls.push_back (
                make ("POST", "/holds", "hold-" + std::to_string (number)));
            calls.back ()->fields.push_back ("Jaystair-Ticket: "
                                             + tickets[number]);
          }
        std::shuffle (calls.begin (), calls.end (), random);
        for (auto &call : calls)
          begin (call.get ());
        ASSERT_TRUE (run_until ([&calls] {
          return std::all_of (calls.begin (), calls.end (),
                              [] (const auto &call) { return call->done; });
        }));
        for (const auto &call : calls)
          {
            EXPECT_LE (runs (*call), 1u) << call->fields[0];
            if (call->field ("jaystair-outcome") == "ran")
              ran_counts[call->fields[0]]++;
          }
      }
  for (const auto &entry : ran_counts)
    EXPECT_EQ (entry.second, 1) << entry.first;
  EXPECT_GT (ran_counts.size (), tickets.size () / 2);
}
