// Model test of the floor: hosts with clocks of their own, several of which
// consider themselves owner, and a platform and a network that lose and delay
// messages and fail.  After each event the floor is checked by a plain count
// over the targets that any host enforces as ejected.
//
// What must hold at each moment t: with the settings in force at any time in
// [t - SETTLE, t], counting each target's capacity at its maximum and each
// ejected one at its minimum, capacity - ejected anywhere >= lowest floor.
// While no settings changed within SETTLE this is the floor itself.  SETTLE is
// the stated bound: the hold time of an owner that can't be reached.
#include <cstdio>
#include <cstdlib>

#include <gtest/gtest.h>

#include "policy/floor/tests/floor_simulation.h"

namespace
{
// Reports the seed with the shortest failing prefix among further seeds.
void
report_shortest (uint64_t seed, uint64_t prefix)
{
  std::string violation;
  for (uint64_t s = seed; s < seed + 300; s++)
    {
      counters counts = {};
      simulation w (s, &counts);
      const uint64_t failed = w.run (prefix);
      if (failed == 0)
        continue;
      seed = failed < prefix || violation.empty () ? s : seed;
      prefix = failed;
      violation = w.violation ();
    }
  ADD_FAILURE () << "seed " << seed << " fails after " << prefix
                 << " events: " << violation;
}

TEST (FloorModel, NeverBelowTheFloorOverAllHosts)
{
  counters counts = {};
  const char *setting = getenv ("FLOOR_MODEL_EVENTS");
  const uint64_t events = setting ? strtoull (setting, nullptr, 10) : 1000000;
  for (uint64_t seed = 1; counts.events < events; seed++)
    {
      simulation w (seed, &counts);
      const uint64_t failed = w.run (20000);
      if (failed > 0)
        {
          report_shortest (seed, failed);
          return;
        }
    }
  printf ("events %lu ejected %lu freed %lu takeovers %lu lost-writes %lu "
          "two-owners %lu tight %lu outage-ejections %lu\n",
          counts.events, counts.ejected, counts.freed, counts.takeovers,
          counts.lost_writes, counts.two_owners, counts.at_floor,
          counts.outage_ejections);
  // The model must have covered the critical cases.
  EXPECT_GT (counts.ejected, events / 2000);
  EXPECT_GT (counts.takeovers, events / 2000);
  EXPECT_GT (counts.lost_writes, events / 5000);
  EXPECT_GT (counts.two_owners, events / 100);
  EXPECT_GT (counts.at_floor, events / 1000);
  EXPECT_GT (counts.outage_ejections, events / 20000);
}
}
