#include "node/control/incarnation.h"

#include <time.h>

#include "base/rng.h"

enum
{
  CHANCE_BITS = 20,
};

/* Guards against a host that is started again at once and isn't listened to:
   its peers take what carries a lower incarnation for late words of the
   former start.  Shows as a restarted host that nobody hands out.  The time
   stands in the high part, in milliseconds: no two starts share one.  It
   holds as long as clocks don't go back by more than lies between two starts
   of a host. */
uint64_t
incarnation_make (void)
{
  uint32_t chance;
  struct timespec now;
  rng_secure_bytes (&chance, sizeof chance);
  clock_gettime (CLOCK_REALTIME, &now);
  const uint64_t now_ms
      = (uint64_t)now.tv_sec * 1000 + (uint64_t)now.tv_nsec / 1000000;
  const uint64_t bits = chance & ((1u << CHANCE_BITS) - 1);
  return now_ms << CHANCE_BITS | bits;
}
