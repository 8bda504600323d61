/** @file
 * Requests at a host that is leaving: one that may not end in time is refused
 * before a target has received a byte of it.
 */
#ifndef NODE_CALLER_EXCHANGE_LEAVE_H
#define NODE_CALLER_EXCHANGE_LEAVE_H

#include "node/caller/exchange.h"

/** Check X, which is about to be admitted.  At a leaving host a body that fits
 * the buffer is awaited whole, as its end may come too late.
 * @return false if X was refused or waits */
bool exchange_leave_check (struct exchange *x);

/** The body that X waits for in exchange_leave_check() is whole, or doesn't
 * fit the buffer. */
bool exchange_leave_is_ready (const struct exchange *x);

/** Whether X, not sent to a target yet, would take so long there that it would
 * be given up. */
bool exchange_leave_is_too_long (const struct exchange *x,
                                 uint32_t expected_us);

void exchange_leave_refuse (struct exchange *x);

/** Refuse X if it waits, no target has received a byte of it, and it is too
 * late to send it. */
void exchange_leave_refuse_waiting (struct exchange *x);

/** Whether X was sent by its caller so late that it may not be given up while
 * a target works on it; also if its body isn't whole yet. */
bool exchange_leave_was_sent_late (const struct exchange *x);

#endif
