/* Answers to other requests, where the answer to a request is due.  Nothing
   that they say holds for the request or its target. */
#include "node/caller/tests/identifying_interface.h"
#include "node/caller/tests/scripted_target.h"
#include "node/caller/tests/two_hosts_fixture.h"

namespace
{

/* ID "": the response has none. */
std::string
response (const std::string &status, const std::string &id,
          const std::string &fields = "", const std::string &body = "ok")
{
  return "HTTP/1.1 " + status + "\r\n"
         + (id.empty () ? "" : "X-Request-Id: " + id + "\r\n") + fields
         + "Content-Length: " + std::to_string (body.size ()) + "\r\n\r\n"
         + body;
}

std::string
success (const std::string &id)
{
  return response ("200 OK", id, "X-Signature: s\r\n", "for " + id);
}

std::string
rejection (const std::string &id, const std::string &fields = "")
{
  return response ("503 Service Unavailable", id, "X-Not-Run: 1\r\n" + fields);
}

class ForeignAnswer : public TwoHostsTest
{
protected:
  void
  SetUp () override
  {
    interface = &identifying;
    TwoHostsTest::SetUp ();
    settings.limits.reuse_idle_once_ms = 30000;
    first = std::make_unique<ScriptedTarget> (loop);
    second = std::make_unique<ScriptedTarget> (loop);
    answer_all ();
  }

  void
  TearDown () override
  {
    curl_loop_destroy (client);
    client = nullptr;
    caller_task_destroy (task);
    task = nullptr;
    first.reset ();
    second.reset ();
    TwoHostsTest::TearDown ();
  }

  void
  use_one_target ()
  {
    put_targets (the_bus, { { "t1", first->address () } });
  }

  void
  use_two_targets ()
  {
    put_targets (the_bus, { { "t1", first->address () },
                            { "t2", second->address () } });
  }

  void
  answer_all ()
  {
    for (auto *scripted : { first.get (), second.get () })
      scripted->script = [] (const ScriptedRequest &request) {
        return success (request.id);
      };
  }

  /* New connections answer as they should. */
  void
  answer_on_kept_connections (const std::string &bytes)
  {
    for (auto *scripted : { first.get (), second.get () })
      scripted->script = [bytes] (const ScriptedRequest &request) {
        return request.number == 1 ? success (request.id) : bytes;
      };
  }

  /* Lets the host keep a connection to each target that is in use. */
  void
  open_connections ()
  {
    for (int i = 0; i < 20; i++)
      ASSERT_EQ (get ("/calendar", "open-" + std::to_string (i))->status, 200);
  }

  std::unique_ptr<Call>
  post (const std::string &id)
  {
    auto call = make ("POST", "/holds", id);
    call->body = "date";
    finish (call.get ());
    return call;
  }

  int
  received (const std::string &id) const
  {
    return first->received (id) + second->received (id);
  }

  std::unique_ptr<ScriptedTarget> first;
  std::unique_ptr<ScriptedTarget> second;
};

/* Guards against an unrepeatable request that runs twice, or is reported as
   not run, since a late rejection of another request is taken for its own. */
TEST_F (ForeignAnswer, LateRejectionIsNotThatOfAnUnrepeatableRequest)
{
  const std::string another = "another";
  const std::string large (20000, 'x');
  int number = 0;
  use_two_targets ();
  for (const std::string &late :
       { rejection (another), rejection (""),
         response ("429 Too Many Requests", another, "X-Not-Run: 1\r\n"),
         response ("421 Misdirected Request", another),
         response ("421 Misdirected Request", ""),
         response ("400 Bad Request", another, "X-Not-Run: 1\r\n"),
         response ("400 Bad Request", "", "X-Not-Run: 1\r\n"),
         response ("503 Service Unavailable", another, "X-Not-Run: 1\r\n",
                   large),
         response ("408 Request Timeout", another),
         response ("500 Internal Server Error", another),
         response ("500 Internal Server Error", ""), success (another),
         response ("200 OK", "", "X-Signature: s\r\n"),
         "HTTP/1.1 102 Processing\r\nX-Request-Id: hold-13\r\n\r\n"
             + rejection (another) })
    {
      answer_all ();
      open_connections ();
      answer_on_kept_connections (late);
      const std::string id = "hold-" + std::to_string (number++);
      const auto call = post (id);
      EXPECT_EQ (call->status, 502) << late;
      EXPECT_EQ (call->field ("jaystair-outcome"), "unknown") << late;
      EXPECT_EQ (received (id), 1) << late;
    }
}

/* Guards against a repeatable request that gets the answer of another one. */
TEST_F (ForeignAnswer, RepeatableRequestIsTriedAgain)
{
  int number = 0;
  use_two_targets ();
  for (const std::string &late : { rejection ("another"), success ("another"),
                                   response ("500 Error", "another") })
    {
      answer_all ();
      open_connections ();
      const std::string id = "read-" + std::to_string (number++);
      for (auto *scripted : { first.get (), second.get () })
        scripted->script = [&, late] (const ScriptedRequest &request) {
          return received (id) == 1 ? late : success (request.id);
        };
      const auto call = get ("/calendar", id);
      EXPECT_EQ (call->status, 200) << late;
      EXPECT_EQ (call->answer, "for " + id) << late;
    }
}

/* Guards against a target that counts as leaving, resting or limited by an
   answer which isn't one to the request. */
TEST_F (ForeignAnswer, SaysNothingAboutTheTarget)
{
  use_one_target ();
  open_connections ();
  answer_on_kept_connections (rejection (
      "another", "Jaystair-Leaving: 1\r\nRetry-After: 60\r\n"
                 "Jaystair-Limit: 0.001\r\nKeep-Alive: timeout=1\r\n"));
  EXPECT_EQ (post ("hold")->status, 502);
  answer_all ();
  for (int i = 0; i < 5; i++)
    EXPECT_EQ (get ("/calendar", "read-" + std::to_string (i))->status, 200);
}

/* Guards against a connection that is used again after a foreign answer, so
   that each further request on it gets the answer before its own. */
TEST_F (ForeignAnswer, ConnectionIsNotUsedAgain)
{
  int last = 0;
  use_one_target ();
  get ("/calendar", "open");
  first->script = [&] (const ScriptedRequest &request) {
    last = request.number;
    const bool is_behind = request.number > 1;
    return success (is_behind ? "the one before" : request.id);
  };
  EXPECT_EQ (post ("hold")->status, 502);
  EXPECT_EQ (last, 2);
  EXPECT_EQ (get ("/calendar", "next")->answer, "for next");
  EXPECT_EQ (last, 1);
}

/* Guards against rejections without an id that aren't believed on a new
   connection, where no other request can be meant. */
TEST_F (ForeignAnswer, RejectionWithoutIdCountsOnANewConnection)
{
  use_two_targets ();
  for (auto *scripted : { first.get (), second.get () })
    scripted->script = [this] (const ScriptedRequest &request) {
      return received (request.id) == 1 ? rejection ("")
                                        : success (request.id);
    };
  const auto call = post ("hold");
  EXPECT_EQ (call->status, 200) << call->answer;
  EXPECT_EQ (received ("hold"), 2);
}

/* Guards against a copy of a target's rejection that is taken for the answer
   to the next attempt of the same request, which has the same id. */
TEST_F (ForeignAnswer, SecondAttemptAtATargetHasANewConnection)
{
  std::vector<int> numbers;
  use_one_target ();
  get ("/calendar", "open");
  first->script = [&] (const ScriptedRequest &request) {
    numbers.push_back (request.number);
    return numbers.size () == 1 ? rejection (request.id)
                                : success (request.id);
  };
  const auto call = post ("hold");
  EXPECT_EQ (call->status, 200) << call->answer;
  ASSERT_EQ (numbers.size (), 2u);
  EXPECT_EQ (numbers[1], 1);
}

/* Guards against rejections of which operators can't see whether they came on
   a connection that has carried other requests. */
TEST_F (ForeignAnswer, RejectionsAreCountedByConnection)
{
  const std::string name = "jaystair_target_rejections_total";
  use_one_target ();
  get ("/calendar", "open");
  answer_on_kept_connections (rejection ("hold"));
  EXPECT_EQ (post ("hold")->status, 200);
  EXPECT_NE (
      exposed ().find (name + "{service=\"holds\",connection=\"kept\"} 1"),
      std::string::npos);
  first->script
      = [] (const ScriptedRequest &request) { return rejection (request.id); };
  EXPECT_EQ (post ("later")->status, 503);
  EXPECT_NE (exposed ().find (name + "{service=\"holds\",connection=\"new\"}"),
             std::string::npos);
}

/* Guards against a refusal or a success whose head is a part of a late answer
   to another request and, behind it, the head of the own one: its status is of
   the first, its id of the second. */
TEST_F (ForeignAnswer, HeadOfTwoAnswersIsNotTheOwnOne)
{
  int number = 0;
  use_one_target ();
  const std::string no_id = "X-Not-Run: 1\r\nA: b\r\n";
  for (const std::string &late :
       { "HTTP/1.1 503 Service Unavailable\r\n" + no_id,
         "HTTP/1.1 429 Too Many Requests\r\n" + no_id,
         std::string ("HTTP/1.1 421 Misdirected Request\r\nA: b\r\n"),
         "HTTP/1.1 503 Unavailable\r\nX-Request-Id: another\r\n" + no_id })
    for (size_t size = 1; size <= late.size (); size++)
      {
        const std::string id = "hold-" + std::to_string (number++);
        const std::string part = late.substr (0, size);
        answer_all ();
        ASSERT_EQ (get ("/calendar", "open-" + id)->status, 200);
        first->script = [&] (const ScriptedRequest &request) {
          return request.number == 1 ? success (request.id)
                                     : part + success (request.id);
        };
        const auto call = post (id);
        EXPECT_NE (call->field ("jaystair-outcome"), "not-run") << part;
        EXPECT_TRUE (call->status == 200 || call->status == 502)
            << call->status << " " << part;
        EXPECT_EQ (received (id), 1) << part;
      }
}

/* Guards against the same for a success that the target has refused. */
TEST_F (ForeignAnswer, HeadOfASuccessAndARefusalIsNoSuccess)
{
  int number = 0;
  use_one_target ();
  const std::string late = "HTTP/1.1 200 OK\r\nX-Signature: s\r\nA: b\r\n";
  for (size_t size = 1; size <= late.size (); size++)
    {
      const std::string id = "hold-" + std::to_string (number++);
      const std::string part = late.substr (0, size);
      answer_all ();
      ASSERT_EQ (get ("/calendar", "open-" + id)->status, 200);
      first->script = [&] (const ScriptedRequest &request) {
        return request.number == 1 ? rejection (request.id)
                                   : part + rejection (request.id);
      };
      EXPECT_NE (post (id)->status, 200) << part;
    }
}

/* Guards against requests without an id whose answers can't be told from late
   ones on a kept connection. */
TEST_F (ForeignAnswer, RequestWithoutIdHasANewConnection)
{
  std::vector<int> numbers;
  use_one_target ();
  get ("/calendar", "open");
  first->script = [&] (const ScriptedRequest &request) {
    numbers.push_back (request.number);
    return response ("400 Bad Request", "", "", "no id");
  };
  const auto call = post ("");
  EXPECT_EQ (call->status, 400) << call->answer;
  EXPECT_EQ (numbers, std::vector<int>{ 1 });
}

/* Guards against long ids that never match, since a host keeps only the
   beginning of an id. */
TEST_F (ForeignAnswer, LongIdsAreComparedWhole)
{
  const std::string id (100, 'i');
  use_one_target ();
  EXPECT_EQ (get ("/calendar", id)->status, 200);
  first->script = [&] (const ScriptedRequest &) { return success (id + "j"); };
  EXPECT_EQ (post (id)->status, 502);
}

/* Guards against a request that is passed on to a second host, or reported as
   not run, since the first host's answer to another request says that its
   targets are out of reach. */
TEST_F (ForeignAnswer, RefusalOfAForwardedRequestIsItsOwn)
{
  ScriptedTarget other_host (loop);
  other_host.script = [] (const ScriptedRequest &) {
    return response ("503 Service Unavailable", "another",
                     "Jaystair-Targets-Unreached: 1\r\n");
  };
  put_hosts ({ host ("host-1", caller_task_address (task)),
               host ("host-2", other_host.address ()) });
  put_targets (the_bus, { { "t1", nowhere } });
  ASSERT_TRUE (run_until ([&] {
    get ("/calendar", "read");
    return other_host.received ("read") > 0;
  }));
  const auto call = post ("hold");
  EXPECT_EQ (call->status, 502) << call->answer;
  EXPECT_EQ (other_host.received ("hold"), 1);
}

/* Guards against the same where another host makes one attempt. */
TEST_F (ForeignAnswer, RefusalOfAnIndirectAttemptIsItsOwn)
{
  ScriptedTarget other_host (loop);
  other_host.script = [] (const ScriptedRequest &request) {
    const bool is_lost = request.path == "/holds";
    return response ("503 Service Unavailable",
                     is_lost ? "another" : request.id,
                     "Jaystair-Unreached: 1\r\n");
  };
  second->script
      = [] (const ScriptedRequest &request) { return rejection (request.id); };
  bus_message message = {};
  message.topic = BUS_HOST_SAMPLE;
  strcpy (message.host_set.service, "other");
  message.host_set.count = 1;
  message.host_set.hosts
      = static_cast<bus_host_entry *> (calloc (1, sizeof (bus_host_entry)));
  message.host_set.hosts[0] = host ("host-2", other_host.address ());
  bus_post (the_bus, &message);
  put_hosts ({ host ("host-1", caller_task_address (task)) });
  put_targets (the_bus, { { "t1", nowhere }, { "t2", second->address () } });
  int number = 0;
  std::string id;
  std::unique_ptr<Call> call;
  ASSERT_TRUE (run_until ([&] {
    id = "hold-" + std::to_string (number++);
    call = post (id);
    return other_host.received (id) > 0;
  }));
  EXPECT_EQ (call->status, 502) << call->answer;
  EXPECT_EQ (other_host.received (id), 1);
}

} // namespace
