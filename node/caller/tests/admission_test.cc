/* Precedence of requests from the priorities of routes and workspaces, over
   real sockets. */
#include "node/caller/tests/caller_fixture.h"

namespace
{

std::string
workspace (const std::string &name, const std::string &members)
{
  const std::string key = "key-" + name;
  const digest made = digest_of (key.data (), key.size ());
  char text[DIGEST_TEXT_SIZE];
  digest_format (&made, text);
  return "{ 'name': '" + name + "', 'keys': [ '" + text + "' ]" + members
         + " }";
}

class AdmissionTest : public CallerTest
{
protected:
  void
  SetUp () override
  {
    CallerTest::SetUp ();
    write_log_to (fileno (log));
    target = add_target ("t1");
    target_options = ", 'slots': 1";
  }
  void
  TearDown () override
  {
    CallerTest::TearDown ();
    fclose (log);
  }

  /* One slot, a queue of one, routes of priority 0, 1 and 2, of which only the
     last needs a key. */
  void
  start_with (bool by_route, bool by_workspace)
  {
    settings.admission.by_route_priority = by_route;
    settings.admission.by_workspace = by_workspace;
    start ();
    put_service (usual_routes, ", 'limits': { 'queue_requests': 1 }");
    std::string text = "{ 'version': 1, 'routes': [";
    for (const char *path : { "/zero/", "/one/" })
      text += std::string ("{ 'name': '") + path[1] + "', 'path_prefix': '"
              + path
              + "', 'open': true, 'priority': " + (path[1] == 'z' ? "0" : "1")
              + ", 'parts': [ { 'service': 'holds' } ] },";
    text += "{ 'name': 'keyed', 'path_prefix': '/two/', 'priority': 2,"
            "  'parts': [ { 'service': 'holds' } ] } ],"
            " 'services': [ { 'name': 'holds' } ], 'workspaces': ["
            + workspace ("june", ", 'priority': 0") + ","
            + workspace ("july", "") + "] }";
    std::replace (text.begin (), text.end (), '\'', '"');
    bus_message message = {};
    message.topic = BUS_CONFIG_IN_FORCE;
    ASSERT_EQ (fleet_config_parse ("test", text.c_str (),
                                   &message.config_in_force.config),
               STATUS_OK)
        << status_message () << text;
    bus_post (the_bus, &message);
    ev_run (loop, EVRUN_NOWAIT);
  }

  std::unique_ptr<Call>
  begin_call (const std::string &path, const std::string &id,
              const std::string &owner = "")
  {
    auto call = make ("GET", path, id);
    if (!owner.empty ())
      call->fields.push_back ("Authorization: Bearer key-" + owner);
    begin (call.get ());
    return call;
  }

  /* The number in the decision line of the request with ID. */
  std::string
  logged_precedence (const std::string &id)
  {
    const std::string text = logged ();
    const size_t line = text.find (" route id=" + id + " ");
    const size_t end = text.find ('\n', line);
    const size_t at = text.find (" precedence=", line);
    return line < text.size () && at < end
               ? text.substr (at + 12, end - at - 12)
               : "none in " + text;
  }
  std::string
  logged ()
  {
    std::string text;
    char data[4096];
    size_t got;
    rewind (log);
    while ((got = fread (data, 1, sizeof data, log)) > 0)
      text.append (data, got);
    return text;
  }

  /* Sends a request of each priority, then one of ID at PATH by OWNER. */
  std::string
  precedence_of (const std::string &path, const std::string &id,
                 const std::string &owner)
  {
    auto call = begin_call (path, id, owner);
    EXPECT_TRUE (run_until ([&] { return call->done; }));
    EXPECT_EQ (call->status, 200);
    return logged_precedence (id);
  }

  FILE *log = tmpfile ();
  target_server *target = nullptr;
};

/* A deployment without the settings must not notice the priorities. */
TEST_F (AdmissionTest, PrioritiesHaveNoEffectWithoutTheSettings)
{
  start_with (false, false);
  EXPECT_EQ (precedence_of ("/one/", "r1", ""), "0");
  EXPECT_EQ (precedence_of ("/two/", "r2", "july"), "0");
}

TEST_F (AdmissionTest, RoutePriorityOnly)
{
  start_with (true, false);
  EXPECT_EQ (precedence_of ("/one/", "r1", ""), "1");
  EXPECT_EQ (precedence_of ("/two/", "r2", "june"), "2");
}

/* A workspace without a priority of its own has that of the route. */
TEST_F (AdmissionTest, OwnPriorityOfAWorkspaceOverridesThatOfTheRoute)
{
  start_with (false, true);
  EXPECT_EQ (precedence_of ("/one/", "r1", ""), "1");
  EXPECT_EQ (precedence_of ("/two/", "r2", "june"), "0");
  EXPECT_EQ (precedence_of ("/two/", "r3", "july"), "2");
}

/* The caller of a displaced request must get the refusal at once, with the
   time after which to come back, and the request must never run. */
TEST_F (AdmissionTest, DisplacedRequestIsRefusedAndNeverRuns)
{
  start_with (true, true);
  for (const char *path : { "/zero/", "/one/" })
    precedence_of (path, path + 1, "");
  target_server_faults (target)->delay_ms = 300;
  auto running = begin_call ("/zero/", "running");
  ASSERT_TRUE (
      run_until ([&] { return target_server_runs (target, "running") == 1; }));
  auto displaced = begin_call ("/one/", "displaced");
  ASSERT_TRUE (run_until ([&] {
    return logged ().find ("id=displaced service=holds") != std::string::npos;
  }));
  auto urgent = begin_call ("/zero/", "urgent");
  ASSERT_TRUE (run_until ([&] { return displaced->done; }));
  EXPECT_FALSE (running->done);
  EXPECT_EQ (displaced->status, 503);
  EXPECT_NE (displaced->field ("retry-after"), "");
  ASSERT_TRUE (run_until ([&] { return running->done && urgent->done; }));
  EXPECT_EQ (urgent->status, 200);
  EXPECT_EQ (target_server_runs (target, "displaced"), 0u);
  EXPECT_NE (logged ().find ("why=displaced"), std::string::npos);
  EXPECT_NE (exposed ().find ("jaystair_precedence_refusals_total{service="
                              "\"holds\",reason=\"displaced\"} 1"),
             std::string::npos)
      << exposed ();
}

}
