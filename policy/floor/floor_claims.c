#include "policy/floor/floor_owner_state.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

int64_t
floor_drift_adjusted_ms (uint32_t ms)
{
  return (int64_t)ms + (int64_t)ms * FLOOR_DRIFT_PERMILLE / 1000
         + FLOOR_ROUNDING_MS;
}

static uint32_t
capacity_of (const struct floor_owner *owner, const struct floor_claim *claim)
{
  return floor_spec_capacity_of (&owner->spec, claim->target);
}

/* Can an earlier owner still eject the target of CLAIM? */
static bool
is_held (const struct floor_owner *owner, const struct floor_claim *claim)
{
  return claim->inherited && !owner->claims.settled;
}

/* Capacity above the floor after the old reserve and all claims, those left
   out that this owner's hosts give back by themselves if RELEASED. */
static int64_t
slack_after (const struct floor_owner *owner, bool released)
{
  int64_t slack = (int64_t)floor_spec_capacity (&owner->spec)
                  - (int64_t)owner->spec.floor_capacity
                  - (int64_t)owner->claims.old_reserve;
  for (size_t i = 0; i < owner->claims.claim_count; i++)
    {
      const struct floor_claim *claim = &owner->claims.claims[i];
      if (!released || claim->state != FLOOR_CLAIM_RELEASING
          || is_held (owner, claim))
        slack -= capacity_of (owner, claim);
    }
  return slack;
}

int64_t
floor_claims_slack (const struct floor_owner *owner)
{
  return slack_after (owner, false);
}

/* Half of what is above the floor, at least one target where that fits: all
   of it would let one lost owner block every ejection for its hold time,
   none would make every ejection wait for the platform. */
uint64_t
floor_claims_reserve (const struct floor_owner *owner)
{
  const int64_t slack = floor_claims_slack (owner);
  if (slack <= 0 || owner->spec.version < owner->stored.known.spec_version)
    return 0;
  uint64_t reserve = (uint64_t)slack / 2;
  for (size_t i = 0; i < owner->spec.count; i++)
    {
      const struct floor_target *target = &owner->spec.targets[i];
      if (target->active && target->capacity > reserve)
        reserve = target->capacity;
    }
  return reserve < (uint64_t)slack ? reserve : (uint64_t)slack;
}

/* The claim in STATE that is least (or, if WORST, most) bad. */
static struct floor_claim *
pick (struct floor_owner *owner, enum floor_claim_state state, bool worst)
{
  struct floor_claim *best = NULL;
  for (size_t i = 0; i < owner->claims.claim_count; i++)
    {
      struct floor_claim *claim = &owner->claims.claims[i];
      if (claim->state != state)
        continue;
      if (best == NULL || (claim->score > best->score) == worst)
        best = claim;
    }
  return best;
}

static void
release_claim (struct floor_owner *owner, int64_t now_ms,
               struct floor_claim *claim)
{
  claim->state = FLOOR_CLAIM_RELEASING;
  claim->manual = false;
  claim->free_at_ms
      = now_ms + floor_drift_adjusted_ms (owner->options.enforce_ms);
}

void
floor_claims_release (struct floor_owner *owner, int64_t now_ms,
                      struct floor_claim *claim)
{
  if (claim->state == FLOOR_CLAIM_PLANNED)
    floor_record_remove (&owner->claims, claim);
  else
    release_claim (owner, now_ms, claim);
}

/* Guards against two targets out where one was allowed: a host that missed
   the reinstatement of the first enforces it until its own time is over, and
   after a takeover hosts may still obey the earlier owner.  Only then is the
   capacity granted again. */
static void
free_released (struct floor_owner *owner, int64_t now_ms)
{
  for (size_t i = owner->claims.claim_count; i > 0; i--)
    {
      struct floor_claim *claim = &owner->claims.claims[i - 1];
      if (claim->state == FLOOR_CLAIM_RELEASING && !is_held (owner, claim)
          && claim->free_at_ms <= now_ms)
        floor_record_remove (&owner->claims, claim);
    }
}

static void
settle (struct floor_owner *owner, int64_t now_ms)
{
  if (owner->claims.settled || now_ms < owner->settles_at_ms)
    return;
  owner->claims.settled = true;
  owner->claims.old_reserve = 0;
  owner->claims.hold_ms
      = owner->options.authority_ms + owner->options.enforce_ms;
  for (size_t i = 0; i < owner->claims.claim_count; i++)
    owner->claims.claims[i].inherited = false;
}

static void
release_removed (struct floor_owner *owner, int64_t now_ms)
{
  for (size_t i = owner->claims.claim_count; i > 0; i--)
    {
      struct floor_claim *claim = &owner->claims.claims[i - 1];
      if (claim->state != FLOOR_CLAIM_RELEASING
          && !floor_spec_has (&owner->spec, claim->target))
        floor_claims_release (owner, now_ms, claim);
    }
}

/* Guards against a floor that was raised, or capacity that left, under
   targets already out: the least bad come back first until it holds.  What an
   earlier owner may still eject counts in full, as it may have changed its
   choice among its claims: two owners that each kept a part within the raised
   floor would breach it together. */
static void
shed (struct floor_owner *owner, int64_t now_ms)
{
  struct floor_claim *claim;
  while (floor_claims_slack (owner) < 0
         && (claim = pick (owner, FLOOR_CLAIM_PLANNED, false)) != NULL)
    floor_record_remove (&owner->claims, claim);
  while (slack_after (owner, true) < 0
         && (claim = pick (owner, FLOOR_CLAIM_EJECTED, false)) != NULL)
    release_claim (owner, now_ms, claim);
  while (floor_stored_min_reserve_left (&owner->stored, &owner->claims,
                                        &owner->spec, false)
             < 0
         && (claim = pick (owner, FLOOR_CLAIM_EJECTED, false)) != NULL)
    release_claim (owner, now_ms, claim);
}

/* Eject what is planned, worst first, as far as every record that the
   platform may hold covers it. */
static void
promote (struct floor_owner *owner)
{
  struct floor_claim *claim;
  while ((claim = pick (owner, FLOOR_CLAIM_PLANNED, true)) != NULL)
    {
      claim->state = FLOOR_CLAIM_EJECTED;
      if (floor_stored_min_reserve_left (&owner->stored, &owner->claims,
                                         &owner->spec, true)
          >= 0)
        continue;
      claim->state = FLOOR_CLAIM_PLANNED;
      return;
    }
}

/* Was TARGET told?  Most likely at PLACE, as both lists have one order. */
static bool
told (const struct floor_owner *owner, const char *target, size_t place)
{
  if (place < owner->announced_count
      && strcmp (owner->announced[place], target) == 0)
    return true;
  for (size_t i = 0; i < owner->announced_count; i++)
    if (strcmp (owner->announced[i], target) == 0)
      return true;
  return false;
}

static bool
decision_current (const struct floor_owner *owner)
{
  size_t count = 0;
  for (size_t i = 0; i < owner->claims.claim_count; i++)
    {
      const struct floor_claim *claim = &owner->claims.claims[i];
      if (claim->state != FLOOR_CLAIM_EJECTED)
        continue;
      if (!told (owner, claim->target, count))
        return false;
      count++;
    }
  return count == owner->announced_count;
}

static void
rebuild_decision (struct floor_owner *owner)
{
  if (decision_current (owner))
    return;
  owner->sequence++;
  owner->announced_count = 0;
  owner->announced
      = xreallocarray (owner->announced, owner->claims.claim_count + 1,
                       sizeof *owner->announced);
  for (size_t i = 0; i < owner->claims.claim_count; i++)
    if (owner->claims.claims[i].state == FLOOR_CLAIM_EJECTED)
      memcpy (owner->announced[owner->announced_count++],
              owner->claims.claims[i].target, FLOOR_NAME_SIZE);
}

void
floor_claims_refresh (struct floor_owner *owner, int64_t now_ms)
{
  if (owner->role != FLOOR_ROLE_OWNER)
    return;
  settle (owner, now_ms);
  free_released (owner, now_ms);
  release_removed (owner, now_ms);
  shed (owner, now_ms);
  promote (owner);
  rebuild_decision (owner);
}

/* Guards against an earlier owner that is frozen or cut off and doesn't know
   that it was replaced: what it had claimed stays claimed, what it might have
   ejected from its reserve counts as ejected, until it is surely over. */
void
floor_claims_begin_ownership (struct floor_owner *owner, int64_t now_ms)
{
  floor_record_assign (&owner->claims, &owner->stored.known);
  for (size_t i = 0; i < owner->claims.claim_count; i++)
    {
      struct floor_claim *claim = &owner->claims.claims[i];
      claim->inherited = true;
      claim->free_at_ms = now_ms;
      if (claim->state == FLOOR_CLAIM_PLANNED)
        claim->state = FLOOR_CLAIM_EJECTED;
    }
  owner->role = FLOOR_ROLE_OWNER;
  owner->releasing = false;
  owner->settles_at_ms
      = now_ms + floor_drift_adjusted_ms (owner->takeover_hold_ms);
  owner->sequence = 1;
  owner->announced_count = 0;
  floor_claims_refresh (owner, now_ms);
}

void
floor_claims_end_ownership (struct floor_owner *owner)
{
  owner->role = FLOOR_ROLE_NONE;
  owner->releasing = false;
  owner->announced_count = 0;
  owner->claims.claim_count = 0;
}
