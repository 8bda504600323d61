#include <gtest/gtest.h>

extern "C"
{
#include "policy/choice/retry_budget.h"
}

namespace
{

/* Every request fails and every caller's request is tried again at once: the
 * targets get a multiple of the load just when they can't take it. */
TEST (retry_budget, a_storm_of_failures_gets_its_share_and_no_more)
{
  retry_budget b;
  retry_budget_init (&b);
  int granted = 0;
  for (int i = 0; i < 10000; i++)
    {
      retry_budget_request (&b, i * 100);
      granted += retry_budget_take (&b, i * 100, 20);
    }
  EXPECT_LE (granted, 2000 + RETRY_RESERVE);
  EXPECT_GE (granted, 1990);
}

TEST (retry_budget, a_quiet_service_can_retry)
{
  retry_budget b;
  retry_budget_init (&b);
  for (int i = 0; i < RETRY_RESERVE; i++)
    EXPECT_TRUE (retry_budget_take (&b, 1000, 0));
  EXPECT_FALSE (retry_budget_take (&b, 1000, 0));
}

TEST (retry_budget, old_requests_do_not_pay_for_new_retries)
{
  retry_budget b;
  retry_budget_init (&b);
  for (int i = 0; i < 1000; i++)
    retry_budget_request (&b, 1000000);
  int granted = 0;
  while (retry_budget_take (&b, 1000000 + 4 * RETRY_HALF_LIFE_US, 10))
    granted++;
  EXPECT_NEAR (granted, 1000 / 16 / 10 + RETRY_RESERVE, 1);
}

}
