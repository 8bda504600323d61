#include <gtest/gtest.h>

extern "C"
{
#include "policy/fleet/host_cleanup.h"
#include "policy/fleet/host_set.h"
}

/* Guards against several relays or none that remove the same record: among
   hosts with the same view of the fleet exactly one relay is responsible,
   and each relay gets a share of the records. */
TEST (HostCleanup, ExactlyOneRelayIsResponsible)
{
  fleet_host hosts[30];
  for (uint32_t i = 0; i < 30; i++)
    hosts[i] = { 100 + i, 1 + i % 3, 1 };
  fleet_choice relays;
  relays_choose (hosts, 30, 3, &relays);
  ASSERT_EQ (relays.count, 9u);
  size_t shares[30] = {};
  for (uint64_t subject = 1; subject <= 900; subject++)
    {
      size_t responsible = 0;
      for (uint32_t i = 0; i < 30; i++)
        if (host_cleanup_is_responsible (subject, hosts[i].key, hosts,
                                         &relays))
          {
            responsible++;
            shares[i]++;
          }
      EXPECT_EQ (responsible, 1u);
    }
  for (uint32_t i = 0; i < relays.count; i++)
    EXPECT_GT (shares[relays.hosts[i]], 50u);
  relays.count = 0;
  EXPECT_FALSE (host_cleanup_is_responsible (1, hosts[0].key, hosts, &relays));
}

TEST (HostCleanup, IsDueOnlyAfterWholeDelay)
{
  EXPECT_FALSE (host_cleanup_is_due (1000, 0, 100));
  EXPECT_FALSE (host_cleanup_is_due (1000, 901, 100));
  EXPECT_TRUE (host_cleanup_is_due (1000, 900, 100));
}

TEST (HostCleanup, HalfIsNotAMajority)
{
  EXPECT_FALSE (host_cleanup_is_majority (1, 2));
  EXPECT_FALSE (host_cleanup_is_majority (0, 0));
  EXPECT_TRUE (host_cleanup_is_majority (2, 3));
}
