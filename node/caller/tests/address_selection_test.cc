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

constexpr size_t MAX = 64;

std::vector<bus_set_host>
set_of (const std::vector<std::string> &dcs)
{
  std::vector<bus_set_host> hosts (dcs.size ());
  for (size_t i = 0; i < dcs.size (); i++)
    {
      snprintf (hosts[i].name, sizeof hosts[i].name, "host-%zu", i);
      snprintf (hosts[i].dc, sizeof hosts[i].dc, "%s", dcs[i].c_str ());
    }
  return hosts;
}

std::vector<std::string>
told (const std::vector<bus_set_host> &hosts, const char *dc, size_t turn,
      size_t max = MAX)
{
  const bus_set_host *chosen[MAX];
  const address_selection_options options
      = { hosts.data (), hosts.size (), dc, turn };
  const size_t count = address_selection_fill (&options, chosen, max);
  std::vector<std::string> names;
  for (size_t i = 0; i < count; i++)
    names.push_back (chosen[i]->name);
  return names;
}

/* Five data centres with three hosts each.  Callers that are told of all
 * fifteen send four requests of five to another data centre. */
TEST (AddressChoice, CallersAreToldOfTheirOwnDataCentreAndOneOther)
{
  std::vector<std::string> dcs;
  for (int i = 0; i < 15; i++)
    dcs.push_back ("dc-" + std::to_string (i % 5));
  const auto hosts = set_of (dcs);
  std::map<std::string, int> counts;
  for (size_t turn = 0; turn < 1500; turn++)
    {
      const auto names = told (hosts, "dc-2", turn);
      ASSERT_EQ (names.size (), 4u);
      for (const std::string &name : names)
        counts[name]++;
    }
  for (const char *near : { "host-2", "host-7", "host-12" })
    EXPECT_EQ (counts[near], 1500);
  /* The others share what is left, so that none is everybody's second. */
  EXPECT_EQ (counts.size (), 15u);
  for (const auto &[name, count] : counts)
    EXPECT_GE (count, 50) << name;
}

TEST (AddressChoice, AllAreToldWhereTheDataCentreHasTooFew)
{
  const auto hosts = set_of ({ "a", "b", "c" });
  EXPECT_EQ (told (hosts, "a", 0).size (), 3u);
  EXPECT_EQ (told (hosts, "x", 0).size (), 3u);
  EXPECT_EQ (told (hosts, nullptr, 0).size (), 3u);
}

TEST (AddressChoice, EachAnswerBeginsWithAnotherHost)
{
  const auto hosts = set_of ({ "a", "a", "b", "b" });
  EXPECT_EQ (told (hosts, "a", 0)[0], "host-0");
  EXPECT_EQ (told (hosts, "a", 1)[0], "host-1");
  EXPECT_EQ (told (hosts, nullptr, 3)[0], "host-3");
}

TEST (AddressChoice, NoMoreThanThereIsRoomFor)
{
  const auto hosts = set_of ({ "a", "a", "b", "b" });
  EXPECT_EQ (told (hosts, "a", 0, 2).size (), 2u);
  EXPECT_EQ (told (hosts, nullptr, 0, 3).size (), 3u);
  EXPECT_TRUE (told ({}, "a", 0).empty ());
}

}
