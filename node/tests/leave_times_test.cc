#include <gtest/gtest.h>

#include <algorithm>

extern "C"
{
#include "node/leave_times.h"
}

namespace
{

constexpr uint32_t shutdown_ms = 6000;
constexpr int64_t read_at_ms = 1000000;
/* Later than this, the process may not end in time. */
constexpr int64_t late_max_ms = shutdown_ms / 10;

leave_times
times_of (int64_t late_ms)
{
  return leave_times_of (shutdown_ms, read_at_ms - late_ms, read_at_ms);
}

/* Guards against a host that gives up a part of its time for nothing. */
TEST (LeaveTimes, OfASignalReadAtOnce)
{
  const leave_times times = times_of (0);
  EXPECT_EQ (times.refuse_from_ms, read_at_ms + 3000);
  EXPECT_EQ (times.give_up_ms, read_at_ms + 5100);
  EXPECT_EQ (times.end_ms, read_at_ms + 5700);
}

/* Guards against requests taken that may not be broken off any more. */
TEST (LeaveTimes, TakesRequestsOfTheFirstHalfOnly)
{
  for (int64_t late_ms = 0; late_ms <= shutdown_ms; late_ms += 7)
    EXPECT_LE (times_of (late_ms).refuse_from_ms,
               read_at_ms - late_ms + shutdown_ms / 2);
}

/* Guards against a host with a long time to leave that takes requests which it
   may have to break off although they were sent late. */
TEST (LeaveTimes, TakesLongRequestsOfTheFirstThreeSecondsOnly)
{
  for (const uint32_t all_ms : { 2000u, 4000u, 6000u, 30000u })
    {
      const leave_times times
          = leave_times_of (all_ms, read_at_ms, read_at_ms);
      EXPECT_EQ (times.refuse_long_from_ms,
                 std::min (read_at_ms + 3000, times.refuse_from_ms));
    }
}

/* Guards against requests sent late that are given up with the others, or so
   late that their callers get no response. */
TEST (LeaveTimes, GivesUpLateRequestsLast)
{
  for (uint32_t all_ms = 60; all_ms < 40000; all_ms += 37)
    for (int64_t late_ms = 0; late_ms <= all_ms; late_ms += all_ms / 20)
      {
        const leave_times times
            = leave_times_of (all_ms, read_at_ms - late_ms, read_at_ms);
        EXPECT_GE (times.give_up_all_ms, times.give_up_ms) << all_ms;
        EXPECT_GT (times.end_ms, times.give_up_all_ms) << all_ms;
      }
  EXPECT_EQ (times_of (0).give_up_all_ms, read_at_ms + 5500);
}

/* Guards against requests broken off before the last sixth, whenever the
   signal was sent. */
TEST (LeaveTimes, GivesUpInTheLastSixth)
{
  for (uint32_t all_ms = 60; all_ms < 40000; all_ms += 37)
    for (int64_t late_ms = 0; late_ms <= all_ms; late_ms += all_ms / 20)
      {
        const leave_times times
            = leave_times_of (all_ms, read_at_ms - late_ms, read_at_ms);
        EXPECT_GE (6 * (times.give_up_ms - read_at_ms), 5 * all_ms);
        EXPECT_GT (times.end_ms, times.give_up_ms) << all_ms;
      }
}

/* Guards against a process that is killed before its last responses are
   written. */
TEST (LeaveTimes, EndsInTimeForASignalReadLate)
{
  for (int64_t late_ms = 0; late_ms <= late_max_ms; late_ms++)
    {
      const leave_times times = times_of (late_ms);
      EXPECT_LE (times.end_ms,
                 read_at_ms - late_ms + shutdown_ms - shutdown_ms / 20);
      EXPECT_GE (times.end_ms - times.give_up_ms, shutdown_ms / 60);
    }
}

/* Guards against responses that aren't written by a host that stood still when
   it had to give up, and against one that waits longer for it. */
TEST (LeaveTimes, EndDoesNotMoveWithALateGivingUp)
{
  const leave_times times = times_of (0);
  EXPECT_EQ (leave_times_end_ms (&times, shutdown_ms, times.give_up_ms),
             times.end_ms);
  EXPECT_EQ (leave_times_end_ms (&times, shutdown_ms, times.end_ms - 300),
             times.end_ms);
  EXPECT_EQ (leave_times_end_ms (&times, shutdown_ms, times.end_ms + 10),
             times.end_ms + 10 + shutdown_ms / 60);
  EXPECT_EQ (leave_times_end_ms (&times, shutdown_ms, read_at_ms + 500),
             read_at_ms + 500 + shutdown_ms / 10);
}

} // namespace
