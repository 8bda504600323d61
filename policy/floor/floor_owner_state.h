/** @file
 * Inside of floor_owner.h, shared by its sources only.
 */
#ifndef POLICY_FLOOR_FLOOR_OWNER_STATE_H
#define POLICY_FLOOR_FLOOR_OWNER_STATE_H

#include "base/rng.h"
#include "policy/floor/floor_owner.h"
#include "policy/floor/floor_stored.h"

enum
{
  /* What two clocks may differ by in rate, and a bit for rounding: five
     hundred parts in a million is the most that time synchronisation slews,
     and this is twenty times that. */
  FLOOR_DRIFT_PERMILLE = 10,
  FLOOR_ROUNDING_MS = 2,
};

struct floor_owner
{
  struct floor_owner_options options;
  char host[FLOOR_NAME_SIZE];
  struct rng rng;
  enum floor_role role;
  bool releasing; /* gives up ownership in good order */

  struct floor_spec spec;
  bool has_spec;

  struct floor_stored stored;
  /* The claims as they truly are; epoch, owner and amounts as the next
     record will have them. */
  struct floor_record claims;

  /* Of the record that was taken over. */
  uint32_t takeover_hold_ms;
  bool takeover_settled;
  int64_t settles_at_ms; /* when earlier owners are surely over */

  int64_t authority_until_ms; /* until when decisions may be told */
  uint64_t sequence;
  char (*announced)[FLOOR_NAME_SIZE]; /* as last told */
  size_t announced_count;

  enum floor_call call_in_flight;
  int64_t call_sent_ms;
  bool must_read;
  int64_t confirm_at_ms; /* when to read the record just to stay owner */
  int64_t call_not_before_ms;
  uint32_t backoff_ms;
  uint64_t silent_epoch;
  uint64_t highest_epoch; /* heard of anywhere */
  uint64_t stopped_epoch;
};

/* MS as another clock may count it at most. */
int64_t floor_drift_adjusted_ms (uint32_t ms);

/* Capacity above the floor after all claims and the old reserve. */
int64_t floor_claims_slack (const struct floor_owner *owner);

/* The reserve the next record should have. */
uint64_t floor_claims_reserve (const struct floor_owner *owner);

/* Bring the claims up to date with time, settings and what the platform is
   known to hold, and the decision with the claims. */
void floor_claims_refresh (struct floor_owner *owner, int64_t now_ms);

/* Bring one claim back: a planned one at once, others in time. */
void floor_claims_release (struct floor_owner *owner, int64_t now_ms,
                           struct floor_claim *claim);

/* Become owner of the known record. */
void floor_claims_begin_ownership (struct floor_owner *owner, int64_t now_ms);

/* No longer owner. */
void floor_claims_end_ownership (struct floor_owner *owner);

#endif
