/** @file
 * Times on a host's own clock that it gives to others, to have them back with
 * what they send later: that was then sent after this time.
 *
 * A stamp holds the life of the process, since another machine's clock, or
 * this one's after a restart, would make any time of it.
 */
#ifndef POLICY_QUOTA_QUOTA_STAMP_H
#define POLICY_QUOTA_QUOTA_STAMP_H

#include <stdbool.h>
#include <stdint.h>

enum
{
  QUOTA_STAMP_TIME_BITS = 40, /* 34 years of milliseconds */
  QUOTA_STAMP_NONCE_BITS = 23,
};

/** A stamp of NOW_MS in the life LIFE, a random number; never 0. */
static inline uint64_t
quota_stamp_make (uint64_t life, int64_t now_ms)
{
  const uint64_t life_mask = (UINT64_C (1) << QUOTA_STAMP_NONCE_BITS) - 1;
  return ((life & life_mask) | 1) << QUOTA_STAMP_TIME_BITS
         | ((uint64_t)now_ms & ((UINT64_C (1) << QUOTA_STAMP_TIME_BITS) - 1));
}

/** The time of STAMP, if it is one of LIFE and not of the future.
 * @return whether it is */
static inline bool
quota_stamp_parse (uint64_t life, uint64_t stamp, int64_t now_ms,
                   int64_t *time_ms)
{
  *time_ms = (int64_t)(stamp & ((UINT64_C (1) << QUOTA_STAMP_TIME_BITS) - 1));
  return stamp == quota_stamp_make (life, *time_ms) && *time_ms <= now_ms;
}

#endif
