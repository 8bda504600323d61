#include <gtest/gtest.h>

#include <memory>
#include <string>

extern "C"
{
#include "wire/fleet_config.h"
}

namespace
{
using config_ptr = std::unique_ptr<fleet_config, void (*) (fleet_config *)>;

std::string
quoted (std::string text)
{
  for (char &c : text)
    if (c == '\'')
      c = '"';
  return text;
}

config_ptr
parse (const std::string &text)
{
  fleet_config *config = nullptr;
  fleet_config_parse ("f.json", quoted (text).c_str (), &config);
  return { config, fleet_config_destroy };
}

const char *const full_text
    = "{ 'version': 12, 'routes': [ { 'name': 'r-1', 'host': 'Holds.example',"
      " 'path_prefix': '/holds/', 'repeatable': false, 'timeout_ms': 4000,"
      " 'latency_goal_ms': 1000, 'priority': 1, 'attempts': 2, 'parts': ["
      " { 'service': 'holds', 'weight': 90 },"
      " { 'service': 'next', 'weight': 10 } ] } ],"
      " 'services': [ { 'name': 'holds', 'health_path': '/up',"
      " 'connections': 330 }, { 'name': 'next' } ],"
      " 'limits': { 'header_bytes': 16384, 'body_bytes': 67108864,"
      " 'header_timeout_ms': 3000, 'idle_timeout_ms': 15000 },"
      " 'workspaces': [ { 'name': 'june', 'keys': ["
      " 'ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad' ],"
      " 'rate_per_s': 12.5, 'burst': 20, 'priority': 3 },"
      " { 'name': 'quiet' } ] }";

TEST (FleetConfig, ReadsAllMembers)
{
  const config_ptr config = parse (full_text);
  ASSERT_NE (config, nullptr) << status_message ();
  EXPECT_EQ (config->version, 12u);
  ASSERT_EQ (config->route_count, 1u);
  const fleet_route &route = config->routes[0];
  EXPECT_STREQ (route.spec.host, "holds.example");
  EXPECT_STREQ (route.spec.path_prefix, "/holds/");
  EXPECT_FALSE (route.spec.repeatable);
  EXPECT_EQ (route.timeout_ms, 4000u);
  EXPECT_EQ (route.latency_goal_ms, 1000u);
  EXPECT_EQ (route.priority, 1u);
  EXPECT_EQ (route.attempts, 2u);
  ASSERT_EQ (route.part_count, 2u);
  EXPECT_STREQ (route.parts[1].service, "next");
  EXPECT_EQ (route.parts[1].weight, 10u);
  ASSERT_EQ (config->service_count, 2u);
  EXPECT_STREQ (config->services[0].health_path, "/up");
  EXPECT_EQ (config->services[0].connections, 330u);
  EXPECT_EQ (config->limits.body_bytes, 67108864u);
  EXPECT_EQ (config->limits.idle_timeout_ms, 15000u);
}

TEST (FleetConfig, ReadsWorkspaces)
{
  const config_ptr config = parse (full_text);
  ASSERT_NE (config, nullptr) << status_message ();
  EXPECT_TRUE (config->has_workspaces);
  ASSERT_EQ (config->workspace_count, 2u);
  const fleet_workspace &june = config->workspaces[0];
  EXPECT_STREQ (june.name, "june");
  const digest key = digest_of ("abc", 3);
  ASSERT_EQ (june.key_count, 1u);
  EXPECT_TRUE (digest_equal (&june.keys[0], &key));
  EXPECT_EQ (june.quota.rate_millis, 12500u);
  EXPECT_EQ (june.quota.burst, 20u);
  EXPECT_TRUE (june.has_priority);
  EXPECT_EQ (june.priority, 3u);
  EXPECT_FALSE (config->workspaces[1].has_priority);
  EXPECT_EQ (config->workspaces[1].quota.rate_millis, 0u);
  EXPECT_FALSE (parse ("{ }")->has_workspaces);
  EXPECT_TRUE (parse ("{ 'workspaces': [ ] }")->has_workspaces);
}

/* The error message for a key in place of its digest must not contain the key,
   because many can read the logs. */
TEST (FleetConfig, AKeyInsteadOfItsDigestIsRefusedAndNotShown)
{
  EXPECT_EQ (parse ("{ 'workspaces': [ { 'name': 'june',"
                    " 'keys': [ 'thhkmgjqnirth5mgjy5r' ] } ] }"),
             nullptr);
  const std::string message = status_message ();
  EXPECT_EQ (message.find ("thhkmgjqnirth5mgjy5r"), std::string::npos);
  EXPECT_NE (message.find ("jaystair key digest"), std::string::npos);
}

/* With a key of two workspaces, each host would assign its requests to the
   workspace that it finds first. */
TEST (FleetConfig, AKeyOfTwoWorkspacesIsRefused)
{
  const std::string key
      = "'ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad'";
  EXPECT_EQ (parse ("{ 'workspaces': [ { 'name': 'june', 'keys': [ " + key
                    + " ] }, { 'name': 'july', 'keys': [ " + key + " ] } ] }"),
             nullptr);
  EXPECT_NE (std::string (status_message ()).find ("july"), std::string::npos);
}

TEST (FleetConfig, FormattedTextAndCopyAreEqual)
{
  const config_ptr config = parse (full_text);
  const config_ptr copy
      = { fleet_config_copy (config.get ()), fleet_config_destroy };
  char *text = fleet_config_format (config.get ());
  char *copied = fleet_config_format (copy.get ());
  EXPECT_STREQ (text, copied);
  const config_ptr again = parse (text);
  ASSERT_NE (again, nullptr) << status_message ();
  char *formatted = fleet_config_format (again.get ());
  EXPECT_STREQ (text, formatted);
  free (text);
  free (copied);
  free (formatted);
}

/* All requests of a route to an undeclared service, for example a misspelt
   one, would be refused for lack of targets.  The version is refused instead,
   so that the active one stays. */
TEST (FleetConfig, ARouteToAnUndeclaredServiceIsRefused)
{
  EXPECT_EQ (parse ("{ 'routes': [ { 'name': 'r', 'parts': ["
                    " { 'service': 'hold' } ] } ],"
                    " 'services': [ { 'name': 'holds' } ] }"),
             nullptr);
  EXPECT_NE (std::string (status_message ()).find ("hold"), std::string::npos);
}

TEST (FleetConfig, ARouteWithoutWeightIsRefused)
{
  EXPECT_EQ (parse ("{ 'routes': [ { 'name': 'r', 'parts': ["
                    " { 'service': 'a', 'weight': 0 } ] } ],"
                    " 'services': [ { 'name': 'a' } ] }"),
             nullptr);
  EXPECT_EQ (parse ("{ 'routes': [ { 'name': 'r' } ] }"), nullptr);
}
} // namespace
