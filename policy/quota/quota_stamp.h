/** @file
 * Timestamps of a host's own clock that other hosts echo.  A message that
 * echoes a stamp was sent after the time of the stamp.
 *
 * A stamp contains a nonce of the process, because a time of another machine's
 * clock, or of this machine's clock before a restart, would be meaningless.
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

/** Return a stamp of NOW_MS for the process with random number NONCE; never
 * 0. */
static inline uint64_t
quota_stamp_make (uint64_t nonce, int64_t now_ms)
{
  const uint64_t nonce_mask = (UINT64_C (1) << QUOTA_STAMP_NONCE_BITS) - 1;
  return ((nonce & nonce_mask) | 1) << QUOTA_STAMP_TIME_BITS
         | ((uint64_t)now_ms & ((UINT64_C (1) << QUOTA_STAMP_TIME_BITS) - 1));
}

/** Get the time of STAMP.
 * @return whether STAMP belongs to NONCE and isn't in the future */
static inline bool
quota_stamp_parse (uint64_t nonce, uint64_t stamp, int64_t now_ms,
                   int64_t *time_ms)
{
  *time_ms = (int64_t)(stamp & ((UINT64_C (1) << QUOTA_STAMP_TIME_BITS) - 1));
  return stamp == quota_stamp_make (nonce, *time_ms) && *time_ms <= now_ms;
}

#endif
