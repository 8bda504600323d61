/** @file
 * Requests that a host reads whole, each of which has to end with an answer.
 */
#ifndef NODE_CALLER_TESTS_LOST_REQUEST_FIXTURE_H
#define NODE_CALLER_TESTS_LOST_REQUEST_FIXTURE_H

#include "node/caller/tests/answer_parser.h"
#include "node/caller/tests/caller_fixture.h"

/* How a request comes: on a new connection, behind an answered one, or
   directly behind another one. */
enum class Arrival
{
  first,
  kept,
  pipelined
};

constexpr Arrival arrivals[]
    = { Arrival::first, Arrival::kept, Arrival::pipelined };

constexpr char post_body[] = "date";

inline std::string
request_of (const std::string &method, const std::string &id,
            const std::string &fields = "")
{
  const std::string head = method + " /calendar HTTP/1.1\r\nHost: a\r\n"
                           + "X-Request-Id: " + id + "\r\n" + fields;
  return method == "POST" ? head + "Content-Length: 4\r\n\r\n" + post_body
                          : head + "\r\n";
}

class LostRequest : public CallerTest
{
protected:
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    target = add_target ("t1");
    target_options = ", 'slots': 1";
    start ();
    put_service (usual_routes);
    ev_run (loop, EVRUN_NOWAIT);
  }

  /* The requests of ARRIVAL with METHOD; the last one is "last". */
  std::unique_ptr<RawCaller>
  send (Arrival arrival, const std::string &method,
        const std::string &fields = "")
  {
    auto raw = connect_raw ();
    raw->write (
        arrival == Arrival::first ? "" : request_of ("GET", "before", fields));
    if (arrival == Arrival::kept)
      wait_for_answers (*raw, 1);
    raw->write (request_of (method, "last", fields));
    return raw;
  }

  static size_t
  answer_count (const RawCaller &raw)
  {
    const auto answers = parse_answers (raw.received);
    return answers.empty () || answers.back ().is_whole ? answers.size ()
                                                        : answers.size () - 1;
  }

  void
  wait_for_answers (const RawCaller &raw, size_t count)
  {
    ASSERT_TRUE (run_until ([&] { return answer_count (raw) >= count; }));
  }

  static size_t
  expected_count (Arrival arrival)
  {
    return arrival == Arrival::first ? 1 : 2;
  }

  /* Wait for the answer to "last", and return it. */
  ParsedAnswer
  last_answer (RawCaller *raw, Arrival arrival)
  {
    const size_t count = expected_count (arrival);
    EXPECT_TRUE (run_until (
        [&] { return raw->closed || answer_count (*raw) >= count; }));
    EXPECT_EQ (answer_count (*raw), count) << raw->received;
    const auto answers = parse_answers (raw->received);
    return answers.empty () ? ParsedAnswer{} : answers.back ();
  }

  static bool
  has_retry_time (const ParsedAnswer &answer)
  {
    return answer.head.find ("\r\nRetry-After: ") != std::string::npos;
  }

  /* An answer of the target, or a refusal that promises that it hasn't run. */
  void
  expect_answer_or_promise (const ParsedAnswer &answer, const char *what)
  {
    const bool has_run = target_server_runs (target, "last") > 0;
    EXPECT_TRUE (answer.status == 200 || answer.status == 503
                 || answer.status == 404 || answer.status == 413
                 || answer.status == 431)
        << what << answer.head;
    EXPECT_EQ (answer.status == 200, has_run) << what << answer.head;
    EXPECT_TRUE (answer.status != 503 || has_retry_time (answer))
        << what << answer.head;
  }

  /* Hold the only slot of the target until release(). */
  void
  occupy ()
  {
    target_server_faults (target)->hang = 100;
    busy = connect_raw ();
    busy->write (request_of ("GET", "busy"));
    ASSERT_TRUE (run_until (
        [this] { return target_server_runs (target, "busy") == 1; }));
    target_server_faults (target)->hang = 0;
  }

  void
  release ()
  {
    busy->hang_up ();
  }

  void
  wait_in_flight (uint32_t count)
  {
    ASSERT_TRUE (
        run_until ([&] { return caller_task_in_flight (task) == count; }));
  }

  void
  remove_service ()
  {
    bus_message message = {};
    message.topic = BUS_SERVICE_REMOVED;
    strcpy (message.service_removed.name, "holds");
    message.service_removed.version = ++version;
    bus_post (the_bus, &message);
    ev_run (loop, EVRUN_NOWAIT);
  }

  void
  begin_leaving ()
  {
    caller_task_begin_leaving (
        task, [] (void *owner) { *static_cast<bool *> (owner) = true; },
        &has_left);
  }

  target_server *target = nullptr;
  std::unique_ptr<RawCaller> busy;
  bool has_left = false;
};

#endif
