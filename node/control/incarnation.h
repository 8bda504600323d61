/** @file
 * What tells one start of a host from another.
 */
#ifndef NODE_CONTROL_INCARNATION_H
#define NODE_CONTROL_INCARNATION_H

#include <stdint.h>

/** The incarnation of a host that starts now: later starts have higher ones.
 * Hosts that start in one millisecond get different ones but for a chance of
 * one in 2^20.  At most INT64_MAX. */
uint64_t incarnation_make (void);

#endif
