#include <random>
#include <string>
#include <vector>

#include <gtest/gtest.h>

extern "C"
{
#include "node/caller/route_table.h"
}

struct ServiceRoute
{
  std::string service;
  route_spec spec;
};

class RouteTableTest : public testing::Test
{
protected:
  void
  TearDown () override
  {
    route_table_destroy (table);
  }

  void
  set_routes (const std::string &service,
              const std::vector<route_spec> &routes)
  {
    service_spec spec = {};
    strcpy (spec.name, service.c_str ());
    std::vector<route_spec> copy = routes;
    spec.routes = copy.data ();
    spec.route_count = copy.size ();
    route_table_set_service (table, &spec);
  }

  std::string
  match (const std::string &host, const std::string &path,
         uint32_t method = ROUTE_METHOD_GET)
  {
    const route *found
        = route_table_match (table, host.c_str (), path.c_str (), method);
    return found == nullptr
               ? "-"
               : std::string (found->service) + ":" + found->spec.path_prefix;
  }

  route_table *table = route_table_create ();
};

static route_spec
make_route (const std::string &host, const std::string &prefix,
            uint32_t methods, bool repeatable)
{
  route_spec spec = {};
  strcpy (spec.host, host.c_str ());
  strcpy (spec.path_prefix, prefix.c_str ());
  spec.methods = methods;
  spec.repeatable = repeatable;
  return spec;
}

TEST_F (RouteTableTest, LongestPrefixWins)
{
  set_routes ("web", { make_route ("", "/", 0, true) });
  set_routes ("holds", { make_route ("", "/holds", 0, false),
                         make_route ("", "/holds/archive/", 0, true) });
  EXPECT_EQ (match ("", "/"), "web:/");
  EXPECT_EQ (match ("", "/holds"), "holds:/holds");
  EXPECT_EQ (match ("", "/holds/"), "holds:/holds");
  EXPECT_EQ (match ("", "/holds/7"), "holds:/holds");
  EXPECT_EQ (match ("", "/holds/archive/7"), "holds:/holds/archive/");
  EXPECT_EQ (match ("", "/holdsale"), "web:/");
}

TEST_F (RouteTableTest, HostAndMethodDecideBetweenEqualPrefixes)
{
  set_routes ("a", { make_route ("", "/x", ROUTE_METHOD_GET, true) });
  set_routes ("b", { make_route ("venue.example", "/x", 0, true) });
  set_routes ("c", { make_route ("", "/x", 0, false) });
  EXPECT_EQ (match ("venue.example", "/x"), "b:/x");
  EXPECT_EQ (match ("other.example", "/x"), "a:/x");
  EXPECT_EQ (match ("other.example", "/x", ROUTE_METHOD_POST), "c:/x");
  EXPECT_EQ (match ("other.example", "/x", 0), "c:/x");
  EXPECT_EQ (match ("other.example", "/y"), "-");
}

/* Two services declare the same route, one of them as unrepeatable.  That one
   must win, in any order, since the other would allow repeats. */
TEST_F (RouteTableTest, UnrepeatableWinsOverRepeatable)
{
  set_routes ("a", { make_route ("", "/x", 0, true) });
  set_routes ("b", { make_route ("", "/x", 0, false) });
  EXPECT_EQ (match ("", "/x"), "b:/x");
}

TEST_F (RouteTableTest, RoutesOfReplacedAndRemovedServicesAreGone)
{
  set_routes (
      "a", { make_route ("", "/x", 0, true), make_route ("", "/y", 0, true) });
  set_routes ("a", { make_route ("", "/z", 0, true) });
  EXPECT_EQ (match ("", "/x"), "-");
  EXPECT_EQ (match ("", "/z"), "a:/z");
  route_table_remove_service (table, "a");
  EXPECT_EQ (match ("", "/z"), "-");
}

/* The reference implementation: a linear search for the best of all routes. */
static std::string
reference_match (const std::vector<ServiceRoute> &all, const std::string &host,
                 const std::string &path, uint32_t method)
{
  const ServiceRoute *best = nullptr;
  const auto rank = [] (const ServiceRoute &o) {
    std::string prefix = o.spec.path_prefix;
    while (!prefix.empty () && prefix.back () == '/')
      prefix.pop_back ();
    return std::make_tuple (-(long)prefix.size (), o.spec.host[0] == '\0',
                            o.spec.methods == 0, o.spec.repeatable, o.service);
  };
  for (const ServiceRoute &o : all)
    {
      std::string prefix = o.spec.path_prefix;
      if (prefix.back () != '/')
        prefix += '/';
      const bool path_ok
          = (path + "/").compare (0, prefix.size (), prefix) == 0;
      const bool host_ok = o.spec.host[0] == '\0' || host == o.spec.host;
      const bool method_ok
          = o.spec.methods == 0 || (o.spec.methods & method) != 0;
      if (path_ok && host_ok && method_ok
          && (best == nullptr || rank (o) < rank (*best)))
        best = &o;
    }
  return best == nullptr ? "-" : best->service + ":" + best->spec.path_prefix;
}

TEST_F (RouteTableTest, MatchesALinearSearch)
{
  std::mt19937 random (11);
  const std::vector<std::string> hosts = { "", "a.example", "b.example" };
  const std::vector<std::string> parts = { "x", "y", "xy" };
  const auto path = [&] {
    std::string text = "/";
    for (int n = (int)(random () % 4); n > 0; n--)
      text += parts[random () % 3] + (n > 1 ? "/" : "");
    return text;
  };
  for (int round = 0; round < 200; round++)
    {
      std::vector<ServiceRoute> all;
      for (int s = 0; s < 4; s++)
        {
          const std::string service = "s" + std::to_string (s);
          std::vector<route_spec> routes;
          routes.push_back (make_route (hosts[random () % 3], path (),
                                        (uint32_t)(random () % 4),
                                        random () % 2 == 0));
          all.push_back ({ service, routes[0] });
          set_routes (service, routes);
        }
      for (int lookup = 0; lookup < 50; lookup++)
        {
          const std::string host = hosts[random () % 3];
          const std::string request_path = path ();
          const uint32_t method = 1U << (random () % 3);
          EXPECT_EQ (match (host, request_path, method),
                     reference_match (all, host, request_path, method))
              << host << request_path;
        }
    }
}

TEST (RoutePathTest, PercentEncodingsAreNormalizedOrRefused)
{
  char path[256];
  EXPECT_EQ (route_path_normalise ("/%68olds//7?x=/../", path, sizeof path),
             STATUS_OK);
  EXPECT_STREQ (path, "/holds/7");
  EXPECT_EQ (route_path_normalise ("/a%20b%25", path, sizeof path), STATUS_OK);
  EXPECT_STREQ (path, "/a%20b%25");
  for (const char *bad : { "/..", "/a/../b", "/%2e%2E/b", "/a%2Fb", "/a\\b",
                           "/a%5cb", "/a%00", "/a%zz", "a", "*", "" })
    EXPECT_EQ (route_path_normalise (bad, path, sizeof path), STATUS_INVALID)
        << bad;
  char small[8];
  EXPECT_EQ (route_path_normalise ("/longer/than/that", small, sizeof small),
             STATUS_INVALID);
}
