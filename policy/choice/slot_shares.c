#include "policy/choice/slot_shares.h"

#include <stdbool.h>

enum
{
  PERMILLE = 1000
};

static uint64_t
demand_of (const uint64_t *demand, size_t i, bool equal)
{
  return equal ? 1 : demand[i];
}

static uint64_t
demand_sum (const uint64_t *demand, size_t count)
{
  uint64_t sum = 0;
  for (size_t i = 0; i < count; i++)
    sum += demand[i];
  return sum;
}

/* The host furthest below its exact share of SPARE.  Ties go to the first,
   so that every host computes the same result. */
static size_t
furthest_below (const uint64_t *demand, size_t count, bool equal,
                uint64_t spare, uint64_t sum, const uint32_t *shares)
{
  size_t best = 0;
  __int128 best_deficit = 0;
  for (size_t i = 0; i < count; i++)
    {
      const __int128 exact = (__int128)spare * demand_of (demand, i, equal);
      const __int128 deficit = exact - (__int128)(shares[i] - 1) * sum;
      if (i == 0 || deficit > best_deficit)
        {
          best = i;
          best_deficit = deficit;
        }
    }
  return best;
}

void
slot_shares_divide (const struct slot_shares_options *options,
                    const uint64_t *demand, size_t count, uint32_t *shares)
{
  if (count == 0)
    return;
  const uint64_t available
      = (uint64_t)options->total * (100 + options->overcommit_percent) / 100;
  const uint64_t spare = available > count ? available - count : 0;
  const bool equal = demand_sum (demand, count) == 0;
  const uint64_t sum = equal ? count : demand_sum (demand, count);
  uint64_t remaining = spare;
  for (size_t i = 0; i < count; i++)
    {
      const unsigned __int128 exact
          = (unsigned __int128)spare * demand_of (demand, i, equal);
      const uint32_t whole = (uint32_t)(exact / sum);
      shares[i] = 1 + whole;
      remaining -= whole;
    }
  for (; remaining > 0; remaining--)
    shares[furthest_below (demand, count, equal, spare, sum, shares)]++;
}

/* Rounding down each host's share would leave slots unused: three hosts
   would get one each of four.  Rounding the ends of the intervals instead
   assigns every slot once.  The key shifts the line, so that different
   hosts get the extra slots at different targets. */
uint32_t
slot_share_of (const struct slot_share *share, uint64_t key, uint32_t total)
{
  const uint64_t from = key % PERMILLE + share->from_permille;
  const uint64_t to = from + share->permille;
  const uint64_t slots = to * total / PERMILLE - from * total / PERMILLE;
  if (slots < 1)
    return 1;
  return slots < total ? (uint32_t)slots : total;
}
