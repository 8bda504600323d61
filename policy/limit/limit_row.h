/** @file
 * Rate limit of a target, as exchanged between hosts.
 */
#ifndef POLICY_LIMIT_LIMIT_ROW_H
#define POLICY_LIMIT_LIMIT_ROW_H

#include <stdint.h>

/** Times are relative, so that hosts need no common clock. */
struct limit_row
{
  uint64_t target;      /**< key of the target */
  uint32_t rate_millis; /**< thousandths of a request a second; 0: no limit */
  uint32_t sent_ago_ms; /**< time since the request was sent whose response set
                             the limit */
};

#endif
