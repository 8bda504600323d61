#include "node/caller/left_targets.h"

#include <stdlib.h>

#include "base/xmalloc.h"

void
left_targets_add (struct left_targets *targets, uint64_t key)
{
  if (left_targets_has (targets, key))
    return;
  if (targets->keys == NULL)
    targets->keys = xcalloc (LEFT_TARGETS_MAX, sizeof *targets->keys);
  targets->keys[targets->count++ % LEFT_TARGETS_MAX] = key;
}

bool
left_targets_has (const struct left_targets *targets, uint64_t key)
{
  for (uint32_t i = 0; i < targets->count && i < LEFT_TARGETS_MAX; i++)
    if (targets->keys[i] == key)
      return true;
  return false;
}

void
left_targets_release (struct left_targets *targets)
{
  free (targets->keys);
  *targets = (struct left_targets){ 0 };
}
