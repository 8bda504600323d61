/** @file
 * The one clock of a host: time since boot, suspension included.
 *
 * Leases are judged by it.  CLOCK_MONOTONIC stands still while a machine is
 * suspended, so a holder that slept through its lease would believe that it
 * still holds it; CLOCK_BOOTTIME goes on.
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
