#include "policy/floor/floor_record.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

void
floor_record_assign (struct floor_record *to, const struct floor_record *from)
{
  struct floor_claim *claims = to->claims;
  claims = xreallocarray (claims, from->claim_count + 1, sizeof *claims);
  if (from->claim_count > 0)
    memcpy (claims, from->claims, from->claim_count * sizeof *claims);
  *to = *from;
  to->claims = claims;
}

void
floor_record_clear (struct floor_record *record)
{
  free (record->claims);
  *record = (struct floor_record){ .epoch = 0 };
}

struct floor_claim *
floor_record_find (const struct floor_record *record, const char *target)
{
  for (size_t i = 0; i < record->claim_count; i++)
    if (strcmp (record->claims[i].target, target) == 0)
      return &record->claims[i];
  return NULL;
}

struct floor_claim *
floor_record_add (struct floor_record *record, const char *target)
{
  record->claims = xreallocarray (record->claims, record->claim_count + 1,
                                  sizeof *record->claims);
  struct floor_claim *claim = &record->claims[record->claim_count++];
  *claim = (struct floor_claim){ .state = FLOOR_CLAIM_PLANNED };
  snprintf (claim->target, sizeof claim->target, "%s", target);
  return claim;
}

void
floor_record_remove (struct floor_record *record, struct floor_claim *claim)
{
  struct floor_claim *end = record->claims + record->claim_count;
  memmove (claim, claim + 1, (size_t)(end - (claim + 1)) * sizeof *claim);
  record->claim_count--;
}

uint64_t
floor_record_claimed_capacity (const struct floor_record *record,
                               const struct floor_spec *spec)
{
  uint64_t claimed = 0;
  for (size_t i = 0; i < record->claim_count; i++)
    claimed += floor_spec_capacity_of (spec, record->claims[i].target);
  return claimed;
}

/* Other owners treat a planned claim as an ejected one, so the step from one
   to the other needs no write. */
static bool
same_claim (const struct floor_claim *a, const struct floor_claim *b)
{
  return (a->state == FLOOR_CLAIM_RELEASING)
             == (b->state == FLOOR_CLAIM_RELEASING)
         && a->manual == b->manual;
}

static bool
same_claims (const struct floor_record *a, const struct floor_record *b)
{
  if (a->claim_count != b->claim_count)
    return false;
  for (size_t i = 0; i < a->claim_count; i++)
    {
      const struct floor_claim *other
          = floor_record_find (b, a->claims[i].target);
      if (other == NULL || !same_claim (&a->claims[i], other))
        return false;
    }
  return true;
}

bool
floor_record_equivalent (const struct floor_record *a,
                         const struct floor_record *b)
{
  return a->epoch == b->epoch && strcmp (a->owner, b->owner) == 0
         && a->incarnation == b->incarnation && a->reserve == b->reserve
         && a->old_reserve == b->old_reserve && a->hold_ms == b->hold_ms
         && a->settled == b->settled && a->spec_version == b->spec_version
         && a->paused == b->paused && same_claims (a, b);
}
