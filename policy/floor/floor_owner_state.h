/** @file
 * State of struct floor_owner, shared by its sources.  Internal.
 */
#ifndef POLICY_FLOOR_FLOOR_OWNER_STATE_H
#define POLICY_FLOOR_FLOOR_OWNER_STATE_H

#include "base/rng.h"
#include "policy/floor/floor_owner.h"
#include "policy/floor/floor_stored.h"

enum
{
  /* Maximum difference in rate between two clocks, and an allowance for
     rounding: time synchronisation slews by at most 500 parts per million, and
     this is twenty times that. */
  FLOOR_DRIFT_PERMILLE = 10,
  FLOOR_ROUNDING_MS = 2,
};

struct floor_owner
{
  struct floor_owner_options options;
  char host[FLOOR_NAME_SIZE];
  struct rng rng;
  enum floor_role role;
  bool releasing; /* is releasing ownership */

  struct floor_spec spec;
  bool has_spec;

  struct floor_stored stored;
  /* The claims with their current states; epoch, owner and amounts are those
     of the next record. */
  struct floor_record claims;

  /* Of the record that was taken over. */
  uint32_t takeover_hold_ms;
  bool takeover_settled;
  int64_t settles_at_ms; /* when decisions of earlier owners expire */

  int64_t authority_until_ms; /* until when decisions may be sent */
  uint64_t sequence;
  char (*announced)[FLOOR_NAME_SIZE]; /* targets of the current decision */
  size_t announced_count;

  enum floor_call call_in_flight;
  int64_t call_sent_ms;
  bool read_needed;
  bool counts_lost_claims; /* the next request is before lost_claims_end_ms */
  int64_t confirm_at_ms;   /* when to read the record to renew the authority */
  int64_t call_not_before_ms;
  uint32_t backoff_ms;
  uint64_t silent_epoch;
  uint64_t highest_epoch; /* reported by a record or another host */
  uint64_t stopped_epoch;
  /* Until then, claims that a restore of the platform lost may be enforced. */
  int64_t lost_claims_end_ms;
};

/* Returns how long claims may still be enforced after a takeover. */
uint32_t floor_owner_hold_ms (const struct floor_owner *owner);

/* Returns an upper bound of MS as measured by another clock. */
int64_t floor_drift_adjusted_ms (uint32_t ms);

/* Returns the capacity above the floor after all claims and the old
   reserve. */
int64_t floor_claims_slack (const struct floor_owner *owner);

/* Returns the reserve of the next record. */
uint64_t floor_claims_reserve (const struct floor_owner *owner);

/* Brings the claims up to date with the time, the settings and the known state
   of the platform, and the decision up to date with the claims. */
void floor_claims_refresh (struct floor_owner *owner, int64_t now_ms);

/* Releases one claim: a planned one at once, others when hosts no longer
   enforce it. */
void floor_claims_release (struct floor_owner *owner, int64_t now_ms,
                           struct floor_claim *claim);

/* Starts ownership with the claims of the known record. */
void floor_claims_begin_ownership (struct floor_owner *owner, int64_t now_ms);

/* Ends ownership. */
void floor_claims_end_ownership (struct floor_owner *owner);

#endif
