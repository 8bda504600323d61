/** @file
 * Enforcement of a service's ejections at one host.
 *
 * A decision is in force for a time that starts when this host *sent* the poll
 * it answers, by this host's own clock (CLOCK_BOOTTIME).  So a delayed answer,
 * or one sent by an owner that was suspended in between, enforces nothing that
 * its owner no longer counts.
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

/** Applies a decision, received as the answer to the poll that this process
 * sent at POLL_MS (its clock).
 * @return true if the set of ejected targets changed. */
bool floor_view_apply (struct floor_view *view, int64_t now_ms,
                       int64_t poll_ms, const struct floor_decision *decision);

/** Another host reported EPOCH: decisions of lower epochs are no longer
 * applied. */
void floor_view_epoch_seen (struct floor_view *view, uint64_t epoch);

/** Advances to NOW_MS.
 * @return true if enforcement expired, so the set is empty now. */
bool floor_view_tick (struct floor_view *view, int64_t now_ms);

/** Returns whether TARGET is ejected at NOW_MS. */
bool floor_view_ejected (const struct floor_view *view, int64_t now_ms,
                         const char *target);

/** Returns the set in force as of the last event. */
size_t floor_view_targets (const struct floor_view *view,
                           const char (**targets)[FLOOR_NAME_SIZE]);

/** Returns the highest known epoch; 0 if none. */
uint64_t floor_view_epoch (const struct floor_view *view);

/** Returns when enforcement expires unless renewed; INT64_MIN if nothing is in
 * force. */
int64_t floor_view_expires_ms (const struct floor_view *view);

#endif
