/** @file
 * The clock of a host: time since boot, including suspend.
 *
 * Leases are measured with it.  CLOCK_MONOTONIC stops while a machine is
 * suspended, so a holder that was suspended until after the expiry of its
 * lease would assume that the lease is still valid; CLOCK_BOOTTIME continues.
 */
#ifndef BASE_CLOCK_H
#define BASE_CLOCK_H

#include <stdint.h>

/** Microseconds since boot. */
int64_t clock_now_us (void);

/** Milliseconds since boot. */
int64_t clock_now_ms (void);

/** Milliseconds since the Unix epoch, for times that are stored or sent to
 * other hosts.  This clock may jump and differs slightly between hosts. */
int64_t clock_unix_ms (void);

#endif
