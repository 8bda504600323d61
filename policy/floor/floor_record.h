/** @file
 * The record of a service's ejections: the value of its `ejection` object at
 * the platform.
 *
 * It is the only state that all owners of a service share.  Each write of it
 * is conditional on the version it replaces and either keeps
 *
 *     capacity - claims - reserve - old reserve >= floor
 *
 * by the settings its writer has, or allows no more than the record it
 * replaces (so that after the floor was raised below the current ejections
 * they can be reduced step by step).
 */
#ifndef POLICY_FLOOR_FLOOR_RECORD_H
#define POLICY_FLOOR_FLOOR_RECORD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/status.h"
#include "policy/floor/floor_spec.h"

/** State of a claim. */
enum floor_claim_state
{
  FLOOR_CLAIM_PLANNED,   /**< requested; not yet sent to any host */
  FLOOR_CLAIM_EJECTED,   /**< ejected by the decision sent to hosts */
  FLOOR_CLAIM_RELEASING, /**< reinstated; some host may still enforce it */
};

/** A target that some host may enforce as ejected. */
struct floor_claim
{
  char target[FLOOR_NAME_SIZE];
  enum floor_claim_state state;
  bool manual;        /**< by an operator; only an operator reinstates it */
  uint32_t score;     /**< severity: the highest one stays ejected longest */
  int64_t free_at_ms; /**< RELEASING: when no host enforces it any more, by the
                         owner's clock; not in the JSON text */
  bool inherited;     /**< an earlier owner may still eject it; not in the JSON
                         text */
};

/** "planned", "ejected" or "releasing". */
const char *floor_claim_state_name (enum floor_claim_state state);

/** The record; it owns its claims. */
struct floor_record
{
  uint64_t epoch;              /**< increases by one at each change of owner */
  char owner[FLOOR_NAME_SIZE]; /**< host; "" when released */
  uint64_t incarnation;        /**< of the owner's process */
  uint64_t write_id;           /**< random; identifies the write */
  uint64_t spec_version;       /**< latest settings of its writers */
  uint64_t reserve;     /**< capacity this owner may eject without a write */
  uint64_t old_reserve; /**< capacity earlier owners may have ejected */
  uint32_t hold_ms;     /**< how long after a takeover claims made under this
                           record or earlier ones may still be enforced */
  bool settled;         /**< claims of earlier owners are no longer enforced */
  bool paused;          /**< an operator paused automatic ejection */
  struct floor_claim *claims;
  size_t claim_count;
};

void floor_record_assign (struct floor_record *to,
                          const struct floor_record *from);
void floor_record_clear (struct floor_record *record);

/** Returns the claim on TARGET, or NULL. */
struct floor_claim *floor_record_find (const struct floor_record *record,
                                       const char *target);

/** Adds a claim on TARGET, which must have none. */
struct floor_claim *floor_record_add (struct floor_record *record,
                                      const char *target);

/** Removes CLAIM, one of RECORD's. */
void floor_record_remove (struct floor_record *record,
                          struct floor_claim *claim);

/** Returns the capacity of all claims by SPEC. */
uint64_t floor_record_claimed_capacity (const struct floor_record *record,
                                        const struct floor_spec *spec);

/** Returns whether owner, settings, amounts and claims (target, manual, and
 * whether they are releasing) are the same; ignores write ids, scores and
 * times. */
bool floor_record_equivalent (const struct floor_record *a,
                              const struct floor_record *b);

/** Returns the JSON text, to be freed by the caller. */
char *floor_record_format (const struct floor_record *record);

/** Parses the JSON text into *RECORD, which must be zeroed or hold a record.
 */
enum status floor_record_parse (const char *text, struct floor_record *record);

#endif
