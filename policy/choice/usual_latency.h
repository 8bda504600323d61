/** @file
 * How long a service's targets take to respond while they aren't overloaded.
 *
 * It follows the current latency downwards within seconds and upwards within
 * half a minute, so that an overload, which raises the latency of all targets
 * together, doesn't become usual.
 */
#ifndef POLICY_CHOICE_USUAL_LATENCY_H
#define POLICY_CHOICE_USUAL_LATENCY_H

#include <stdint.h>

struct usual_latency
{
  double latency_us; /**< 0: not known */
};

/** The targets' median latency was LATENCY_US (0: unknown) for ELAPSED_US. */
void usual_latency_update (struct usual_latency *usual, double latency_us,
                           int64_t elapsed_us);

#endif
