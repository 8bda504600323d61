#include <gtest/gtest.h>

extern "C"
{
#include "policy/choice/service_rate.h"
}

namespace
{

struct service_rate
busy_rate (int ends)
{
  struct service_rate rate;
  service_rate_init (&rate);
  for (int i = 1; i <= ends; i++)
    service_rate_note_release (&rate, i * 1000, true);
  return rate;
}

TEST (service_rate, follows_littles_law_before_it_is_measured)
{
  const struct service_rate rate = busy_rate (3);
  EXPECT_EQ (service_rate_interval_us (&rate, 4000, 5, 10000), 2000);
}

TEST (service_rate, is_the_mean_time_between_ends)
{
  const struct service_rate rate = busy_rate (100);
  EXPECT_NEAR (service_rate_interval_us (&rate, 100500, 5, 10000), 1000, 1);
}

/* All targets hang while requests wait.  The last rate would still suggest
   that the queue moves, and callers would wait until their deadlines. */
TEST (service_rate, stall_shows_before_it_ends)
{
  const struct service_rate rate = busy_rate (100);
  EXPECT_GT (service_rate_interval_us (&rate, 1100000, 5, 10000), 100000);
}

TEST (service_rate, idle_time_is_not_a_stall)
{
  struct service_rate rate = busy_rate (100);
  service_rate_note_release (&rate, 101000, false);
  EXPECT_NEAR (service_rate_interval_us (&rate, 1100000, 5, 10000), 1000, 1);
}

}
