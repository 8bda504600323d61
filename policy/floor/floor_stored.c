#include "policy/floor/floor_stored.h"

#include <string.h>

void
floor_stored_clear (struct floor_stored *possible)
{
  floor_record_clear (&possible->known);
  for (size_t i = 0; i < FLOOR_PENDING_WRITES_MAX; i++)
    floor_record_clear (&possible->pending[i].record);
  possible->pending_count = 0;
  possible->version = 0;
}

void
floor_stored_observe (struct floor_stored *possible, uint64_t version,
                      const struct floor_record *record)
{
  if (version != possible->version)
    possible->pending_count = 0;
  possible->version = version;
  if (record != NULL)
    floor_record_assign (&possible->known, record);
  else
    floor_record_clear (&possible->known);
}

struct floor_pending *
floor_stored_newest (struct floor_stored *possible)
{
  if (possible->pending_count == 0)
    return NULL;
  return &possible->pending[possible->pending_count - 1];
}

void
floor_stored_confirm (struct floor_stored *possible, uint64_t version)
{
  const struct floor_pending *newest = floor_stored_newest (possible);
  floor_record_assign (&possible->known, &newest->record);
  possible->version = version;
  possible->pending_count = 0;
}

/* Leave in TO only what both records allow. */
static void
merge (struct floor_record *to, const struct floor_record *from)
{
  if (from->reserve < to->reserve)
    to->reserve = from->reserve;
  for (size_t i = to->claim_count; i > 0; i--)
    if (floor_record_find (from, to->claims[i - 1].target) == NULL)
      floor_record_remove (to, &to->claims[i - 1]);
  to->write_id = 0;
}

static void
make_room (struct floor_stored *possible)
{
  merge (&possible->pending[0].record, &possible->pending[1].record);
  for (size_t i = 1; i + 1 < FLOOR_PENDING_WRITES_MAX; i++)
    {
      struct floor_pending *to = &possible->pending[i];
      floor_record_assign (&to->record, &possible->pending[i + 1].record);
      to->in_doubt = possible->pending[i + 1].in_doubt;
    }
  possible->pending_count--;
}

const struct floor_record *
floor_stored_push (struct floor_stored *possible,
                   const struct floor_record *record)
{
  if (possible->pending_count == FLOOR_PENDING_WRITES_MAX)
    make_room (possible);
  struct floor_pending *pending = &possible->pending[possible->pending_count];
  possible->pending_count++;
  floor_record_assign (&pending->record, record);
  pending->in_doubt = false;
  return &pending->record;
}

void
floor_stored_drop_unsent (struct floor_stored *possible)
{
  const struct floor_pending *newest = floor_stored_newest (possible);
  if (newest != NULL && !newest->in_doubt)
    possible->pending_count--;
}

bool
floor_stored_has_write (const struct floor_stored *possible, uint64_t write_id)
{
  for (size_t i = 0; i < possible->pending_count; i++)
    if (possible->pending[i].record.write_id == write_id && write_id != 0)
      return true;
  return false;
}

static int64_t
spare_of (const struct floor_record *record, const struct floor_record *claims,
          const struct floor_spec *spec, bool count_releasing)
{
  int64_t spare = (int64_t)record->reserve;
  for (size_t i = 0; i < claims->claim_count; i++)
    {
      const struct floor_claim *claim = &claims->claims[i];
      if (claim->state == FLOOR_CLAIM_PLANNED
          || (claim->state == FLOOR_CLAIM_RELEASING && !count_releasing))
        continue;
      if (floor_record_find (record, claim->target) == NULL)
        spare -= floor_spec_capacity_of (spec, claim->target);
    }
  return spare;
}

/* Guards against the write whose answer was lost: the record with the claim,
   the one without it, and an older write that arrives late are all possible,
   and a next owner may take over from any of them.  What is ejected must be
   counted by each. */
int64_t
floor_stored_min_reserve_left (const struct floor_stored *possible,
                               const struct floor_record *claims,
                               const struct floor_spec *spec,
                               bool count_releasing)
{
  int64_t least = spare_of (&possible->known, claims, spec, count_releasing);
  for (size_t i = 0; i < possible->pending_count; i++)
    {
      const int64_t spare = spare_of (&possible->pending[i].record, claims,
                                      spec, count_releasing);
      if (spare < least)
        least = spare;
    }
  return least;
}
