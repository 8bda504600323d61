/** @file
 * Every record that the platform may hold for a service.
 *
 * While the end of a write is unknown, the platform holds the record last
 * seen or any of those written over it, and a late write may still take its
 * place.  All of them are conditional on the same version, so they are out of
 * question once a newer version is seen.
 */
#ifndef POLICY_FLOOR_FLOOR_STORED_H
#define POLICY_FLOOR_FLOOR_STORED_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "policy/floor/floor_record.h"

/** Most writes of unknown end kept apart; beyond it two become one that
 * allows only what both do. */
#define FLOOR_PENDING_WRITES_MAX 4

/** A write over the known record. */
struct floor_pending
{
  struct floor_record record;
  bool in_doubt; /**< sent once without an answer: may take effect any time */
};

struct floor_stored
{
  struct floor_record known; /**< epoch 0: none exists */
  uint64_t version;
  struct floor_pending pending[FLOOR_PENDING_WRITES_MAX];
  size_t pending_count;
};

void floor_stored_clear (struct floor_stored *possible);

/** The platform was seen to hold RECORD (NULL: none) at VERSION.  Drops the
 * pending writes when the version moved. */
void floor_stored_observe (struct floor_stored *possible, uint64_t version,
                           const struct floor_record *record);

/** The newest pending write became the known record, at VERSION. */
void floor_stored_confirm (struct floor_stored *possible, uint64_t version);

/** Add RECORD as the newest pending write; the copy is returned. */
const struct floor_record *
floor_stored_push (struct floor_stored *possible,
                   const struct floor_record *record);

/** The newest pending write, or NULL. */
struct floor_pending *floor_stored_newest (struct floor_stored *possible);

/** The newest pending write had no effect: forget it, unless an earlier
 * sending of it was lost. */
void floor_stored_drop_unsent (struct floor_stored *possible);

/** Is there a pending write with WRITE_ID? */
bool floor_stored_has_write (const struct floor_stored *possible,
                             uint64_t write_id);

/** Reserve left by the possible record that leaves least, when the ejected
 * (and, if COUNT_RELEASING, the releasing) ones of CLAIMS are paid from it.
 * Negative: they aren't covered. */
int64_t floor_stored_min_reserve_left (const struct floor_stored *possible,
                                       const struct floor_record *claims,
                                       const struct floor_spec *spec,
                                       bool count_releasing);

#endif
