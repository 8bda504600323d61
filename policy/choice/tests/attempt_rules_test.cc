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

/* A date hold times out, is sent to another target and runs at both: two
 * holds.  Only an attempt that surely ran nothing may be tried again. */
TEST (attempt_rules, each_end_allows_what_is_written_here)
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
      EXPECT_EQ (attempt_may_say_not_run (r.end), r.not_run);
    }
}

/* A page hangs at one target until its deadline, and no time is left for
 * another; or an honest answer is cut off and asked for again, and all targets
 * work twice when they are slow. */
TEST (attempt_rules, timeout_is_what_is_written_here)
{
  const int64_t second = 1000000;
  struct
  {
    int64_t typical_us;
    int64_t left_us;
    uint32_t attempts_left;
    int64_t timeout_us;
  } const rules[] = {
    /* the last attempt, or no time */
    { 1000, 10 * second, 0, ATTEMPT_NO_TIMEOUT },
    { 1000, 0, 2, ATTEMPT_NO_TIMEOUT },
    { 1000, 1, 2, ATTEMPT_NO_TIMEOUT },
    { 1000, -second, 2, ATTEMPT_NO_TIMEOUT },
    /* nothing known of the service */
    { 0, 10 * second, 1, 5 * second },
    { 0, 2, 1, 1 },
    /* no less than a second */
    { 1, 10 * second, 1, second },
    { second / 10, 10 * second, 1, second },
    { second / 10 + 1, 10 * second, 1, second + 10 },
    /* ten times the typical latency */
    { second / 5, 10 * second, 2, 2 * second },
    /* half the time left */
    { second / 2, 10 * second, 2, 5 * second },
    { second / 2 + 1, 10 * second, 2, 5 * second },
    { 1000, second, 2, second / 2 },
    /* half the time left is no more than honest answers take */
    { second, 10 * second, 2, 5 * second },
    { second + 1, 10 * second, 2, ATTEMPT_NO_TIMEOUT },
    { INT64_MAX, 10 * second, 2, ATTEMPT_NO_TIMEOUT },
    { INT64_MAX, INT64_MAX, 2, ATTEMPT_NO_TIMEOUT },
    { 1000, INT64_MAX, 2, second },
  };
  for (const auto &r : rules)
    EXPECT_EQ (attempt_timeout_us (r.typical_us, r.left_us, r.attempts_left),
               r.timeout_us)
        << r.typical_us << " " << r.left_us << " " << r.attempts_left;
}

}
