/** @file
 * How many requests this host may have at a target at the same time.
 *
 * The hosts of a set don't know how many slots of a target the others use, so
 * each may use more than its fair share of them.  While all hosts are busy,
 * the sum exceeds the slots, and the target queues what it can't start.
 * Requests with a short deadline then expire in its queue, behind others that
 * could wait longer.  The symptom is that a service without free slots serves
 * none of its requests with a short deadline.
 *
 * So the limit falls to the fair share while the target responds more slowly
 * than usual, and the requests wait at the host, which knows their deadlines.
 * It rises to the maximum again while the target responds as usual.
 */
#ifndef POLICY_CHOICE_SLOT_LIMIT_H
#define POLICY_CHOICE_SLOT_LIMIT_H

#include <stdint.h>

/** Bounds of a limit, in slots. */
struct slot_bounds
{
  uint32_t fair; /**< a share that the target never has to queue */
  uint32_t max;
};

struct slot_limit
{
  double latency_us; /**< moving average of a few responses; 0: none yet */
  /** Below the maximum by so many slots; 0 at first. */
  double reduction;
};

/** A response has arrived after LATENCY_US.  It usually takes USUAL_US; 0:
 * unknown. */
void slot_limit_observe (struct slot_limit *limit,
                         const struct slot_bounds *bounds, double latency_us,
                         double usual_us);

/** The limit in slots, within BOUNDS. */
uint32_t slot_limit_value (const struct slot_limit *limit,
                           const struct slot_bounds *bounds);

#endif
