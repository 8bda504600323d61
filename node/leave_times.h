/** @file
 * When a leaving host refuses requests, gives up those in flight, and ends.
 *
 * Callers and supervisors count from the sending of the signal, which a host
 * that wasn't scheduled reads late.  All that it knows is a span in which the
 * signal was sent.
 */
#ifndef NODE_LEAVE_TIMES_H
#define NODE_LEAVE_TIMES_H

#include <stdint.h>

/** Times of clock_now_ms(). */
struct leave_times
{
  /** New requests whose deadline is later than `give_up_ms`. */
  int64_t refuse_long_from_ms;
  int64_t refuse_from_ms; /**< all new requests */
  /** Final responses to requests in flight that were sent before
   * `refuse_long_from_ms`. */
  int64_t give_up_ms;
  int64_t give_up_all_ms; /**< final responses to the others */
  int64_t end_ms;         /**< of the process, whatever is still unwritten */
};

/** For a signal that was sent at EARLIEST_MS at the earliest and read at
 * READ_MS, by a host that has SHUTDOWN_MS to leave:
 *
 *   - Requests that come before `refuse_from_ms` were sent in the first half
 *     of SHUTDOWN_MS, and those that come before `refuse_long_from_ms` in its
 *     first three seconds as well.
 *   - None is given up before five sixths of SHUTDOWN_MS.
 *   - The process has a twentieth of SHUTDOWN_MS to exit in after `end_ms`, if
 *     the signal was read within a tenth of it. */
struct leave_times leave_times_of (uint32_t shutdown_ms, int64_t earliest_ms,
                                   int64_t read_ms);

/** `end_ms` of a host that gives up at NOW_MS: earlier if it was told not to
 * wait, and not at once if it wasn't scheduled at that time. */
int64_t leave_times_end_ms (const struct leave_times *times,
                            uint32_t shutdown_ms, int64_t now_ms);

#endif
