#include "node/leave_times.h"

enum
{
  /* Requests sent later may not be given up. */
  TAKEN_MAX_MS = 3000,
  TAKEN_DIVISOR = 2,
  /* Requests sent earlier may, in the last sixth. */
  GIVE_UP_NUMERATOR = 5,
  GIVE_UP_DENOMINATOR = 6,
  /* Beyond this the end isn't moved: final responses would have no time. */
  LATE_DIVISOR = 10,
  /* For final responses; at least what is left of the last sixth beside the
     time to exit, if the signal was read late. */
  FINAL_RESPONSES_DIVISOR = 10,
  FINAL_RESPONSES_MIN_DIVISOR = 60,
  /* For those to requests that may not be given up earlier. */
  LATE_RESPONSES_DIVISOR = 30,
  EXIT_DIVISOR = 20,
};

static int64_t
min_of (int64_t a, int64_t b)
{
  return a < b ? a : b;
}

static int64_t
max_of (int64_t a, int64_t b)
{
  return a > b ? a : b;
}

struct leave_times
leave_times_of (uint32_t shutdown_ms, int64_t earliest_ms, int64_t read_ms)
{
  const int64_t all_ms = shutdown_ms;
  const int64_t late_ms
      = min_of (max_of (read_ms - earliest_ms, 0), all_ms / LATE_DIVISOR);
  const int64_t end_ms = read_ms - late_ms + all_ms - all_ms / EXIT_DIVISOR;
  /* Rounded up. */
  const int64_t earliest_end_ms
      = (all_ms * GIVE_UP_NUMERATOR + GIVE_UP_DENOMINATOR - 1)
        / GIVE_UP_DENOMINATOR;
  const int64_t give_up_ms = max_of (
      read_ms + earliest_end_ms, end_ms - all_ms / FINAL_RESPONSES_DIVISOR);
  return (struct leave_times){
    .refuse_long_from_ms
    = earliest_ms + min_of (all_ms / TAKEN_DIVISOR, TAKEN_MAX_MS),
    .refuse_from_ms = earliest_ms + all_ms / TAKEN_DIVISOR,
    .give_up_ms = give_up_ms,
    .give_up_all_ms
    = max_of (give_up_ms, end_ms - all_ms / LATE_RESPONSES_DIVISOR),
    .end_ms = end_ms,
  };
}

int64_t
leave_times_end_ms (const struct leave_times *times, uint32_t shutdown_ms,
                    int64_t now_ms)
{
  const int64_t last_ms = max_of (
      times->end_ms, now_ms + shutdown_ms / FINAL_RESPONSES_MIN_DIVISOR);
  return min_of (last_ms, now_ms + shutdown_ms / FINAL_RESPONSES_DIVISOR);
}
