#include <gtest/gtest.h>

#include <numeric>
#include <vector>

extern "C"
{
#include "base/rng.h"
#include "policy/choice/demand_peak.h"
#include "policy/choice/slot_shares.h"
}

namespace
{

std::vector<uint32_t>
divide (uint32_t total, uint32_t overcommit_percent,
        std::vector<uint64_t> demand)
{
  const slot_shares_options options = { total, overcommit_percent };
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

TEST (slot_shares, stay_within_bounds_for_any_demand)
{
  struct rng rng;
  rng_seed (&rng, 17);
  for (int i = 0; i < 20000; i++)
    {
      std::vector<uint64_t> demand (1 + rng_below (&rng, 12));
      for (uint64_t &d : demand)
        d = rng_below (&rng, 4) == 0 ? 0 : rng_next (&rng) >> 8;
      const auto total = (uint32_t)rng_below (&rng, 400);
      const auto overcommit = (uint32_t)rng_below (&rng, 30);
      const auto shares = divide (total, overcommit, demand);
      const uint64_t given = (uint64_t)total * (100 + overcommit) / 100;
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

// If each of three hosts rounded its part of four slots down, slots would be
// left unused.
TEST (slot_shares, assign_every_slot_once)
{
  struct rng rng;
  rng_seed (&rng, 23);
  for (int i = 0; i < 20000; i++)
    {
      const auto parts
          = divide (1000, 0, { rng_below (&rng, 50) + 20, 30, 40 });
      const uint64_t key = rng_next (&rng);
      const auto total = 3 + (uint32_t)rng_below (&rng, 60);
      uint32_t from = 0, sum = 0, lifted = 0;
      for (const uint32_t part : parts)
        {
          const slot_share share = { from, part };
          const uint32_t slots = slot_share_of (&share, key, total);
          ASSERT_GE (slots, 1u);
          ASSERT_LE (slots, total);
          lifted += (uint32_t)(slots == 1);
          sum += slots;
          from += part;
        }
      ASSERT_GE (sum, total) << "seed 23, round " << i;
      ASSERT_LE (sum, total + lifted) << "seed 23, round " << i;
    }
}

TEST (demand_peak, holds_one_to_two_windows)
{
  demand_peak peak = {};
  const int64_t from_us = (int64_t)1000 * DEMAND_WINDOW_US;
  demand_peak_add (&peak, from_us + 10, 7);
  demand_peak_add (&peak, from_us + 20, 3);
  EXPECT_EQ (demand_peak_value (&peak, from_us + 20), 7u);
  demand_peak_add (&peak, from_us + DEMAND_WINDOW_US, 2);
  EXPECT_EQ (demand_peak_value (&peak, from_us + DEMAND_WINDOW_US), 7u);
  EXPECT_EQ (demand_peak_value (&peak, from_us + 2 * DEMAND_WINDOW_US), 2u);
  EXPECT_EQ (demand_peak_value (&peak, from_us + 3 * DEMAND_WINDOW_US), 0u);
}

}
