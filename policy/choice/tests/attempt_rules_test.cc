#include <gtest/gtest.h>

extern "C"
{
#include "policy/choice/attempt_rules.h"
}

namespace
{

struct rule
{
  attempt_end end;
  bool unrepeatable;
  bool repeatable;
  bool not_run;
};

/* An unrepeatable request times out, is sent to another target and runs at
   both.  It may only be retried if the first attempt certainly ran nothing. */
TEST (attempt_rules, retry_rules_of_each_end)
{
  const rule rules[] = {
    { ATTEMPT_ANSWERED, false, false, false },
    { ATTEMPT_FAILED, false, true, false },
    { ATTEMPT_SHED, true, true, true },
    { ATTEMPT_NOT_SENT, true, true, true },
    { ATTEMPT_CUT, false, true, false },
    { ATTEMPT_TIMED_OUT, false, true, false },
    { ATTEMPT_CANCELLED, false, false, false },
  };
  for (const rule &r : rules)
    {
      EXPECT_EQ (service_policy_may_retry (r.end, false), r.unrepeatable);
      EXPECT_EQ (service_policy_may_retry (r.end, true), r.repeatable);
      EXPECT_EQ (attempt_may_report_not_run (r.end), r.not_run);
    }
}

}
