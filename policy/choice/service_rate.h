/** @file
 * How many requests a second leave the queue, measured.
 *
 * While requests wait, each slot given back serves one: the mean time between
 * such ends is the service's rate.  Before there is a measurement, it follows
 * from Little's law: attempts in flight over their latency.
 */
#ifndef POLICY_CHOICE_SERVICE_RATE_H
#define POLICY_CHOICE_SERVICE_RATE_H

#include <stdbool.h>
#include <stdint.h>

/** Mean time between two ends while requests wait. */
struct service_rate
{
  double interval_us;
  int64_t last_end_us;
  uint32_t samples;
  bool had_waiting; /**< requests waited since the last end */
};

void service_rate_init (struct service_rate *rate);

/** A slot came back; WAITING: requests wait for one. */
void service_rate_note_release (struct service_rate *rate, int64_t now_us,
                                bool waiting);

/** Mean time between two ends, in microseconds; longer when the last one is
 * so long ago that it can't be chance, so that a standstill shows before it
 * ends. */
double service_rate_interval_us (const struct service_rate *rate,
                                 int64_t now_us, uint32_t in_flight,
                                 double latency_us);

#endif
