#include "policy/access/key_table.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/xmalloc.h"

enum
{
  SLOTS_MIN = 16,
  SLOTS_PER_KEY = 2,
};

struct key_slot
{
  struct digest key;
  uint32_t workspace; /* KEY_TABLE_NO_WORKSPACE: the slot is free */
};

struct key_table
{
  struct key_slot *slots;
  size_t slot_count; /* a power of two */
  size_t count;
};

struct key_table *
key_table_create (size_t count)
{
  struct key_table *table = xcalloc (1, sizeof *table);
  table->slot_count = SLOTS_MIN;
  while (table->slot_count < count * SLOTS_PER_KEY)
    table->slot_count *= 2;
  table->slots = xcalloc (table->slot_count, sizeof *table->slots);
  for (size_t i = 0; i < table->slot_count; i++)
    table->slots[i].workspace = KEY_TABLE_NO_WORKSPACE;
  return table;
}

void
key_table_destroy (struct key_table *table)
{
  if (table == NULL)
    return;
  free (table->slots);
  free (table);
}

/* Returns the slot of KEY, or the free slot where it would be inserted. */
static struct key_slot *
find_slot (const struct key_table *table, const struct digest *key)
{
  uint64_t hash;
  memcpy (&hash, key->bytes, sizeof hash);
  size_t index = (size_t)hash & (table->slot_count - 1);
  while (table->slots[index].workspace != KEY_TABLE_NO_WORKSPACE
         && !digest_equal (&table->slots[index].key, key))
    index = (index + 1) & (table->slot_count - 1);
  return &table->slots[index];
}

void
key_table_add (struct key_table *table, const struct digest *key,
               uint32_t workspace)
{
  struct key_slot *slot = find_slot (table, key);
  if (slot->workspace != KEY_TABLE_NO_WORKSPACE)
    return;
  slot->key = *key;
  slot->workspace = workspace;
  table->count++;
  assert (table->count < table->slot_count);
}

uint32_t
key_table_find (const struct key_table *table, const struct digest *key)
{
  return find_slot (table, key)->workspace;
}

size_t
key_table_count (const struct key_table *table)
{
  return table->count;
}

size_t
key_table_bytes (const struct key_table *table)
{
  return sizeof *table + table->slot_count * sizeof *table->slots;
}
