#include <gtest/gtest.h>

#include <string>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/floor/floor_spec.h"
}

namespace
{
// Settings list targets in any order; if the binary search missed one, it
// would count as no capacity.
TEST (FloorSpec, SortedCopyFindsAllTargets)
{
  struct rng rng;
  rng_seed (&rng, 41);
  floor_spec copy = {};
  for (int round = 0; round < 300; round++)
    {
      std::vector<floor_target> targets (rng_below (&rng, 40));
      for (size_t i = 0; i < targets.size (); i++)
        {
          snprintf (targets[i].name, FLOOR_NAME_SIZE, "t-%u-%zu",
                    (unsigned)rng_below (&rng, 1000), i);
          targets[i].capacity = 1 + (uint32_t)rng_below (&rng, 9);
          targets[i].active = rng_below (&rng, 5) > 0;
        }
      const floor_spec list
          = { 1, 0, false, targets.data (), targets.size (), false };
      floor_spec_assign (&copy, &list);
      EXPECT_EQ (floor_spec_capacity (&copy), floor_spec_capacity (&list));
      EXPECT_FALSE (floor_spec_has (&copy, "t-"));
      for (const auto &t : targets)
        {
          EXPECT_TRUE (floor_spec_has (&copy, t.name));
          EXPECT_EQ (floor_spec_active (&copy, t.name), t.active);
          EXPECT_EQ (floor_spec_capacity_of (&copy, t.name),
                     floor_spec_capacity_of (&list, t.name))
              << "seed 41, round " << round;
        }
    }
  floor_spec_clear (&copy);
}
}
