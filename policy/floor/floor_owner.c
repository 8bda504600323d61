#include "policy/floor/floor_owner.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"
#include "policy/floor/floor_owner_state.h"

static const char *const eject_result_names[]
    = { [FLOOR_EJECT_EJECTED] = "ejected",
        [FLOOR_EJECT_PLANNED] = "planned",
        [FLOOR_EJECT_ALREADY] = "already",
        [FLOOR_EJECT_BELOW_FLOOR] = "floor",
        [FLOOR_EJECT_PAUSED] = "paused",
        [FLOOR_EJECT_NO_SUCH_TARGET] = "no-such-target",
        [FLOOR_EJECT_NOT_OWNER] = "not-owner",
        [FLOOR_EJECT_SETTINGS_BEHIND] = "settings-behind" };

const char *
floor_eject_result_name (enum floor_eject_result result)
{
  return eject_result_names[result];
}

struct floor_owner *
floor_owner_create (const struct floor_owner_options *options)
{
  struct floor_owner *owner = xcalloc (1, sizeof *owner);
  owner->options = *options;
  snprintf (owner->host, sizeof owner->host, "%s", options->host);
  owner->options.host = owner->host;
  owner->backoff_ms = options->retry_ms;
  rng_seed (&owner->rng, options->seed);
  return owner;
}

void
floor_owner_destroy (struct floor_owner *owner)
{
  if (owner == NULL)
    return;
  floor_spec_clear (&owner->spec);
  floor_stored_clear (&owner->stored);
  floor_record_clear (&owner->claims);
  free (owner->announced);
  free (owner);
}

void
floor_owner_set_spec (struct floor_owner *owner, int64_t now_ms,
                      const struct floor_spec *spec)
{
  if (owner->has_spec && spec->version < owner->spec.version)
    return;
  floor_spec_assign (&owner->spec, spec);
  owner->has_spec = true;
  floor_claims_refresh (owner, now_ms);
}

void
floor_owner_set_candidate (struct floor_owner *owner, int64_t now_ms,
                           bool candidate, uint64_t silent_epoch)
{
  owner->silent_epoch = silent_epoch;
  if (!candidate && owner->role == FLOOR_ROLE_ACQUIRING)
    owner->role = FLOOR_ROLE_NONE;
  if (!candidate || owner->role != FLOOR_ROLE_NONE)
    return;
  owner->role = FLOOR_ROLE_ACQUIRING;
  owner->read_needed = true;
}

void
floor_owner_release (struct floor_owner *owner, int64_t now_ms)
{
  if (owner->role == FLOOR_ROLE_ACQUIRING)
    owner->role = FLOOR_ROLE_NONE;
  owner->releasing = owner->role == FLOOR_ROLE_OWNER;
}

static enum floor_eject_result
check_ejectable (const struct floor_owner *owner, const char *target,
                 bool manual)
{
  if (owner->role != FLOOR_ROLE_OWNER || owner->releasing)
    return FLOOR_EJECT_NOT_OWNER;
  /* An owner with older settings could breach a raised floor that an earlier
     owner already kept. */
  if (owner->spec.version < owner->stored.known.spec_version)
    return FLOOR_EJECT_SETTINGS_BEHIND;
  if (!floor_spec_active (&owner->spec, target))
    return FLOOR_EJECT_NO_SUCH_TARGET;
  if (!manual && (owner->claims.paused || owner->spec.paused))
    return FLOOR_EJECT_PAUSED;
  return FLOOR_EJECT_EJECTED;
}

static void
set_score (struct floor_claim *claim, uint32_t score, bool manual)
{
  claim->manual = claim->manual || manual;
  claim->score = claim->manual ? UINT32_MAX : score;
}

/* A releasing target is still counted, so it may be ejected again. */
static enum floor_eject_result
eject_releasing (struct floor_owner *owner, struct floor_claim *claim,
                 uint32_t score, bool manual)
{
  if (floor_claims_slack (owner) < 0)
    return FLOOR_EJECT_BELOW_FLOOR;
  claim->state = FLOOR_CLAIM_EJECTED;
  set_score (claim, score, manual);
  return FLOOR_EJECT_EJECTED;
}

static enum floor_eject_result
eject_new (struct floor_owner *owner, const char *target, uint32_t score,
           bool manual)
{
  if (floor_claims_slack (owner)
      < (int64_t)floor_spec_capacity_of (&owner->spec, target))
    return FLOOR_EJECT_BELOW_FLOOR;
  set_score (floor_record_add (&owner->claims, target), score, manual);
  return FLOOR_EJECT_PLANNED;
}

static enum floor_eject_result
result_of_claim (const struct floor_claim *claim)
{
  if (claim == NULL || claim->state == FLOOR_CLAIM_RELEASING)
    return FLOOR_EJECT_BELOW_FLOOR;
  return claim->state == FLOOR_CLAIM_EJECTED ? FLOOR_EJECT_EJECTED
                                             : FLOOR_EJECT_PLANNED;
}

enum floor_eject_result
floor_owner_eject (struct floor_owner *owner, int64_t now_ms,
                   const char *target, uint32_t score, bool manual)
{
  floor_claims_refresh (owner, now_ms);
  enum floor_eject_result result = check_ejectable (owner, target, manual);
  if (result != FLOOR_EJECT_EJECTED)
    return result;
  struct floor_claim *claim = floor_record_find (&owner->claims, target);
  if (claim != NULL && claim->state != FLOOR_CLAIM_RELEASING)
    {
      set_score (claim, score, manual);
      return FLOOR_EJECT_ALREADY;
    }
  if (claim != NULL)
    result = eject_releasing (owner, claim, score, manual);
  else
    result = eject_new (owner, target, score, manual);
  if (result == FLOOR_EJECT_BELOW_FLOOR)
    return result;
  floor_claims_refresh (owner, now_ms);
  return result_of_claim (floor_record_find (&owner->claims, target));
}

bool
floor_owner_reinstate (struct floor_owner *owner, int64_t now_ms,
                       const char *target, bool manual)
{
  if (owner->role != FLOOR_ROLE_OWNER || owner->releasing)
    return false;
  struct floor_claim *claim = floor_record_find (&owner->claims, target);
  if (claim == NULL || claim->state == FLOOR_CLAIM_RELEASING
      || (claim->manual && !manual))
    return false;
  floor_claims_release (owner, now_ms, claim);
  floor_claims_refresh (owner, now_ms);
  return true;
}

bool
floor_owner_pause (struct floor_owner *owner, int64_t now_ms, bool paused)
{
  if (owner->role != FLOOR_ROLE_OWNER || owner->releasing
      || owner->claims.paused == paused)
    return false;
  owner->claims.paused = paused;
  return true;
}

void
floor_owner_note_restored (struct floor_owner *owner, int64_t now_ms)
{
  owner->lost_claims_end_ms = now_ms + floor_owner_hold_ms (owner);
  if (owner->role != FLOOR_ROLE_NONE)
    owner->read_needed = true;
}

void
floor_owner_epoch_seen (struct floor_owner *owner, int64_t now_ms,
                        uint64_t epoch)
{
  if (epoch > owner->highest_epoch)
    owner->highest_epoch = epoch;
  if (owner->role != FLOOR_ROLE_NONE && epoch > owner->stored.known.epoch)
    owner->read_needed = true;
}

void
floor_owner_predecessor_stopped (struct floor_owner *owner, int64_t now_ms,
                                 uint64_t epoch)
{
  if (owner->role != FLOOR_ROLE_OWNER || owner->claims.settled
      || !owner->takeover_settled || epoch + 1 != owner->claims.epoch)
    return;
  const int64_t expires_ms
      = now_ms + floor_drift_adjusted_ms (owner->options.enforce_ms);
  if (expires_ms < owner->settles_at_ms)
    owner->settles_at_ms = expires_ms;
}

void
floor_owner_tick (struct floor_owner *owner, int64_t now_ms)
{
  floor_claims_refresh (owner, now_ms);
}

/* An owner that was suspended may resume with its decision long after another
   one took over.  It may send it only within the time that its successor waits
   for. */
bool
floor_owner_decision (struct floor_owner *owner, int64_t now_ms,
                      struct floor_decision *decision)
{
  if (owner->role != FLOOR_ROLE_OWNER || owner->releasing
      || now_ms >= owner->authority_until_ms)
    return false;
  floor_claims_refresh (owner, now_ms);
  *decision = (struct floor_decision){
    .epoch = owner->claims.epoch,
    .sequence = owner->sequence,
    .enforce_ms = owner->options.enforce_ms,
    .targets = (const char (*)[FLOOR_NAME_SIZE])owner->announced,
    .count = owner->announced_count,
  };
  return true;
}

enum floor_role
floor_owner_role (const struct floor_owner *owner)
{
  return owner->role;
}

uint64_t
floor_owner_epoch (const struct floor_owner *owner)
{
  return owner->stored.known.epoch;
}

const struct floor_record *
floor_owner_known_record (const struct floor_owner *owner)
{
  return &owner->stored.known;
}

uint64_t
floor_owner_version (const struct floor_owner *owner)
{
  return owner->stored.version;
}

const struct floor_record *
floor_owner_claims (const struct floor_owner *owner)
{
  return &owner->claims;
}

uint64_t
floor_owner_slack (const struct floor_owner *owner)
{
  const int64_t slack = floor_claims_slack (owner);
  return slack > 0 ? (uint64_t)slack : 0;
}

uint64_t
floor_owner_reserve_left (const struct floor_owner *owner)
{
  if (owner->role != FLOOR_ROLE_OWNER)
    return 0;
  const int64_t remaining = floor_stored_min_reserve_left (
      &owner->stored, &owner->claims, &owner->spec, true);
  const uint64_t slack = floor_owner_slack (owner);
  if (remaining <= 0)
    return 0;
  return (uint64_t)remaining < slack ? (uint64_t)remaining : slack;
}

uint64_t
floor_owner_take_stopped_epoch (struct floor_owner *owner)
{
  const uint64_t epoch = owner->stopped_epoch;
  owner->stopped_epoch = 0;
  return epoch;
}
