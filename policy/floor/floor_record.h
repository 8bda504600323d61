/** @file
 * The record of a service's ejections: the value of its `ejection` object at
 * the platform.
 *
 * It is the one place that all owners of a service share.  Each write of it
 * is conditional on the version it replaces and either keeps
 *
 *     capacity - claims - reserve - old reserve >= floor
 *
 * by the settings its writer knows, or adds nothing to what the record it
 * replaces allowed (so that a floor raised under ejections can be written
 * down step by step).
 */
#ifndef POLICY_FLOOR_FLOOR_RECORD_H
#define POLICY_FLOOR_FLOOR_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "policy/floor/floor_spec.h"

/** Where a claim stands. */
enum floor_claim_state
{
  FLOOR_CLAIM_PLANNED,   /**< wanted; no host has been told */
  FLOOR_CLAIM_EJECTED,   /**< hosts are told to give it no work */
  FLOOR_CLAIM_RELEASING, /**< reinstated; some host may not know yet */
};

/** A target that may be out of work on some host. */
struct floor_claim
{
  char target[FLOOR_NAME_SIZE];
  enum floor_claim_state state;
  bool manual;        /**< by an operator; only an operator reinstates it */
  uint32_t score;     /**< how bad it is: the worst is kept out longest */
  int64_t free_at_ms; /**< RELEASING: when no host enforces it any more, by
                        the owner's clock; not part of the text form */
  bool inherited;     /**< an earlier owner may still enforce it; likewise */
};

/** "planned", "ejected" or "releasing". */
const char *floor_claim_state_name (enum floor_claim_state state);

/** The record; strings and claims are its own. */
struct floor_record
{
  uint64_t epoch;              /**< grows by one at each change of owner */
  char owner[FLOOR_NAME_SIZE]; /**< host; "" when released */
  uint64_t incarnation;        /**< of the owner's process */
  uint64_t write_id;           /**< random; tells whose write this is */
  uint64_t spec_version;       /**< newest settings its writers knew */
  uint64_t reserve;     /**< capacity this owner may eject without asking */
  uint64_t old_reserve; /**< capacity earlier owners may still have spent */
  uint32_t hold_ms;     /**< how long after a takeover claims made under this
                             record or earlier ones may still be enforced */
  bool settled;         /**< no earlier owner's claims can still be enforced */
  bool paused;          /**< an operator stopped automatic ejection */
  struct floor_claim *claims;
  size_t claim_count;
};

void floor_record_assign (struct floor_record *to,
                          const struct floor_record *from);
void floor_record_clear (struct floor_record *record);

/** The claim on TARGET, or NULL. */
struct floor_claim *floor_record_find (const struct floor_record *record,
                                       const char *target);

/** Add a claim on TARGET, which has none. */
struct floor_claim *floor_record_add (struct floor_record *record,
                                      const char *target);

/** Drop CLAIM, one of RECORD's. */
void floor_record_remove (struct floor_record *record,
                          struct floor_claim *claim);

/** Capacity of all claims by SPEC. */
uint64_t floor_record_claimed_capacity (const struct floor_record *record,
                                        const struct floor_spec *spec);

/** Same owner, settings, amounts and claims (target, state, manual), whatever
 * the write id, scores and times. */
bool floor_record_equivalent (const struct floor_record *a,
                              const struct floor_record *b);

/** The JSON text, in new memory. */
char *floor_record_format (const struct floor_record *record);

/** Read the JSON text into *RECORD, which must be zeroed or hold a record. */
enum status floor_record_parse (const char *text, struct floor_record *record);

#endif
