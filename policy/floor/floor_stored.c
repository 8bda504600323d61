#include "policy/floor/floor_stored.h"

#include <string.h>

void
floor_stored_clear (struct floor_stored *stored)
{
  floor_record_clear (&stored->known);
  for (size_t i = 0; i < FLOOR_PENDING_WRITES_MAX; i++)
    floor_record_clear (&stored->pending[i].record);
  stored->pending_count = 0;
  stored->version = 0;
}

void
floor_stored_observe (struct floor_stored *stored, uint64_t version,
                      const struct floor_record *record)
{
  if (version != stored->version)
    stored->pending_count = 0;
  stored->version = version;
  if (record != NULL)
    floor_record_assign (&stored->known, record);
  else
    floor_record_clear (&stored->known);
}

struct floor_pending *
floor_stored_newest (struct floor_stored *stored)
{
  if (stored->pending_count == 0)
    return NULL;
  return &stored->pending[stored->pending_count - 1];
}

void
floor_stored_confirm (struct floor_stored *stored, uint64_t version)
{
  const struct floor_pending *newest = floor_stored_newest (stored);
  floor_record_assign (&stored->known, &newest->record);
  stored->version = version;
  stored->pending_count = 0;
}

/* Reduces TO to what both records allow. */
static void
intersect (struct floor_record *to, const struct floor_record *from)
{
  if (from->reserve < to->reserve)
    to->reserve = from->reserve;
  for (size_t i = to->claim_count; i > 0; i--)
    if (floor_record_find (from, to->claims[i - 1].target) == NULL)
      floor_record_remove (to, &to->claims[i - 1]);
  to->write_id = 0;
}

static void
merge_oldest (struct floor_stored *stored)
{
  intersect (&stored->pending[0].record, &stored->pending[1].record);
  for (size_t i = 1; i + 1 < FLOOR_PENDING_WRITES_MAX; i++)
    {
      struct floor_pending *to = &stored->pending[i];
      floor_record_assign (&to->record, &stored->pending[i + 1].record);
      to->outcome_unknown = stored->pending[i + 1].outcome_unknown;
    }
  stored->pending_count--;
}

const struct floor_record *
floor_stored_push (struct floor_stored *stored,
                   const struct floor_record *record)
{
  if (stored->pending_count == FLOOR_PENDING_WRITES_MAX)
    merge_oldest (stored);
  struct floor_pending *pending = &stored->pending[stored->pending_count];
  stored->pending_count++;
  floor_record_assign (&pending->record, record);
  pending->outcome_unknown = false;
  return &pending->record;
}

void
floor_stored_drop_unsent (struct floor_stored *stored)
{
  const struct floor_pending *newest = floor_stored_newest (stored);
  if (newest != NULL && !newest->outcome_unknown)
    stored->pending_count--;
}

bool
floor_stored_has_write (const struct floor_stored *stored, uint64_t write_id)
{
  for (size_t i = 0; i < stored->pending_count; i++)
    if (stored->pending[i].record.write_id == write_id && write_id != 0)
      return true;
  return false;
}

static int64_t
reserve_left (const struct floor_record *record,
              const struct floor_record *claims, const struct floor_spec *spec,
              bool count_releasing)
{
  int64_t remaining = (int64_t)record->reserve;
  for (size_t i = 0; i < claims->claim_count; i++)
    {
      const struct floor_claim *claim = &claims->claims[i];
      if (claim->state == FLOOR_CLAIM_PLANNED
          || (claim->state == FLOOR_CLAIM_RELEASING && !count_releasing))
        continue;
      if (floor_record_find (record, claim->target) == NULL)
        remaining -= floor_spec_capacity_of (spec, claim->target);
    }
  return remaining;
}

/* While the outcome of a write is unknown, the record with the claim, the one
   without it, and an earlier delayed write are all possible, and the next
   owner may take over from any of them.  If one of them didn't count an
   ejected target, that owner could eject others in its place and breach the
   floor.  So every record must cover what is ejected. */
int64_t
floor_stored_min_reserve_left (const struct floor_stored *stored,
                               const struct floor_record *claims,
                               const struct floor_spec *spec,
                               bool count_releasing)
{
  int64_t min = reserve_left (&stored->known, claims, spec, count_releasing);
  for (size_t i = 0; i < stored->pending_count; i++)
    {
      const int64_t remaining = reserve_left (&stored->pending[i].record,
                                              claims, spec, count_releasing);
      if (remaining < min)
        min = remaining;
    }
  return min;
}
