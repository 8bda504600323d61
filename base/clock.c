#include "base/clock.h"

#include <assert.h>
#include <time.h>

int64_t
clock_now_us (void)
{
  struct timespec now;
  const int rc = clock_gettime (CLOCK_BOOTTIME, &now);
  assert (rc == 0);
  (void)rc;
  return (int64_t)now.tv_sec * 1000000 + now.tv_nsec / 1000;
}

int64_t
clock_now_ms (void)
{
  return clock_now_us () / 1000;
}

int64_t
clock_unix_ms (void)
{
  struct timespec now;
  const int rc = clock_gettime (CLOCK_REALTIME, &now);
  assert (rc == 0);
  (void)rc;
  return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}
