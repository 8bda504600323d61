#include <gtest/gtest.h>

#include <cstdio>
#include <map>
#include <string>
#include <vector>

extern "C"
{
#include "node/caller/address_selection.h"
}

namespace
{

constexpr size_t CAPACITY = 64;

std::vector<bus_host_entry>
hosts_in (const std::vector<std::string> &dcs)
{
  std::vector<bus_host_entry> hosts (dcs.size ());
  for (size_t i = 0; i < dcs.size (); i++)
    {
      snprintf (hosts[i].name, sizeof hosts[i].name, "host-%zu", i);
      snprintf (hosts[i].dc, sizeof hosts[i].dc, "%s", dcs[i].c_str ());
    }
  return hosts;
}

std::vector<std::string>
selected_names (const std::vector<bus_host_entry> &hosts, const char *dc,
                size_t rotation, size_t max = CAPACITY)
{
  const bus_host_entry *selected[CAPACITY];
  const address_selection_options options
      = { hosts.data (), hosts.size (), dc, rotation };
  const size_t count = address_selection_fill (&options, selected, max);
  std::vector<std::string> names;
  for (size_t i = 0; i < count; i++)
    names.push_back (selected[i]->name);
  return names;
}

/* Five data centres with three hosts each.  If all fifteen hosts were listed,
 * callers would send four of five requests to another data centre. */
TEST (AddressSelection, LocalHostsAndOneRemoteHostAreSelected)
{
  std::vector<std::string> dcs;
  for (int i = 0; i < 15; i++)
    dcs.push_back ("dc-" + std::to_string (i % 5));
  const auto hosts = hosts_in (dcs);
  std::map<std::string, int> counts;
  for (size_t rotation = 0; rotation < 1500; rotation++)
    {
      const auto names = selected_names (hosts, "dc-2", rotation);
      ASSERT_EQ (names.size (), 4u);
      for (const std::string &name : names)
        counts[name]++;
    }
  for (const char *local : { "host-2", "host-7", "host-12" })
    EXPECT_EQ (counts[local], 1500);
  /* The remote host differs between responses, so that not all callers use
     the same one. */
  EXPECT_EQ (counts.size (), 15u);
  for (const auto &[name, count] : counts)
    EXPECT_GE (count, 50) << name;
}

TEST (AddressSelection, AllHostsAreSelectedIfTheDataCentreHasTooFew)
{
  const auto hosts = hosts_in ({ "a", "b", "c" });
  EXPECT_EQ (selected_names (hosts, "a", 0).size (), 3u);
  EXPECT_EQ (selected_names (hosts, "x", 0).size (), 3u);
  EXPECT_EQ (selected_names (hosts, nullptr, 0).size (), 3u);
}

TEST (AddressSelection, EachResponseStartsWithAnotherHost)
{
  const auto hosts = hosts_in ({ "a", "a", "b", "b" });
  EXPECT_EQ (selected_names (hosts, "a", 0)[0], "host-0");
  EXPECT_EQ (selected_names (hosts, "a", 1)[0], "host-1");
  EXPECT_EQ (selected_names (hosts, nullptr, 3)[0], "host-3");
}

TEST (AddressSelection, SelectionDoesNotExceedCapacity)
{
  const auto hosts = hosts_in ({ "a", "a", "b", "b" });
  EXPECT_EQ (selected_names (hosts, "a", 0, 2).size (), 2u);
  EXPECT_EQ (selected_names (hosts, nullptr, 0, 3).size (), 3u);
  EXPECT_TRUE (selected_names ({}, "a", 0).empty ());
}

}
