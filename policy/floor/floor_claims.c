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

/* Returns whether an earlier owner may still eject the target of CLAIM. */
static bool
is_enforced_by_predecessor (const struct floor_owner *owner,
                            const struct floor_claim *claim)
{
  return claim->inherited && !owner->claims.settled;
}

/* Returns the capacity above the floor after the old reserve and all claims,
   if WITHOUT_RELEASED without the releasing ones that expire at the hosts of
   this owner. */
static int64_t
slack_after (const struct floor_owner *owner, bool without_released)
{
  int64_t slack = (int64_t)floor_spec_capacity (&owner->spec)
                  - (int64_t)owner->spec.floor_capacity
                  - (int64_t)owner->claims.old_reserve;
  for (size_t i = 0; i < owner->claims.claim_count; i++)
    {
      const struct floor_claim *claim = &owner->claims.claims[i];
      if (!without_released || claim->state != FLOOR_CLAIM_RELEASING
          || is_enforced_by_predecessor (owner, claim))
        slack -= capacity_of (owner, claim);
    }
  return slack;
}

int64_t
floor_claims_slack (const struct floor_owner *owner)
{
  return slack_after (owner, false);
}

/* Half of the capacity above the floor, but at least that of the largest
   target if it fits: with all of it a single unreachable owner would block
   every ejection for its hold time, and with none every ejection would wait
   for the platform. */
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

/* Returns the claim in STATE with the lowest (or, if HIGHEST, highest)
   score. */
static struct floor_claim *
find_by_score (struct floor_owner *owner, enum floor_claim_state state,
               bool highest)
{
  struct floor_claim *best = NULL;
  for (size_t i = 0; i < owner->claims.claim_count; i++)
    {
      struct floor_claim *claim = &owner->claims.claims[i];
      if (claim->state != state)
        continue;
      if (best == NULL || (claim->score > best->score) == highest)
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

/* A host that missed a reinstatement enforces the ejection until its own time
   ends, and after a takeover hosts may still obey the earlier owner.  The
   capacity is granted again only after that; earlier, two targets could be
   ejected where one is allowed. */
static void
free_released (struct floor_owner *owner, int64_t now_ms)
{
  for (size_t i = owner->claims.claim_count; i > 0; i--)
    {
      struct floor_claim *claim = &owner->claims.claims[i - 1];
      if (claim->state == FLOOR_CLAIM_RELEASING
          && !is_enforced_by_predecessor (owner, claim)
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

/* If the floor is raised or capacity is lost under existing ejections, the
   targets with the lowest score are returned first until the floor holds.
   What an earlier owner may still eject counts in full, as it may have changed
   its choice among its claims: two owners that each kept a part within the
   raised floor would breach it together. */
static void
release_excess (struct floor_owner *owner, int64_t now_ms)
{
  struct floor_claim *claim;
  while (floor_claims_slack (owner) < 0
         && (claim = find_by_score (owner, FLOOR_CLAIM_PLANNED, false))
                != NULL)
    floor_record_remove (&owner->claims, claim);
  while (slack_after (owner, true) < 0
         && (claim = find_by_score (owner, FLOOR_CLAIM_EJECTED, false))
                != NULL)
    release_claim (owner, now_ms, claim);
  while (floor_stored_min_reserve_left (&owner->stored, &owner->claims,
                                        &owner->spec, false)
             < 0
         && (claim = find_by_score (owner, FLOOR_CLAIM_EJECTED, false))
                != NULL)
    release_claim (owner, now_ms, claim);
}

/* Ejects planned targets, highest score first, as long as every record that
   the platform may hold covers them. */
static void
eject_planned (struct floor_owner *owner)
{
  struct floor_claim *claim;
  while ((claim = find_by_score (owner, FLOOR_CLAIM_PLANNED, true)) != NULL)
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

/* Returns whether TARGET is in the current decision.  It is most likely at
   INDEX, as both lists are in the same order. */
static bool
is_announced (const struct floor_owner *owner, const char *target,
              size_t index)
{
  if (index < owner->announced_count
      && strcmp (owner->announced[index], target) == 0)
    return true;
  for (size_t i = 0; i < owner->announced_count; i++)
    if (strcmp (owner->announced[i], target) == 0)
      return true;
  return false;
}

static bool
decision_is_current (const struct floor_owner *owner)
{
  size_t count = 0;
  for (size_t i = 0; i < owner->claims.claim_count; i++)
    {
      const struct floor_claim *claim = &owner->claims.claims[i];
      if (claim->state != FLOOR_CLAIM_EJECTED)
        continue;
      if (!is_announced (owner, claim->target, count))
        return false;
      count++;
    }
  return count == owner->announced_count;
}

static void
rebuild_decision (struct floor_owner *owner)
{
  if (decision_is_current (owner))
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
  release_excess (owner, now_ms);
  eject_planned (owner);
  rebuild_decision (owner);
}

/* An earlier owner that is suspended or can't reach the platform doesn't know
   that it was replaced.  Until its decisions have expired, its claims stay,
   and what it may have ejected from its reserve counts as ejected; otherwise
   both owners together could breach the floor. */
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
