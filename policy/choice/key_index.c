#include "policy/choice/key_index.h"

#include <stdlib.h>

#include "base/xmalloc.h"
#include "policy/service_policy.h"

struct key_index_slot
{
  uint64_t key;
  uint32_t number;
};

void
key_index_init (struct key_index *index, uint32_t count)
{
  uint64_t size = 4;
  while (size < 2 * (uint64_t)count)
    size *= 2;
  index->mask = size - 1;
  index->slots = xcalloc (size, sizeof *index->slots);
  for (uint64_t i = 0; i < size; i++)
    index->slots[i].number = POLICY_NO_TARGET;
}

void
key_index_clear (struct key_index *index)
{
  free (index->slots);
  *index = (struct key_index){ 0 };
}

static struct key_index_slot *
slot_of (const struct key_index *index, uint64_t key)
{
  uint64_t at = key & index->mask;
  while (index->slots[at].number != POLICY_NO_TARGET
         && index->slots[at].key != key)
    at = (at + 1) & index->mask;
  return &index->slots[at];
}

void
key_index_add (struct key_index *index, uint64_t key, uint32_t number)
{
  struct key_index_slot *slot = slot_of (index, key);
  slot->key = key;
  slot->number = number;
}

uint32_t
key_index_find (const struct key_index *index, uint64_t key)
{
  if (index->slots == NULL)
    return POLICY_NO_TARGET;
  return slot_of (index, key)->number;
}
