#include "node/control/incarnation.h"

#include <time.h>

#include "base/rng.h"

enum
{
  RANDOM_BITS = 20,
};

/* Peers ignore messages with a lower incarnation as delayed ones of an
   earlier start.  A restarted host whose incarnation isn't higher would be
   ignored and not handed out.  The high bits are the time in milliseconds, so
   that later starts have higher values, provided that the clock doesn't go
   back by more than the time between two starts of the host. */
uint64_t
incarnation_make (void)
{
  uint32_t random;
  struct timespec now;
  rng_secure_bytes (&random, sizeof random);
  clock_gettime (CLOCK_REALTIME, &now);
  const uint64_t now_ms
      = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
  const uint64_t bits = random & ((1u << RANDOM_BITS) - 1);
  return now_ms << RANDOM_BITS | bits;
}

int64_t
incarnation_time_ms (uint64_t incarnation)
{
  return (int64_t)(incarnation >> RANDOM_BITS);
}
