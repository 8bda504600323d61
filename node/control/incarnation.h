/** @file
 * Incarnations, which distinguish the starts of a host and order them.
 */
#ifndef NODE_CONTROL_INCARNATION_H
#define NODE_CONTROL_INCARNATION_H

#include <stdint.h>

/** The incarnation of a host that starts now; later starts have higher ones.
 * Starts within the same millisecond get different ones, except with a
 * probability of one in 2^20.  At most INT64_MAX. */
uint64_t incarnation_make (void);

/** When INCARNATION was made, in milliseconds since 1970. */
int64_t incarnation_time_ms (uint64_t incarnation);

#endif
