#include "node/caller/tests/caller_fixture.h"

extern "C"
{
#include "base/clock.h"
#include "node/caller/caller_cost.h"
#include "wire/fleet_config.h"
}

namespace
{

std::string
one_route (const std::string &name, const std::string &prefix,
           const std::string &members)
{
  return "{ 'name': '" + name + "', 'path_prefix': '" + prefix + "'" + members
         + ", 'parts': [ { 'service': 'holds' } ] }";
}

class CallerCostTest : public CallerTest
{
protected:
  void
  TearDown () override
  {
    CallerTest::TearDown ();
    fclose (log);
  }

  void
  start_with (bool by_cost)
  {
    write_log_to (fileno (log));
    settings.placement.by_cost = by_cost;
    add_target ("t1");
    add_target ("t2");
    start ();
    put_service (usual_routes);
  }

  /** Put a configuration with ROUTES in force. */
  void
  put_routes (const std::string &routes)
  {
    std::string text = "{ 'version': " + std::to_string (++version)
                       + ", 'routes': [" + routes
                       + "], 'services': [ { 'name': 'holds' } ] }";
    for (char &c : text)
      if (c == '\'')
        c = '"';
    bus_message message = {};
    message.topic = BUS_CONFIG_IN_FORCE;
    ASSERT_EQ (fleet_config_parse ("test", text.c_str (),
                                   &message.config_in_force.config),
               STATUS_OK)
        << status_message () << text;
    bus_post (the_bus, &message);
  }

  int64_t
  expected_work () const
  {
    const std::string name
        = "jaystair_expected_work_microseconds_total{service=\"holds\"} ";
    const std::string text = exposed ();
    const size_t at = text.find (name);
    return at == std::string::npos ? 0
                                   : atoll (text.c_str () + at + name.size ());
  }

  void
  send (const std::string &path, int count)
  {
    for (int i = 0; i < count; i++)
      {
        const auto call = get (path, path + std::to_string (i));
        EXPECT_EQ (call->status, 200);
      }
  }

  std::string
  log_text ()
  {
    std::string text (1 << 20, '\0');
    rewind (log);
    text.resize (fread (&text[0], 1, text.size (), log));
    return text;
  }

  FILE *log = tmpfile ();
};

/* Failure: the work of requests is neither learned nor reported, so that
   operators can't tell whether the estimates are right. */
TEST_F (CallerCostTest, WorkIsLearnedAndReported)
{
  start_with (true);
  put_routes (one_route ("all", "/", ", 'repeatable': true") + ","
              + one_route ("urgent", "/urgent/", ", 'latency_goal_ms': 100"));
  send ("/calendar", 5);
  EXPECT_GT (expected_work (), 0) << exposed ();
  EXPECT_NE (
      exposed ().find ("jaystair_actual_work_microseconds_total{service="),
      std::string::npos);
  const std::string text = log_text ();
  EXPECT_NE (text.find (" expected_us=0 actual_us="), std::string::npos);
  const size_t last = text.rfind (" expected_us=");
  ASSERT_NE (last, std::string::npos) << text;
  EXPECT_NE (text.compare (last, 15, " expected_us=0 "), 0) << text;
}

/* Failure: another deployment's requests are placed by cost although its
   settings don't ask for it. */
TEST_F (CallerCostTest, NothingIsLearnedWithoutTheSetting)
{
  start_with (false);
  put_routes (one_route ("all", "/", ", 'repeatable': true") + ","
              + one_route ("urgent", "/urgent/", ", 'latency_goal_ms': 100"));
  send ("/calendar", 5);
  EXPECT_EQ (expected_work (), 0);
}

/* Failure: after a change of the configuration the mode of the one before
   stays in force. */
TEST_F (CallerCostTest, ModeFollowsTheRoutesInForce)
{
  start_with (true);
  const std::string all = one_route ("all", "/", ", 'repeatable': true");
  put_routes (all + ","
              + one_route ("same", "/same/", ", 'repeatable': true"));
  send ("/calendar", 5);
  EXPECT_EQ (expected_work (), 0);
  put_routes (
      all + ","
      + one_route ("less", "/less/", ", 'repeatable': true, 'priority': 2"));
  send ("/calendar", 5);
  const int64_t learned_us = expected_work ();
  EXPECT_GT (learned_us, 0);
  put_routes (all);
  send ("/calendar", 5);
  EXPECT_EQ (expected_work (), learned_us);
}

/* Guards against a leaving host that passes on a request which is known to
   take longer than the time that is left. */
TEST_F (CallerCostTest, LongRequestIsRefusedByALeavingHost)
{
  constexpr uint32_t work_ms = 600;
  settings.times.shutdown_ms = 900;
  start_with (true);
  for (target_server *server : targets)
    target_server_faults (server)->delay_ms = work_ms;
  put_routes (one_route ("all", "/", ", 'repeatable': true") + ","
              + one_route ("urgent", "/urgent/", ", 'latency_goal_ms': 100"));
  send ("/calendar", 5);
  const int64_t start_ms = clock_now_ms ();
  caller_task_begin_leaving (
      task, [] (void *) {}, nullptr);
  run_until ([&] {
    return clock_now_ms () >= start_ms + settings.times.shutdown_ms / 3;
  });
  const auto call = get ("/calendar", "late");
  EXPECT_EQ (call->status, 503);
  EXPECT_EQ (call->field ("jaystair-outcome"), "not-run");
  for (const target_server *server : targets)
    EXPECT_EQ (target_server_runs (server, "late"), 0u);
}

/* Failure: requests of different work share a mean, or those of one class
   don't. */
TEST (CallerCostKeys, DependOnRouteMethodWorkspaceAndSize)
{
  caller_service service = {};
  strcpy (service.name, "holds");
  exchange x = {};
  x.service = &service;
  strcpy (x.route, "/a/");
  strcpy (x.head.method, "POST");
  x.head.body = REQUEST_BODY_SIZED;
  x.head.body_bytes = 70000;
  uint64_t none[POLICY_COST_KEYS];
  caller_cost_keys (&x, none);
  for (const uint64_t key : none)
    EXPECT_EQ (key, 0u);
  service.by_cost = true;
  uint64_t base[POLICY_COST_KEYS];
  uint64_t other[POLICY_COST_KEYS];
  caller_cost_keys (&x, base);
  x.head.body_bytes = 80000;
  caller_cost_keys (&x, other);
  EXPECT_EQ (base[0], other[0]);
  const auto expect_other_class = [&] (const exchange &changed) {
    caller_cost_keys (&changed, other);
    EXPECT_NE (base[0], other[0]);
    EXPECT_EQ (base[1], other[1]);
    EXPECT_EQ (base[2], other[2]);
  };
  exchange changed = x;
  changed.head.body_bytes = 360000;
  expect_other_class (changed);
  changed = x;
  changed.head.body = REQUEST_BODY_CHUNKED;
  expect_other_class (changed);
  changed = x;
  strcpy (changed.head.method, "PUT");
  expect_other_class (changed);
  changed = x;
  changed.workspace_key = 7;
  expect_other_class (changed);
  changed = x;
  strcpy (changed.route, "/b/");
  caller_cost_keys (&changed, other);
  EXPECT_NE (base[0], other[0]);
  EXPECT_NE (base[1], other[1]);
  EXPECT_EQ (base[2], other[2]);
}

/* Failure: the mode is on at a service whose routes are all alike, or off at
   one that differs only in one of the properties. */
TEST (RoutesDiffer, InEachPropertyOfRoutesThatLeadToTheService)
{
  route_part holds = {};
  strcpy (holds.service, "holds");
  holds.weight = 1;
  fleet_route routes[2] = {};
  for (fleet_route &route : routes)
    {
      route.parts = &holds;
      route.part_count = 1;
    }
  strcpy (routes[0].spec.path_prefix, "/a/");
  strcpy (routes[1].spec.path_prefix, "/b/");
  fleet_config config = {};
  config.routes = routes;
  config.route_count = 2;
  const auto differ = [&config] (const char *service) {
    route_table *table = route_table_create ();
    route_table_set_config (table, &config, 1);
    const bool result = route_table_routes_differ (table, service);
    route_table_destroy (table);
    return result;
  };
  EXPECT_FALSE (differ ("holds"));
  routes[1].priority = 1;
  EXPECT_TRUE (differ ("holds"));
  EXPECT_FALSE (differ ("other"));
  routes[1].priority = 0;
  routes[1].latency_goal_ms = 500;
  EXPECT_TRUE (differ ("holds"));
  routes[1].latency_goal_ms = 0;
  routes[1].timeout_ms = 2000;
  EXPECT_TRUE (differ ("holds"));
  routes[1].timeout_ms = 0;
  routes[1].spec.repeatable = true;
  EXPECT_TRUE (differ ("holds"));
  routes[1].spec.repeatable = false;
  EXPECT_FALSE (differ ("holds"));
  /* A part without weight gets no requests. */
  route_part parts[2] = {};
  strcpy (parts[0].service, "holds");
  strcpy (parts[1].service, "other");
  parts[1].weight = 1;
  routes[1].parts = parts;
  routes[1].part_count = 2;
  routes[1].priority = 1;
  EXPECT_FALSE (differ ("holds"));
  parts[0].weight = 1;
  EXPECT_TRUE (differ ("holds"));
}

}
