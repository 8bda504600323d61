#include "policy/floor/floor_spec.h"

#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

static int
compare (const void *a, const void *b)
{
  const struct floor_target *left = a;
  const struct floor_target *right = b;
  return strcmp (left->name, right->name);
}

static int
compare_name (const void *name, const void *target)
{
  return strcmp (name, ((const struct floor_target *)target)->name);
}

static const struct floor_target *
find (const struct floor_spec *spec, const char *name)
{
  if (spec->is_sorted)
    return bsearch (name, spec->targets, spec->count, sizeof *spec->targets,
                    compare_name);
  for (size_t i = 0; i < spec->count; i++)
    if (strcmp (spec->targets[i].name, name) == 0)
      return &spec->targets[i];
  return NULL;
}

uint64_t
floor_spec_capacity (const struct floor_spec *spec)
{
  uint64_t capacity = 0;
  for (size_t i = 0; i < spec->count; i++)
    if (spec->targets[i].active)
      capacity += spec->targets[i].capacity;
  return capacity;
}

uint32_t
floor_spec_capacity_of (const struct floor_spec *spec, const char *name)
{
  const struct floor_target *target = find (spec, name);
  return target != NULL && target->active ? target->capacity : 0;
}

bool
floor_spec_active (const struct floor_spec *spec, const char *name)
{
  const struct floor_target *target = find (spec, name);
  return target != NULL && target->active;
}

bool
floor_spec_has (const struct floor_spec *spec, const char *name)
{
  return find (spec, name) != NULL;
}

void
floor_spec_assign (struct floor_spec *to, const struct floor_spec *from)
{
  struct floor_target *targets = to->targets;
  targets = xreallocarray (targets, from->count + 1, sizeof *targets);
  if (from->count > 0)
    memcpy (targets, from->targets, from->count * sizeof *targets);
  *to = *from;
  to->targets = targets;
  qsort (targets, from->count, sizeof *targets, compare);
  to->is_sorted = true;
}

void
floor_spec_clear (struct floor_spec *spec)
{
  free (spec->targets);
  *spec = (struct floor_spec){ .version = 0 };
}
