/** @file
 * One host's enforcement of a service's ejections.
 *
 * A decision holds for a time that starts when this host *sent* the poll it
 * answers, by this host's own clock (CLOCK_BOOTTIME).  So an answer that was
 * long under way, or was sent by an owner that was frozen in between,
 * enforces nothing that its owner no longer counts.
 */
#ifndef POLICY_FLOOR_FLOOR_VIEW_H
#define POLICY_FLOOR_FLOOR_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/floor/floor_decision.h"

struct floor_view;

struct floor_view *floor_view_create (void);
void floor_view_destroy (struct floor_view *view);

/** A decision came, as the answer to the poll this process sent at
 * POLL_MS (its clock).
 * @return true when the set of ejected targets changed. */
bool floor_view_apply (struct floor_view *view, int64_t now_ms,
                       int64_t poll_ms, const struct floor_decision *decision);

/** An epoch was heard of elsewhere: lower ones no longer refresh. */
void floor_view_epoch_seen (struct floor_view *view, uint64_t epoch);

/** @return true when enforcement lapsed, so the set is empty now. */
bool floor_view_tick (struct floor_view *view, int64_t now_ms);

/** Is TARGET out of work at NOW_MS? */
bool floor_view_ejected (const struct floor_view *view, int64_t now_ms,
                         const char *target);

/** The set in force as of the last event. */
size_t floor_view_targets (const struct floor_view *view,
                           const char (**targets)[FLOOR_NAME_SIZE]);

/** Highest epoch known; 0 is none. */
uint64_t floor_view_epoch (const struct floor_view *view);

/** When enforcement lapses unless refreshed; INT64_MIN when nothing holds. */
int64_t floor_view_until_ms (const struct floor_view *view);

#endif
