#include "policy/floor/floor_owner.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

#include "policy/floor/floor_owner_state.h"

enum
{
  /* The record is read this many times within the time that a reading lets
     an owner go on. */
  CONFIRMS_PER_AUTHORITY = 4,
};

static uint32_t
hold_ms (const struct floor_owner *owner)
{
  return owner->options.authority_ms + owner->options.enforce_ms;
}

static uint64_t
write_id (struct floor_owner *owner)
{
  return rng_next (&owner->rng) | 1;
}

/* Fill in what every record of this owner says. */
static void
sign (struct floor_owner *owner, struct floor_record *record)
{
  snprintf (record->owner, sizeof record->owner, "%s", owner->host);
  record->incarnation = owner->options.incarnation;
  if (owner->spec.version > record->spec_version)
    record->spec_version = owner->spec.version;
}

/* Guards against a record that somebody deleted: the hosts know a higher
   epoch than a first record would have, and nobody knows what its owner has
   ejected.  So the epoch goes on, and all counts as spent for the hold
   time. */
static void
assume_deleted (struct floor_owner *owner)
{
  owner->claims.epoch = owner->highest_epoch + 1;
  owner->claims.old_reserve = floor_spec_capacity (&owner->spec);
  owner->claims.settled = false;
  owner->takeover_hold_ms = hold_ms (owner);
  owner->takeover_settled = false;
}

/* The record that takes the service over from the known one. */
static void
draft_takeover (struct floor_owner *owner)
{
  const struct floor_record *known = &owner->stored.known;
  struct floor_record *next = &owner->claims;
  floor_record_assign (next, known);
  next->epoch = known->epoch + 1;
  next->old_reserve = known->old_reserve + known->reserve;
  next->settled = known->epoch == 0;
  owner->takeover_hold_ms = known->hold_ms;
  owner->takeover_settled = known->settled;
  if (owner->highest_epoch > known->epoch)
    assume_deleted (owner);
  if (hold_ms (owner) > next->hold_ms)
    next->hold_ms = hold_ms (owner);
  sign (owner, next);
  next->reserve = floor_claims_reserve (owner);
}

static void
draft_owned (struct floor_owner *owner)
{
  struct floor_record *next = &owner->claims;
  next->spec_version = owner->stored.known.spec_version;
  sign (owner, next);
  next->reserve = floor_claims_reserve (owner);
}

/* The record that gives the service up.  Nothing is told any more, so what
   hosts still enforce is over after one enforcement time. */
static void
draft_release (struct floor_owner *owner)
{
  draft_owned (owner);
  struct floor_record *next = &owner->claims;
  next->owner[0] = '\0';
  next->incarnation = 0;
  next->reserve = 0;
  if (next->settled)
    next->hold_ms = owner->options.enforce_ms;
}

static void
draft (struct floor_owner *owner)
{
  if (owner->role == FLOOR_ROLE_ACQUIRING)
    draft_takeover (owner);
  else if (owner->releasing)
    draft_release (owner);
  else
    draft_owned (owner);
}

static bool
write_due (struct floor_owner *owner)
{
  if (owner->role == FLOOR_ROLE_NONE || !owner->has_spec)
    return false;
  draft (owner);
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

/* A write that was read back without effect goes out again as it was, under
   its own id, unless something else is to be written by now. */
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
      owner->claims.write_id = write_id (owner);
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
  const bool confirm
      = owner->role == FLOOR_ROLE_OWNER && now_ms >= owner->confirm_at_ms;
  if (owner->must_read || confirm)
    return start_read (owner, now_ms);
  if (write_due (owner))
    return start_write (owner, now_ms);
  return none;
}

/* The platform was seen to hold our record by a call sent at sent_ms. */
static void
confirmed (struct floor_owner *owner)
{
  const int64_t authority_ms = owner->options.authority_ms;
  owner->authority_until_ms = owner->call_sent_ms + authority_ms;
  owner->confirm_at_ms
      = owner->call_sent_ms + authority_ms / CONFIRMS_PER_AUTHORITY;
}

static void
replaced (struct floor_owner *owner)
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
owner_read (struct floor_owner *owner, int64_t now_ms,
            const struct floor_reply *reply)
{
  if (reply->version < owner->stored.version)
    {
      owner->must_read = true;
      back_off (owner, now_ms);
      return;
    }
  const bool ours = is_ours (owner, reply->record);
  floor_stored_observe (&owner->stored, reply->version, reply->record);
  if (!ours)
    replaced (owner);
  else
    confirmed (owner);
}

static void
candidate_read (struct floor_owner *owner, int64_t now_ms,
                const struct floor_reply *reply)
{
  const struct floor_record *record = reply->record;
  const bool ours = floor_stored_has_write (&owner->stored, record->write_id)
                    && record->incarnation == owner->options.incarnation
                    && strcmp (record->owner, owner->host) == 0;
  floor_stored_observe (&owner->stored, reply->version, record);
  if (ours)
    {
      floor_claims_begin_ownership (owner, now_ms);
      confirmed (owner);
      return;
    }
  const bool vacant
      = record->owner[0] == '\0' || strcmp (record->owner, owner->host) == 0;
  if (record->epoch > owner->silent_epoch && !vacant)
    owner->role = FLOOR_ROLE_NONE;
}

static void
read_done (struct floor_owner *owner, int64_t now_ms,
           const struct floor_reply *reply)
{
  owner->must_read = false;
  if (reply->status == FLOOR_REPLY_OK
      && reply->record->epoch > owner->highest_epoch)
    owner->highest_epoch = reply->record->epoch;
  if (reply->status == FLOOR_REPLY_NOT_FOUND)
    {
      floor_stored_observe (&owner->stored, 0, NULL);
      if (owner->role == FLOOR_ROLE_OWNER)
        replaced (owner);
    }
  else if (owner->role == FLOOR_ROLE_OWNER)
    owner_read (owner, now_ms, reply);
  else if (owner->role == FLOOR_ROLE_ACQUIRING)
    candidate_read (owner, now_ms, reply);
  else
    floor_stored_observe (&owner->stored, reply->version, reply->record);
}

static void
write_done (struct floor_owner *owner, int64_t now_ms,
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
  confirmed (owner);
}

/* Guards against the answer lost after the write took effect: it is neither
   taken for failed nor repeated, but read back. */
static void
call_failed (struct floor_owner *owner, int64_t now_ms, enum floor_call call,
             enum floor_reply_status status)
{
  struct floor_pending *newest = floor_stored_newest (&owner->stored);
  if (call == FLOOR_CALL_READ)
    owner->must_read = true;
  else if (status == FLOOR_REPLY_UNREACHABLE)
    floor_stored_drop_unsent (&owner->stored);
  else
    {
      assert (newest != NULL);
      newest->in_doubt = true;
      owner->must_read = true;
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
  const bool ended
      = reply->status == FLOOR_REPLY_OK
        || (call == FLOOR_CALL_READ && reply->status == FLOOR_REPLY_NOT_FOUND);
  if (!ended)
    call_failed (owner, now_ms, call, reply->status);
  else
    {
      owner->backoff_ms = owner->options.retry_ms;
      if (call == FLOOR_CALL_READ)
        read_done (owner, now_ms, reply);
      else
        write_done (owner, now_ms, reply);
    }
  floor_claims_refresh (owner, now_ms);
}
