#include "policy/floor/floor_owner.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "policy/floor/floor_owner_state.h"

enum
{
  /* Number of reads of the record within the time for which one read renews
     the authority. */
  CONFIRMS_PER_AUTHORITY_PERIOD = 4,
};

uint32_t
floor_owner_hold_ms (const struct floor_owner *owner)
{
  return owner->options.authority_ms + owner->options.enforce_ms;
}

static uint64_t
new_write_id (struct floor_owner *owner)
{
  return rng_next (&owner->rng) | 1;
}

/* Sets the fields common to all records of this owner. */
static void
set_owner_fields (struct floor_owner *owner, struct floor_record *record)
{
  snprintf (record->owner, sizeof record->owner, "%s", owner->host);
  record->incarnation = owner->options.incarnation;
  if (owner->spec.version > record->spec_version)
    record->spec_version = owner->spec.version;
}

/* The record was deleted, or the platform was restored: the hosts may know a
   higher epoch than the record's, and the ejections of its owner are unknown.
   So the next epoch is used, and all capacity counts as ejected for the hold
   time. */
static void
assume_lost (struct floor_owner *owner)
{
  if (owner->highest_epoch >= owner->claims.epoch)
    owner->claims.epoch = owner->highest_epoch + 1;
  owner->claims.old_reserve = floor_spec_capacity (&owner->spec);
  owner->claims.settled = false;
  owner->takeover_hold_ms = floor_owner_hold_ms (owner);
  owner->takeover_settled = false;
}

/* Prepares the record that takes over the service from the known one. */
static void
prepare_takeover (struct floor_owner *owner)
{
  const struct floor_record *known = &owner->stored.known;
  struct floor_record *next = &owner->claims;
  floor_record_assign (next, known);
  next->epoch = known->epoch + 1;
  next->old_reserve = known->old_reserve + known->reserve;
  next->settled = known->epoch == 0;
  owner->takeover_hold_ms = known->hold_ms;
  owner->takeover_settled = known->settled;
  if (owner->highest_epoch > known->epoch || owner->counts_lost_claims)
    assume_lost (owner);
  if (floor_owner_hold_ms (owner) > next->hold_ms)
    next->hold_ms = floor_owner_hold_ms (owner);
  set_owner_fields (owner, next);
  next->reserve = floor_claims_reserve (owner);
}

static void
prepare_owned (struct floor_owner *owner)
{
  struct floor_record *next = &owner->claims;
  next->spec_version = owner->stored.known.spec_version;
  set_owner_fields (owner, next);
  next->reserve = floor_claims_reserve (owner);
}

/* Prepares the record that releases the service.  No decision is sent any
   more, so hosts enforce the last one for at most one enforcement time. */
static void
prepare_release (struct floor_owner *owner)
{
  prepare_owned (owner);
  struct floor_record *next = &owner->claims;
  next->owner[0] = '\0';
  next->incarnation = 0;
  next->reserve = 0;
  if (next->settled)
    next->hold_ms = owner->options.enforce_ms;
}

static void
prepare_record (struct floor_owner *owner)
{
  if (owner->role == FLOOR_ROLE_ACQUIRING)
    prepare_takeover (owner);
  else if (owner->releasing)
    prepare_release (owner);
  else
    prepare_owned (owner);
}

static bool
write_due (struct floor_owner *owner)
{
  if (owner->role == FLOOR_ROLE_NONE || !owner->has_spec)
    return false;
  prepare_record (owner);
  return owner->stored.pending_count > 0
         || !floor_record_equivalent (&owner->claims, &owner->stored.known);
}

static struct floor_request
start_read (struct floor_owner *owner, int64_t now_ms)
{
  owner->call_in_flight = FLOOR_CALL_READ;
  owner->call_sent_ms = now_ms;
  return (struct floor_request){ .call = FLOOR_CALL_READ };
}

/* A write that a read shows to have had no effect is repeated unchanged, with
   its id, unless the record to write has changed since. */
static struct floor_request
start_write (struct floor_owner *owner, int64_t now_ms)
{
  struct floor_pending *newest = floor_stored_newest (&owner->stored);
  const struct floor_record *record = NULL;
  if (newest != NULL && newest->record.write_id != 0
      && floor_record_equivalent (&newest->record, &owner->claims))
    record = &newest->record;
  if (record == NULL)
    {
      owner->claims.write_id = new_write_id (owner);
      record = floor_stored_push (&owner->stored, &owner->claims);
    }
  owner->call_in_flight = FLOOR_CALL_WRITE;
  owner->call_sent_ms = now_ms;
  return (struct floor_request){ .call = FLOOR_CALL_WRITE,
                                 .record = record,
                                 .expected_version = owner->stored.version };
}

struct floor_request
floor_owner_next_request (struct floor_owner *owner, int64_t now_ms)
{
  const struct floor_request none = { .call = FLOOR_CALL_NONE };
  if (owner->call_in_flight != FLOOR_CALL_NONE
      || owner->role == FLOOR_ROLE_NONE || now_ms < owner->call_not_before_ms)
    return none;
  floor_claims_refresh (owner, now_ms);
  owner->counts_lost_claims = now_ms < owner->lost_claims_end_ms;
  const bool confirm
      = owner->role == FLOOR_ROLE_OWNER && now_ms >= owner->confirm_at_ms;
  if (owner->read_needed || confirm)
    return start_read (owner, now_ms);
  if (write_due (owner))
    return start_write (owner, now_ms);
  return none;
}

/* A call sent at call_sent_ms found the record of this owner at the
   platform. */
static void
renew_authority (struct floor_owner *owner)
{
  const int64_t authority_ms = owner->options.authority_ms;
  owner->authority_until_ms = owner->call_sent_ms + authority_ms;
  owner->confirm_at_ms
      = owner->call_sent_ms + authority_ms / CONFIRMS_PER_AUTHORITY_PERIOD;
}

static void
handle_replaced (struct floor_owner *owner)
{
  owner->stopped_epoch = owner->claims.epoch;
  floor_claims_end_ownership (owner);
}

static bool
is_ours (const struct floor_owner *owner, const struct floor_record *record)
{
  return record->epoch == owner->claims.epoch
         && record->incarnation == owner->options.incarnation
         && strcmp (record->owner, owner->host) == 0;
}

static void
back_off (struct floor_owner *owner, int64_t now_ms)
{
  owner->call_not_before_ms = now_ms + owner->backoff_ms;
  owner->backoff_ms *= 2;
  if (owner->backoff_ms > owner->options.retry_max_ms)
    owner->backoff_ms = owner->options.retry_max_ms;
}

static void
handle_owner_read (struct floor_owner *owner, int64_t now_ms,
                   const struct floor_reply *reply)
{
  if (reply->version < owner->stored.version)
    {
      owner->read_needed = true;
      back_off (owner, now_ms);
      return;
    }
  const bool own_record = is_ours (owner, reply->record);
  floor_stored_observe (&owner->stored, reply->version, reply->record);
  if (!own_record)
    handle_replaced (owner);
  else
    renew_authority (owner);
}

static void
handle_candidate_read (struct floor_owner *owner, int64_t now_ms,
                       const struct floor_reply *reply)
{
  const struct floor_record *record = reply->record;
  const bool own_record
      = floor_stored_has_write (&owner->stored, record->write_id)
        && record->incarnation == owner->options.incarnation
        && strcmp (record->owner, owner->host) == 0;
  floor_stored_observe (&owner->stored, reply->version, record);
  if (own_record)
    {
      floor_claims_begin_ownership (owner, now_ms);
      renew_authority (owner);
      return;
    }
  const bool vacant
      = record->owner[0] == '\0' || strcmp (record->owner, owner->host) == 0;
  if (record->epoch > owner->silent_epoch && !vacant)
    owner->role = FLOOR_ROLE_NONE;
}

static void
handle_read (struct floor_owner *owner, int64_t now_ms,
             const struct floor_reply *reply)
{
  owner->read_needed = false;
  if (reply->status == FLOOR_REPLY_OK
      && reply->record->epoch > owner->highest_epoch)
    owner->highest_epoch = reply->record->epoch;
  if (reply->status == FLOOR_REPLY_NOT_FOUND)
    {
      floor_stored_observe (&owner->stored, 0, NULL);
      if (owner->role == FLOOR_ROLE_OWNER)
        handle_replaced (owner);
    }
  else if (owner->role == FLOOR_ROLE_OWNER)
    handle_owner_read (owner, now_ms, reply);
  else if (owner->role == FLOOR_ROLE_ACQUIRING)
    handle_candidate_read (owner, now_ms, reply);
  else
    floor_stored_observe (&owner->stored, reply->version, reply->record);
}

static void
handle_write (struct floor_owner *owner, int64_t now_ms,
              const struct floor_reply *reply)
{
  floor_stored_confirm (&owner->stored, reply->version);
  if (owner->stored.known.epoch > owner->highest_epoch)
    owner->highest_epoch = owner->stored.known.epoch;
  if (owner->role == FLOOR_ROLE_OWNER && owner->releasing)
    {
      floor_claims_end_ownership (owner);
      return;
    }
  if (owner->role != FLOOR_ROLE_OWNER)
    floor_claims_begin_ownership (owner, now_ms);
  renew_authority (owner);
}

/* If the result of a write is lost after it took effect, the write must count
   neither as failed nor be repeated; the record is read back instead. */
static void
handle_failure (struct floor_owner *owner, int64_t now_ms,
                enum floor_call call, enum floor_reply_status status)
{
  struct floor_pending *newest = floor_stored_newest (&owner->stored);
  if (call == FLOOR_CALL_READ)
    owner->read_needed = true;
  else if (status == FLOOR_REPLY_UNREACHABLE)
    floor_stored_drop_unsent (&owner->stored);
  else
    {
      assert (newest != NULL);
      newest->outcome_unknown = true;
      owner->read_needed = true;
    }
  if (status != FLOOR_REPLY_CONFLICT)
    back_off (owner, now_ms);
}

void
floor_owner_handle_reply (struct floor_owner *owner, int64_t now_ms,
                          const struct floor_reply *reply)
{
  const enum floor_call call = owner->call_in_flight;
  owner->call_in_flight = FLOOR_CALL_NONE;
  const bool succeeded
      = reply->status == FLOOR_REPLY_OK
        || (call == FLOOR_CALL_READ && reply->status == FLOOR_REPLY_NOT_FOUND);
  if (!succeeded)
    handle_failure (owner, now_ms, call, reply->status);
  else
    {
      owner->backoff_ms = owner->options.retry_ms;
      if (call == FLOOR_CALL_READ)
        handle_read (owner, now_ms, reply);
      else
        handle_write (owner, now_ms, reply);
    }
  floor_claims_refresh (owner, now_ms);
}
