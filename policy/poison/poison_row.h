/** @file
 * State of a request that may crash targets, as exchanged between hosts.
 */
#ifndef POLICY_POISON_POISON_ROW_H
#define POLICY_POISON_POISON_ROW_H

#include <stdint.h>

#include "base/fingerprint.h"

/** A crash (`target` is not 0), a block (`strikes` is not 0) or a cleared
 * request (both are 0).  Times are relative, so that hosts need no common
 * clock. */
struct poison_row
{
  struct fingerprint fingerprint;
  uint64_t target;         /**< key of the target that crashed */
  uint32_t epoch;          /**< number of times the request was cleared */
  uint32_t strikes;        /**< number of times it was blocked */
  uint32_t left_ms;        /**< remaining time of the block */
  uint32_t sent_ago_ms;    /**< time since it was sent to the target */
  uint32_t crashed_ago_ms; /**< time since the connection broke */
};

#endif
