#include <gtest/gtest.h>

#include <numeric>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/choice/slot_shares.h"
}

namespace
{

std::vector<uint32_t>
divide (uint32_t total, uint32_t over, std::vector<uint64_t> demand)
{
  const slot_shares_options options = { total, over };
  std::vector<uint32_t> shares (demand.size ());
  slot_shares_divide (&options, demand.data (), demand.size (),
                      shares.data ());
  return shares;
}

TEST (slot_shares, follow_demand)
{
  EXPECT_EQ (divide (20, 0, { 30, 10, 0 }),
             (std::vector<uint32_t>{ 14, 5, 1 }));
  EXPECT_EQ (divide (20, 10, { 0, 0 }), (std::vector<uint32_t>{ 11, 11 }));
  EXPECT_EQ (divide (5, 0, { 9, 1, 1, 1, 1, 1, 1 }),
             (std::vector<uint32_t> (7, 1)));
}

TEST (slot_shares, keep_their_bounds_for_any_demand)
{
  struct rng rng;
  rng_seed (&rng, 17);
  for (int i = 0; i < 20000; i++)
    {
      std::vector<uint64_t> demand (1 + rng_below (&rng, 12));
      for (uint64_t &d : demand)
        d = rng_below (&rng, 4) == 0 ? 0 : rng_next (&rng) >> 8;
      const auto total = (uint32_t)rng_below (&rng, 400);
      const auto over = (uint32_t)rng_below (&rng, 30);
      const auto shares = divide (total, over, demand);
      const uint64_t given = (uint64_t)total * (100 + over) / 100;
      const uint64_t sum
          = std::accumulate (shares.begin (), shares.end (), (uint64_t)0);
      ASSERT_EQ (sum, std::max<uint64_t> (given, demand.size ()))
          << "seed 17, round " << i;
      for (size_t a = 0; a < demand.size (); a++)
        {
          ASSERT_GE (shares[a], 1u);
          for (size_t b = 0; b < demand.size (); b++)
            ASSERT_TRUE (demand[a] <= demand[b] || shares[a] >= shares[b])
                << "seed 17, round " << i;
        }
    }
}

}
