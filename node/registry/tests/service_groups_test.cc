#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "node/registry/service_groups.h"
}

namespace
{
struct route
{
  std::string host;
  std::vector<std::string> services;
};

std::vector<std::string>
groups (const std::vector<std::string> &services,
        const std::vector<route> &routes)
{
  std::string text = "{ \"version\": 1, \"services\": [";
  for (const std::string &service : services)
    text += (service == services[0] ? "" : ",")
            + ("{\"name\":\"" + service + "\"}");
  text += "], \"routes\": [";
  for (size_t i = 0; i < routes.size (); i++)
    {
      text += (i > 0 ? "," : "")
              + ("{\"name\":\"r" + std::to_string (i) + "\",\"host\":\""
                 + routes[i].host + "\",\"parts\":[");
      for (size_t k = 0; k < routes[i].services.size (); k++)
        text += (k > 0 ? "," : "")
                + ("{\"service\":\"" + routes[i].services[k] + "\"}");
      text += "]}";
    }
  fleet_config *config = nullptr;
  EXPECT_EQ (fleet_config_parse ("f", (text + "]}").c_str (), &config),
             STATUS_OK)
      << status_message ();
  std::vector<size_t> found (services.size ());
  service_groups_find (config, found.data ());
  std::vector<std::string> group_names;
  for (size_t group : found)
    group_names.push_back (services[group]);
  fleet_config_destroy (config);
  return group_names;
}

using names = std::vector<std::string>;

TEST (ServiceGroups, ServicesOfDifferentHostNamesStaySeparate)
{
  EXPECT_EQ (groups ({ "c", "a", "b" },
                     { { "x.example", { "a" } }, { "y.example", { "b" } } }),
             (names{ "c", "a", "b" }));
}

TEST (ServiceGroups, HostNameAndWeightedPartsLinkServices)
{
  EXPECT_EQ (
      groups ({ "c", "a", "b", "d" }, { { "x.example", { "c" } },
                                        { "x.example", { "b" } },
                                        { "y.example", { "d", "a" } } }),
      (names{ "b", "a", "b", "a" }));
}

/* Callers of a host name get the hosts of the first service that it routes
   to.  Without groups, evidence about the other services would go to hosts
   that no caller uses, and each host would have to detect an unhealthy target
   alone. */
TEST (ServiceGroups, GroupsExtendOverSeveralHostNames)
{
  EXPECT_EQ (groups ({ "d", "c", "b", "a" }, { { "x.example", { "d", "c" } },
                                               { "y.example", { "c" } },
                                               { "y.example", { "b" } },
                                               { "z.example", { "a" } },
                                               { "z.example", { "b" } } }),
             (names{ "a", "a", "a", "a" }));
}
} // namespace
