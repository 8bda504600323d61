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
 * So the limit falls to the fair share while all targets together are
 * overloaded, and the requests wait at the host, which knows their deadlines.
 * It rises to the maximum again afterwards.
 */
#ifndef POLICY_CHOICE_SLOT_LIMIT_H
#define POLICY_CHOICE_SLOT_LIMIT_H

#include <stdbool.h>
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

/** A response of the target. */
struct slot_response
{
  double latency_us;
  double usual_us;    /**< latency that is usual; 0: unknown */
  uint32_t in_flight; /**< requests of this host there, this one included */
  bool is_busy;       /**< this host has more requests in flight than its fair
                           shares of all targets */
};

/** The fair share of one of HOSTS hosts in a target's SLOTS, at least 1.  A
 * set with more hosts than the target has slots exceeds them by the
 * difference. */
uint32_t slot_limit_fair_share (uint32_t slots, uint32_t hosts);

/** RESPONSE has arrived.  The limit falls only while this host exceeds its
 * fair share of the target and of all targets together: otherwise the target
 * is slow for another reason, or others have room. */
void slot_limit_observe (struct slot_limit *limit,
                         const struct slot_bounds *bounds,
                         const struct slot_response *response);

/** The limit in slots, within BOUNDS. */
uint32_t slot_limit_value (const struct slot_limit *limit,
                           const struct slot_bounds *bounds);

#endif
