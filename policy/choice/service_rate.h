/** @file
 * The rate at which requests leave the queue.
 *
 * While requests wait, each released slot serves one, so the mean time
 * between releases gives the service rate.  Until there are enough samples it
 * follows from Little's law: attempts in flight divided by their latency.
 */
#ifndef POLICY_CHOICE_SERVICE_RATE_H
#define POLICY_CHOICE_SERVICE_RATE_H

#include <stdbool.h>
#include <stdint.h>

/** Mean time between two releases while requests wait. */
struct service_rate
{
  double interval_us;
  int64_t last_end_us;
  uint32_t samples;
  bool had_waiting; /**< requests were waiting at the last release */
};

void service_rate_init (struct service_rate *rate);

/** A slot was released; WAITING is true if requests wait for one. */
void service_rate_note_release (struct service_rate *rate, int64_t now_us,
                                bool waiting);

/** Mean time between two releases in microseconds.  It grows when the last
 * release is too long ago for chance, so that a stall shows before it ends. */
double service_rate_interval_us (const struct service_rate *rate,
                                 int64_t now_us, uint32_t in_flight,
                                 double latency_us);

#endif
