#include <gtest/gtest.h>

#include <cstdlib>
#include <cstring>
#include <string>

extern "C"
{
#include "wire/service_spec.h"
#include "wire/service_spec_diff.h"
}

namespace
{

const char *const full_text = R"({
  // a comment
  "name": "holds", "write_id": "w-1", "prefer": "faster-detection",
  "ejection": "paused", "floor_capacity": 24,
  "targets": [
    { "name": "holds-1", "address": "127.0.0.1:9001", "dc": "north-a",
      "slots": 5, "capacity": 7, "connections": 100, "state": "drained" },
    { "name": "holds-2", "address": "[::1]:9002" } ],
  "routes": [
    { "host": "Holds.Example", "path_prefix": "/holds", "methods": ["POST"] },
    { "host": "holds.example", "path_prefix": "/holds", "methods": ["GET"] },
    { "path_prefix": "/any" },
    { "methods": ["PUT"], "repeatable": true } ],
  "limits":
{
  "queue_requests" : 1, "queue_bytes" : 2, "body_bytes" : 3, "timeout_ms" : 4,
      "connect_timeout_ms" : 5, "retry_percent" : 6, "attempts" : 7,
      "goal_ms" : 8
}
})";

void
expect_full (const struct service_spec *spec)
{
  EXPECT_STREQ (spec->name, "holds");
  EXPECT_STREQ (spec->write_id, "w-1");
  EXPECT_EQ (spec->prefer, SERVICE_PREFER_FASTER_DETECTION);
  EXPECT_TRUE (spec->ejection_paused);
  EXPECT_EQ (spec->floor_capacity, 24u);
  ASSERT_EQ (spec->target_count, 2u);
  const struct target_spec *target = service_spec_target (spec, "holds-1");
  ASSERT_NE (target, nullptr);
  EXPECT_STREQ (target->address, "127.0.0.1:9001");
  EXPECT_STREQ (target->dc, "north-a");
  EXPECT_EQ (target->slots, 5u);
  EXPECT_EQ (target->capacity, 7u);
  EXPECT_EQ (target->connections, 100u);
  EXPECT_EQ (target->state, TARGET_STATE_DRAINED);
  EXPECT_STREQ (spec->targets[1].address, "[::1]:9002");
  EXPECT_EQ (service_spec_target (spec, "holds-3"), nullptr);
  ASSERT_EQ (spec->route_count, 4u);
  EXPECT_STREQ (spec->routes[0].host, "holds.example");
  EXPECT_EQ (spec->routes[0].methods, unsigned{ ROUTE_METHOD_POST });
  EXPECT_FALSE (spec->routes[0].repeatable);
  EXPECT_TRUE (spec->routes[1].repeatable);
  EXPECT_EQ (spec->routes[2].methods, 0u);
  EXPECT_FALSE (spec->routes[2].repeatable);
  EXPECT_TRUE (spec->routes[3].repeatable);
  const uint32_t limits[] = { spec->limits.queue_requests,
                              spec->limits.queue_bytes,
                              spec->limits.body_bytes,
                              spec->limits.timeout_ms,
                              spec->limits.connect_timeout_ms,
                              spec->limits.retry_percent,
                              spec->limits.attempts };
  for (uint32_t i = 0; i < 7; i++)
    EXPECT_EQ (limits[i], i + 1);
}

TEST (ServiceSpec, ReadsEveryMember)
{
  struct service_spec *spec;
  ASSERT_EQ (service_spec_parse ("f", full_text, 9, &spec), STATUS_OK)
      << status_message ();
  EXPECT_EQ (spec->version, 9u);
  expect_full (spec);
  service_spec_destroy (spec);
}

TEST (ServiceSpec, FormattedTextAndCopyAreEqual)
{
  struct service_spec *spec;
  struct service_spec *again;
  ASSERT_EQ (service_spec_parse ("f", full_text, 9, &spec), STATUS_OK);
  struct service_spec *copy = service_spec_copy (spec);
  service_spec_destroy (spec);
  expect_full (copy);
  char *text = service_spec_format (copy);
  service_spec_destroy (copy);
  ASSERT_EQ (service_spec_parse ("f", text, 9, &again), STATUS_OK)
      << status_message ();
  expect_full (again);
  char *text_again = service_spec_format (again);
  EXPECT_STREQ (text, text_again);
  free (text);
  free (text_again);
  service_spec_destroy (again);
}

TEST (ServiceSpec, EveryOtherMemberHasItsDefault)
{
  struct service_spec *spec;
  ASSERT_EQ (service_spec_parse ("f",
                                 R"({"name":"a","targets":[{"name":"t",
                                     "address":"127.0.0.1:1"
}],
                                     "routes":[{}]
})",
                                 1, &spec),
             STATUS_OK)
      << status_message ();
  EXPECT_STREQ (spec->write_id, "");
  EXPECT_EQ (spec->prefer, SERVICE_PREFER_FEWER_FALSE_EJECTIONS);
  EXPECT_FALSE (spec->ejection_paused);
  EXPECT_EQ (spec->floor_capacity, 0u);
  EXPECT_STREQ (spec->targets[0].dc, "");
  EXPECT_EQ (spec->targets[0].slots, 4u);
  EXPECT_EQ (spec->targets[0].capacity, 4u);
  EXPECT_EQ (spec->targets[0].connections, 200u);
  EXPECT_EQ (spec->targets[0].state, TARGET_STATE_ACTIVE);
  EXPECT_STREQ (spec->routes[0].host, "");
  EXPECT_STREQ (spec->routes[0].path_prefix, "/");
  EXPECT_EQ (spec->routes[0].methods, 0u);
  EXPECT_FALSE (spec->routes[0].repeatable);
  EXPECT_EQ (spec->limits.queue_requests, 64u);
  EXPECT_EQ (spec->limits.queue_bytes, 1048576u);
  EXPECT_EQ (spec->limits.body_bytes, 1048576u);
  EXPECT_EQ (spec->limits.timeout_ms, 10000u);
  EXPECT_EQ (spec->limits.connect_timeout_ms, 1000u);
  EXPECT_EQ (spec->limits.retry_percent, 10u);
  EXPECT_EQ (spec->limits.attempts, 3u);
  service_spec_destroy (spec);
}

TEST (ServiceSpec, CapacityDefaultsToTheSlots)
{
  struct service_spec *spec;
  ASSERT_EQ (service_spec_parse ("f",
                                 R"({"name":"a","targets":[{"name":"t",
                                     "address":"127.0.0.1:1","slots":9
}]
})",
                                 1, &spec),
             STATUS_OK);
  EXPECT_EQ (spec->targets[0].capacity, 9u);
  EXPECT_EQ (spec->route_count, 0u);
  service_spec_destroy (spec);
}

/* A truncated service object must not be accepted as one with fewer targets.
 */
TEST (ServiceSpec, EveryTruncatedTextIsRefused)
{
  const std::string complete = full_text;
  for (size_t size = 0; size < complete.size (); size++)
    {
      struct service_spec *spec;
      EXPECT_EQ (service_spec_parse ("f", complete.substr (0, size).c_str (),
                                     1, &spec),
                 STATUS_INVALID)
          << size;
      EXPECT_EQ (spec, nullptr);
    }
}

TEST (ServiceSpecDiff, ListsTheDifferences)
{
  struct service_spec *before;
  struct service_spec *after;
  char text[512];
  char truncated[16];
  ASSERT_EQ (service_spec_parse (
                 "f",
                 "{\"name\":\"holds\",\"floor_capacity\":4,\"targets\":["
                 "{\"name\":\"h1\",\"address\":\"127.0.0.1:1\"},"
                 "{\"name\":\"h2\",\"address\":\"127.0.0.1:2\"}]}",
                 0, &before),
             STATUS_OK);
  ASSERT_EQ (service_spec_parse (
                 "f",
                 "{\"name\":\"holds\",\"prefer\":\"faster-detection\","
                 "\"targets\":[{\"name\":\"h1\",\"address\":\"127.0.0.1:3\","
                 "\"dc\":\"a\",\"slots\":5},{\"name\":\"h3\","
                 "\"address\":\"127.0.0.1:4\"}],\"routes\":[{}],"
                 "\"limits\":{\"attempts\":1}}",
                 0, &after),
             STATUS_OK);
  EXPECT_EQ (service_spec_diff (before, after, text, sizeof text), 10u);
  EXPECT_STREQ (text, "prefer to faster-detection; floor_capacity 4 to 0; "
                      "target h1: address 127.0.0.1:1 to 127.0.0.1:3; "
                      "target h1: dc  to a; target h1: slots 4 to 5; "
                      "target h1: capacity 4 to 5; target h2 removed; "
                      "target h3 added; routes changed; limits changed");
  EXPECT_EQ (service_spec_diff (before, after, truncated, sizeof truncated),
             10u);
  EXPECT_EQ (strlen (truncated), sizeof truncated - 1);
  service_spec_destroy (before);
  service_spec_destroy (after);
}

struct bad_value
{
  const char *members; /* of the service object */
  const char *message_part;
};

class BadService : public testing::TestWithParam<bad_value>
{
};

TEST_P (BadService, ErrorNamesPositionAndRemedy)
{
  struct service_spec *spec;
  const std::string text = std::string ("{") + GetParam ().members + "}";
  EXPECT_EQ (service_spec_parse ("f.json", text.c_str (), 1, &spec),
             STATUS_INVALID);
  EXPECT_NE (strstr (status_message (), GetParam ().message_part), nullptr)
      << status_message ();
  EXPECT_EQ (strncmp (status_message (), "f.json: ", 8), 0);
  EXPECT_NE (strchr (status_message (), ';'), nullptr) << status_message ();
}

#define VALID "\"name\":\"a\",\"targets\":[]"
#define TARGET(members)                                                       \
  "\"name\":\"a\",\"targets\":[{\"name\":\"t\",\"address\":\"127.0.0.1:1\"}," \
  "{" members "}]"
#define ROUTE(members) VALID ",\"routes\":[{" members "}]"
#define LIMIT(member) VALID ",\"limits\":{" member "}"

INSTANTIATE_TEST_SUITE_P (
    All, BadService,
    testing::Values (
        bad_value{ "\"targets\":[]",
                   "name: expected a string, found nothing" },
        bad_value{ "\"name\":\"a\"", "targets: expected an array" },
        bad_value{ "\"name\":\"a/b\",\"targets\":[]",
                   "name: expected letters" },
        bad_value{ VALID ",\"prefer\":\"speed\"", "prefer: expected one of" },
        bad_value{ VALID ",\"ejection\":\"off\"",
                   "ejection: expected one of" },
        bad_value{ VALID ",\"floor_capacity\":-1",
                   "floor_capacity: expected" },
        bad_value{ VALID ",\"write_id\":7", "write_id: expected a string" },
        bad_value{ TARGET ("\"name\":\"t\",\"address\":\"127.0.0.1:2\""),
                   "targets[1].name: expected a unique name" },
        bad_value{ TARGET ("\"name\":\"u\",\"address\":\"127.0.0.1:1\""),
                   "targets[1].address: expected a unique address" },
        bad_value{ TARGET ("\"name\":\"u\",\"address\":\"localhost:1\""),
                   "targets[1].address: expected IP:PORT" },
        bad_value{ TARGET ("\"name\":\"u\",\"address\":\"127.0.0.1:0\""),
                   "targets[1].address: expected a port" },
        bad_value{ TARGET ("\"name\":\"u\""), "targets[1].address: expected" },
        bad_value{ TARGET ("\"name\":\"u\",\"address\":\"127.0.0.1:2\","
                           "\"slots\":0"),
                   "targets[1].slots: expected" },
        bad_value{ TARGET ("\"name\":\"u\",\"address\":\"127.0.0.1:2\","
                           "\"capacity\":0"),
                   "targets[1].capacity: expected" },
        bad_value{ TARGET ("\"name\":\"u\",\"address\":\"127.0.0.1:2\","
                           "\"state\":\"gone\""),
                   "targets[1].state: expected one of" },
        bad_value{ ROUTE ("\"host\":\"a:80\""), "routes[0].host: expected" },
        bad_value{ ROUTE ("\"path_prefix\":\"x\""),
                   "routes[0].path_prefix: expected a path" },
        bad_value{ ROUTE ("\"methods\":[\"get\"]"),
                   "routes[0].methods: expected GET" },
        bad_value{ ROUTE ("\"methods\":[\"GET\",\"GET\"]"),
                   "routes[0].methods: expected GET" },
        bad_value{ ROUTE ("\"methods\":[\"POST\"]},{"),
                   "routes[1].path_prefix: expected one route" },
        bad_value{ ROUTE ("\"repeatble\":true"),
                   "routes[0].repeatble: no such option" },
        bad_value{ LIMIT ("\"attempts\":9"), "limits.attempts: expected" },
        bad_value{ LIMIT ("\"timeout_ms\":0"), "limits.timeout_ms: expected" },
        bad_value{ LIMIT ("\"queue\":1"), "limits.queue: no such option" }));

} // namespace
