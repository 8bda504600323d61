#include <gtest/gtest.h>

#include <map>
#include <string>
#include <vector>

extern "C"
{
#include "node/registry/registry.h"
}

namespace
{
std::string
quoted (std::string text)
{
  for (char &c : text)
    if (c == '\'')
      c = '"';
  return text;
}

std::string
config_text (int version, const std::vector<std::string> &services)
{
  std::string routes, declared;
  for (const std::string &name : services)
    {
      const std::string comma = declared.empty () ? "" : ",";
      routes += comma + "{ 'name': 'r-" + name + "', 'path_prefix': '/" + name
                + "/', 'parts': [ { 'service': '" + name + "' } ] }";
      declared += comma + "{ 'name': '" + name + "' }";
    }
  return quoted ("{ 'version': " + std::to_string (version) + ", 'routes': ["
                 + routes + "], 'services': [" + declared + "] }");
}

std::string
target_text (const std::string &service, const std::string &state = "active",
             int64_t started_ms = 0)
{
  return quoted ("{ 'service': '" + service
                 + "', 'address': '10.0.0.1:80',"
                   " 'slots': 3, 'started_ms': "
                 + std::to_string (started_ms) + ", 'state': '" + state
                 + "' }");
}

class Registry : public testing::Test
{
protected:
  struct ev_loop *loop = ev_loop_new (EVFLAG_AUTO);
  std::vector<std::string> published;
  std::map<std::string, uint32_t> goals;
  registry *r = nullptr;

  static Registry *
  fixture_of (void *owner)
  {
    return static_cast<Registry *> (owner);
  }

  void
  SetUp () override
  {
    static const registry_events events
        = { [] (void *owner, const service_spec *spec) {
             std::string line = std::string ("service ") + spec->name;
             for (size_t i = 0; i < spec->target_count; i++)
               line += std::string (" ") + spec->targets[i].name
                       + (spec->targets[i].state == TARGET_STATE_ACTIVE
                              ? ""
                              : "(drained)");
             fixture_of (owner)->published.push_back (line);
             fixture_of (owner)->goals[spec->name] = spec->limits.goal_ms;
           },
            [] (void *owner, const fleet_config *config) {
              fixture_of (owner)->published.push_back (
                  "config " + std::to_string (config->version));
            },
            [] (void *owner, const char *name, uint64_t) {
              fixture_of (owner)->published.push_back (std::string ("removed ")
                                                       + name);
            } };
    service_spec defaults;
    service_spec_defaults (&defaults);
    registry_options options = {};
    options.loop = loop;
    options.events = &events;
    options.owner = this;
    options.limits = defaults.limits;
    r = registry_create (&options);
  }

  void
  TearDown () override
  {
    registry_destroy (r);
    ev_loop_destroy (loop);
  }

  status
  config (int version, const std::vector<std::string> &services)
  {
    return registry_apply_config (r, "main",
                                  config_text (version, services).c_str ());
  }

  std::vector<std::string>
  run ()
  {
    published.clear ();
    ev_run (loop, 0);
    return published;
  }
};

using lines = std::vector<std::string>;

TEST_F (Registry, PublishesServicesBeforeTheConfigurationThatRoutesToThem)
{
  registry_apply_target (r, "t-2", target_text ("holds").c_str ());
  registry_apply_target (r, "t-1", target_text ("holds").c_str ());
  EXPECT_EQ (run (), lines{});
  ASSERT_EQ (config (3, { "holds" }), STATUS_OK) << status_message ();
  EXPECT_EQ (run (), (lines{ "service holds t-1 t-2", "config 3" }));
}

TEST_F (Registry, RemovesServicesAfterTheConfigurationThatDropsThem)
{
  config (3, { "a", "b" });
  run ();
  config (4, { "b" });
  EXPECT_EQ (run (), (lines{ "service b", "config 4", "removed a" }));
}

/* The latency goal determines how many requests the targets of a service can
   get, and so how many hosts serve it.  All routes of a service count, so that
   a change of one route moves few callers.  A route without a goal, or with
   one that isn't below its timeout, is ignored. */
TEST_F (Registry, ServiceGetsTheMeanGoalOfItsRoutes)
{
  const char *routes
      = "{ 'version': %d, 'routes': ["
        "{ 'name': 'a', 'path_prefix': '/a/', 'timeout_ms': 9000,"
        "  'latency_goal_ms': %d, 'parts': [ { 'service': 'holds' } ] },"
        "{ 'name': 'b', 'path_prefix': '/b/', 'timeout_ms': 9000,"
        "  'latency_goal_ms': 3000, 'parts': [ { 'service': 'holds' },"
        "                                      { 'service': 'views' } ] },"
        "{ 'name': 'c', 'path_prefix': '/c/', 'timeout_ms': 500,"
        "  'parts': [ { 'service': 'views' }, { 'service': 'plain' } ] } ],"
        "'services': [ { 'name': 'holds' }, { 'name': 'views' },"
        "              { 'name': 'plain' } ] }";
  char text[2048];
  snprintf (text, sizeof text, routes, 1, 2000);
  ASSERT_EQ (registry_apply_config (r, "main", quoted (text).c_str ()),
             STATUS_OK)
      << status_message ();
  run ();
  EXPECT_EQ (goals["holds"], 2400u); /* 2 / (1/2000 + 1/3000) */
  EXPECT_EQ (goals["views"], 3000u);
  EXPECT_EQ (goals["plain"], 0u);
  snprintf (text, sizeof text, routes, 2, 4000);
  registry_apply_config (r, "main", quoted (text).c_str ());
  run ();
  EXPECT_EQ (goals["holds"], 3429u); /* 2 / (1/4000 + 1/3000) */
}

/* A host receives version 8 from a peer, and then version 7 from its own,
   earlier list.  Putting version 7 in force would route requests by the old
   configuration for a moment and then by the new one again. */
TEST_F (Registry, OlderConfigurationIsRefused)
{
  config (8, { "a" });
  run ();
  EXPECT_EQ (config (7, { "b" }), STATUS_REFUSED);
  EXPECT_EQ (config (8, { "b" }), STATUS_REFUSED);
  EXPECT_EQ (run (), lines{});
  EXPECT_EQ (registry_config (r)->version, 8u);
}

TEST_F (Registry, InvalidConfigurationLeavesTheOneInForce)
{
  config (8, { "a" });
  run ();
  EXPECT_EQ (registry_apply_config (r, "main", "{ \"version\": 9, \"rout"),
             STATUS_INVALID);
  EXPECT_EQ (run (), lines{});
  EXPECT_EQ (registry_config (r)->version, 8u);
}

TEST_F (Registry, TargetIsDrainedAndRemoved)
{
  config (1, { "a" });
  registry_apply_target (r, "t-1", target_text ("a").c_str ());
  run ();
  EXPECT_TRUE (registry_target_is_active (r, "t-1"));
  registry_apply_target (r, "t-1", target_text ("a", "drained").c_str ());
  EXPECT_EQ (run (), lines{ "service a t-1(drained)" });
  EXPECT_FALSE (registry_target_is_active (r, "t-1"));
  registry_apply_target (r, "t-1", nullptr);
  EXPECT_EQ (run (), lines{ "service a" });
  EXPECT_EQ (registry_target_count (r), 0u);
}

/* Heartbeats of a target rewrite its record without a relevant change.  Each
   would otherwise rebuild the targets of its service. */
TEST_F (Registry, UnchangedRecordPublishesNothing)
{
  config (1, { "a" });
  registry_apply_target (r, "t-1", target_text ("a").c_str ());
  run ();
  registry_apply_target (r, "t-1", target_text ("a").c_str ());
  EXPECT_EQ (run (), lines{});
}

/* A target is drained, stops, and starts again under the same name.  The
   drained state of the earlier process must not keep requests from the new
   one, and a late write of the earlier process must not remove the new one. */
TEST_F (Registry, NewProcessReplacesTheEarlierOne)
{
  config (1, { "a" });
  registry_apply_target (r, "t-1",
                         target_text ("a", "drained", 5000).c_str ());
  run ();
  registry_apply_target (r, "t-1", target_text ("a", "active", 9000).c_str ());
  EXPECT_EQ (run (), lines{ "service a t-1" });
  EXPECT_EQ (registry_apply_target (
                 r, "t-1", target_text ("a", "drained", 5000).c_str ()),
             STATUS_REFUSED);
  EXPECT_EQ (run (), lines{});
  EXPECT_TRUE (registry_target_is_active (r, "t-1"));
}

/* The target restarts so fast that only its start time changes.  The change
   must be published, so that the service discards the state of the earlier
   process. */
TEST_F (Registry, NewStartTimeIsAChange)
{
  config (1, { "a" });
  registry_apply_target (r, "t-1", target_text ("a", "active", 5000).c_str ());
  run ();
  registry_apply_target (r, "t-1", target_text ("a", "active", 9000).c_str ());
  EXPECT_EQ (run (), lines{ "service a t-1" });
}

/* Another program overwrites the object of a target, so that its address and
   state are unknown.  Requests sent to the last known address could reach a
   target of another service. */
TEST_F (Registry, UnreadableObjectRemovesTheTarget)
{
  config (1, { "a" });
  registry_apply_target (r, "t-1", target_text ("a").c_str ());
  registry_apply_target (r, "t-2", target_text ("a").c_str ());
  run ();
  EXPECT_EQ (
      registry_apply_target (r, "t-1", target_text ("a", "odd").c_str ()),
      STATUS_INVALID);
  EXPECT_EQ (run (), lines{ "service a t-2" });
  registry_apply_target (r, "t-1", target_text ("a").c_str ());
  EXPECT_EQ (run (), lines{ "service a t-1 t-2" });
}
} // namespace
