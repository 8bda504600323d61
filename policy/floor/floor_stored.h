/** @file
 * All records that the platform may hold for a service.
 *
 * While the outcome of a write is unknown, the platform holds the record last
 * read or any of those written over it, and a delayed write may still replace
 * it.  All of them are conditional on the same version, so none can take
 * effect once a newer version is read.
 */
#ifndef POLICY_FLOOR_FLOOR_STORED_H
#define POLICY_FLOOR_FLOOR_STORED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/floor/floor_record.h"

/** Maximum number of separate writes of unknown outcome; beyond it two are
 * merged into one that allows only what both do. */
#define FLOOR_PENDING_WRITES_MAX 4

/** A pending write over the known record. */
struct floor_pending
{
  struct floor_record record;
  bool outcome_unknown; /**< without a result: may take effect at any time */
};

struct floor_stored
{
  struct floor_record known; /**< epoch 0: none exists */
  uint64_t version;
  struct floor_pending pending[FLOOR_PENDING_WRITES_MAX];
  size_t pending_count;
};

void floor_stored_clear (struct floor_stored *stored);

/** The platform holds RECORD (NULL: none) at VERSION.  Drops the pending
 * writes if the version changed. */
void floor_stored_observe (struct floor_stored *stored, uint64_t version,
                           const struct floor_record *record);

/** Makes the latest pending write the known record, at VERSION. */
void floor_stored_confirm (struct floor_stored *stored, uint64_t version);

/** Adds RECORD as the latest pending write and returns the copy. */
const struct floor_record *
floor_stored_push (struct floor_stored *stored,
                   const struct floor_record *record);

/** Returns the latest pending write, or NULL. */
struct floor_pending *floor_stored_newest (struct floor_stored *stored);

/** The latest pending write had no effect: drops it, unless the outcome of an
 * earlier attempt is unknown. */
void floor_stored_drop_unsent (struct floor_stored *stored);

/** Returns whether a write with WRITE_ID is pending. */
bool floor_stored_has_write (const struct floor_stored *stored,
                             uint64_t write_id);

/** Returns the smallest reserve that remains in any record the platform may
 * hold after the ejected (and, if COUNT_RELEASING, the releasing) ones of
 * CLAIMS that the record doesn't contain.  Negative: they aren't covered. */
int64_t floor_stored_min_reserve_left (const struct floor_stored *stored,
                                       const struct floor_record *claims,
                                       const struct floor_spec *spec,
                                       bool count_releasing);

#endif
